package register_test

import (
	"fmt"
	"math/rand"

	"applequay/coordination/register"
)

// carry takes messages to three acceptors and their answers back, at once.
func carry(acceptors map[string]*register.Acceptor, proposer *register.Proposer, out register.Outputs) {
	for _, answer := range out.Answers {
		outcome := answer.Body.(register.Outcome)
		fmt.Printf("call %d: fate %d mark %d %q\n", answer.Call, outcome.Fate, outcome.Value.Version, outcome.Value.Body)
	}
	for _, send := range out.Sends {
		for _, back := range acceptors[send.To].Hear("me", send.Body).Then {
			carry(acceptors, proposer, proposer.Hear(0, send.To, back.Body))
		}
	}
}

// Three copies, two writes that expect the same version, and a read.
func Example() {
	acceptors := map[string]*register.Acceptor{}
	core := register.CoreSet{Epoch: 1, Rereplicated: true}
	for _, id := range []string{"a", "b", "c"} {
		acceptors[id] = register.NewAcceptor()
		core.Voters = append(core.Voters, register.Voter{ID: id})
	}
	limits := register.Limits{CallMs: 1600, PhaseMs: 400, LineageLen: 16}
	proposer := register.NewProposer("me/1", rand.New(rand.NewSource(1)), limits, core)
	carry(acceptors, proposer, proposer.Change(0, 1, "colour", 0, 0, []byte("red"), "first"))
	carry(acceptors, proposer, proposer.Change(0, 2, "colour", 0, 0, []byte("blue"), "second"))
	carry(acceptors, proposer, proposer.Read(0, 3, "colour", register.Ballot{}, nil))
	// Output:
	// call 1: fate 0 mark 1 "red"
	// call 2: fate 1 mark 1 "red"
	// call 3: fate 0 mark 1 "red"
}
