package controller

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Seeds may be machines without a disk: they answer that they have no vote, and those
// that have one found the set without them. One that does not answer is waited for.
func TestSeedsWithoutADisk(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		voteless []string
		away     string
		set      string
	}{
		{[]string{"a:1"}, "", "b~1 c~1"}, {[]string{"c:1"}, "", "a~1 b~1"}, {[]string{"a:1", "b:1"}, "", "c~1"},
		{[]string{"a:1"}, "b:1", ""}, {nil, "c:1", ""},
	}
	for _, one := range cases {
		c.Run(fmt.Sprint(one.voteless, one.away), func(c *qt.C) {
			s := newFounders()
			s.voteless = map[string]bool{}
			for _, addr := range one.voteless {
				s.voteless[addr] = true
			}
			want := map[string]string{}
			for _, addr := range founderAddrs {
				if !s.voteless[addr] && addr != one.away {
					s.start(addr, addr[:1]+"~1", true)
					want[addr] = one.set
				}
			}
			s.run(2000)
			c.Check(s.sets(), qt.DeepEquals, want)
		})
	}
}
