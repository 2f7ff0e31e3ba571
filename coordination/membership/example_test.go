package membership_test

import (
	"fmt"
	"math/rand"

	"applequay/coordination/membership"
)

// Three nodes find each other from one seed; one falls silent and is removed.
func Example() {
	nodes := map[string]*membership.Members{}
	for at, id := range []string{"a", "b", "c"} {
		self := membership.Member{ID: id, Addr: id, Role: "node", Born: 1, Fact: map[string]string{}}
		nodes[id] = membership.New(self, membership.LimitsFor(200), rand.New(rand.NewSource(int64(at))), []string{"a"})
	}
	silent := ""
	var carry func(now int64, from string, out membership.Outputs)
	carry = func(now int64, from string, out membership.Outputs) {
		for _, send := range out.Sends {
			if from != silent && send.To != silent {
				carry(now, send.To, nodes[send.To].Hear(now, from, send.Body))
			}
		}
	}
	run := func(from, to int64) {
		for now := from; now < to; now += 50 {
			for _, id := range []string{"a", "b", "c"} {
				carry(now, id, nodes[id].Tick(now))
			}
		}
	}
	run(0, 3000)
	fmt.Println("a knows", len(nodes["a"].Alive("node")))
	silent = "c"
	run(3000, 8000)
	standing, _ := nodes["a"].Standing("c")
	fmt.Println("c was removed:", standing == membership.Removed)
	// Output:
	// a knows 3
	// c was removed: true
}
