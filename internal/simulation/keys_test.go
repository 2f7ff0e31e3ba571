package simulation

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// No key runs at two servers, whatever fronts and lists do.
func TestKeys(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	from, to := seeds(c, 1, 4)
	for _, shape := range []Shape{Brilleverk(), Krizanka()} {
		for seed := from; seed <= to; seed++ {
			c.Run(shape.Name, func(c *qt.C) {
				c.Parallel()
				w := Keys(shape, seed)
				breaches := CheckKeys(w.tills.Booked)
				if len(breaches) > 0 {
					c.Logf("%s", strings.Join(w.History, "\n"))
				}
				c.Check(breaches, qt.HasLen, 0, qt.Commentf("seed %d", seed))
				whys := map[string]int{}
				for _, one := range w.tills.Tried {
					whys[one.Why]++
				}
				c.Check(len(w.tills.Booked) > 150, qt.IsTrue, qt.Commentf("%v", whys))
				c.Logf("seed %d: %v, booked %d", seed, whys, len(w.tills.Booked))
			})
		}
	}
}

// Where one of four servers is replaced and nothing else goes wrong, no new key
// is refused; old ones of the server that went are.
func TestOneServerReplaced(t *testing.T) {
	t.Parallel()
	each(qt.New(t), func(c *qt.C, shape Shape) {
		shape.LossPercent = 0
		w := steady(shape, 5, 5000)
		for _, name := range []string{"b1", "b2", "b3", "b4"} {
			w.AddApp(name, "10.0.3."+name[1:]+":1")
		}
		w.Run(12000)
		for at := int64(12000); at < 60000; at += 50 {
			w.At(at, func() { w.Call(w.tills.Random.Intn(len(w.fronts)), "") })
			w.At(at+25, w.Repeat)
		}
		w.At(20000, func() { w.AddApp("b2", "10.0.3.22:1") })
		w.Run(60000)
		c.Check(CheckKeys(w.tills.Booked), qt.HasLen, 0)
		old := 0
		for _, one := range w.tills.Tried {
			c.Check(one.First && one.Why != "", qt.IsFalse, qt.Commentf("%+v", one))
			if one.Why != "" {
				old++
			}
		}
		c.Check(old > 0, qt.IsTrue, qt.Commentf("old keys of the server that went are refused"))
	})
}

func TestCheckKeysObjects(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	again := []Booked{{Key: "k", Server: "b1@x"}, {Key: "k", Server: "b1@x"}}
	c.Check(CheckKeys(again), qt.HasLen, 0)
	c.Check(CheckKeys(append(again, Booked{Key: "k", Server: "b1@y"})), qt.HasLen, 1)
}
