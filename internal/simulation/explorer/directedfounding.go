package explorer

// foundingModels begin where a first core set was told to nobody.
func foundingModels() []Model {
	return []Model{
		{Name: "founding-twice", Help: "a founder that loses its disk founds again, and what it told before arrives late", Admitted: 3, Unfounded: true, EarlyWipes: true, FirstAgain: true, Rounds: true,
			Focus: []string{"FoundAsk", "FoundTold", "Found"}, Opening: foundTwice(),
			Budget: Budget{Crashes: 1, Holds: 2, Losses: 1}, Depth: 40, Deviations: 2},
	}
}

// foundTwice leads to a founder that founded, was heard of by nobody, lost its
// disk and asks anew, while what it told before is free to arrive.
func foundTwice() []Step {
	s := script{}.slowsKind("Found", "", "c1", "c2", "c3").rounds(1).does(Crash, "c1")
	s = append(s, Step{Do: Start, Node: "c1", With: WithEmpty})
	return append(s, Step{Do: Quick, From: "c1", Node: "c2", Kind: "Found"}, Step{Do: Quick, From: "c1", Node: "c3", Kind: "Found"})
}
