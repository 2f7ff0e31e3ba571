package explorer

// registerModels begin in the middle of rounds of two proposers.
func registerModels() []Model {
	return []Model{
		{Name: "promises", Help: "a promise was given, another proposer asks, and the acceptor may crash: complete to a depth", Admitted: 3,
			Opening: promised(), Budget: Budget{Crashes: 1}, Depth: 8, Deviations: -1},
	}
}

// promised leads to a proposer that may begin to write, and another that is about
// to ask the same copies.
func promised() []Step {
	return script{}.writes("c1", "a", 0).message(Deliver, "Prepare", 1, "c1", "c3").message(Deliver, "Promise", 1, "c3", "c1").writes("c2", "b", 0)
}
