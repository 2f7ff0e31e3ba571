package simulation_test

import (
	"fmt"
	"math/rand"
	"strings"

	"applequay/coordination/membership"
	"applequay/coordination/simulation"
)

// Three nodes know each other over links that lose one message in ten; one
// crashes and is gone for the others, one freezes for a moment and is not.
func Example() {
	world := simulation.New(7)
	world.Loss = 10
	pictures := map[string]*membership.Members{}
	for _, id := range []string{"a", "b", "c"} {
		node := &simulation.Node{Name: id, Addr: id + ":1"}
		picture := membership.New(membership.Member{ID: id, Name: id, Addr: node.Addr, Role: "node"}, membership.LimitsFor(200), rand.New(rand.NewSource(world.Random.Int63())), []string{"a:1", "b:1"})
		perform := func(out membership.Outputs) {
			for _, send := range out.Sends {
				to := send.To
				if !strings.Contains(to, ":") {
					to, _ = picture.Addr(to)
				}
				world.Send(node, to, send.Kind, send.Body)
			}
		}
		node.Hear = func(from string, body simulation.Record) { perform(picture.Hear(node.Clock(), from, body)) }
		node.Tick = func() { perform(picture.Tick(node.Clock())) }
		pictures[id] = picture
		world.Add(node)
		node.Start(id)
		node.Every(25)
	}
	show := func() {
		stands := []string{}
		for _, member := range pictures["a"].Alive("node") {
			stands = append(stands, member.ID)
		}
		fmt.Println(world.Now(), stands)
	}
	world.At(3000, show)
	world.At(4000, func() { world.Nodes["b:1"].Freeze(500) })
	world.At(5000, world.Nodes["c:1"].Stop)
	world.At(12000, show)
	world.Run(12000)
	// Output:
	// 3000 [a b c]
	// 12000 [a b]
}
