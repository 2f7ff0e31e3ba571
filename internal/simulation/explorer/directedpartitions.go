package explorer

var partitionKinds = []string{"Post", "PostAck", "Handover", "HandoverTaken", "GrantBack"}

// partitionModels begin where partitions place items on workers.
func partitionModels() []Model {
	return []Model{
		{Name: "partitions", Help: "three partitions place items on two workers, and owners go, leave and come back", Admitted: 3, Partitions: 3, Workers: 2, Rounds: true,
			Focus: partitionKinds, Opening: placing(),
			Budget: Budget{Crashes: 1, Holds: 2, Losses: 2, Leaves: 1, Stalls: 1, Freezes: 1, Repeats: 1}, Depth: 200, Deviations: 1},
		{Name: "handed-back", Help: "a leaver whose hand-over reached nobody starts again with what it sealed", Admitted: 3, Partitions: 3, Workers: 2, Rounds: true,
			Focus: partitionKinds, Opening: handedBack(),
			Budget: Budget{Crashes: 1, Holds: 2, Losses: 2, Leaves: 1, Stalls: 1, Repeats: 1}, Depth: 200, Deviations: 1},
	}
}

// placing leads to partitions that place items on workers.
func placing() script { return script{}.rounds(44).writes("c1", policyName, 0).rounds(80) }

// handedBack leads to an owner that sealed its partition, could hand it to nobody,
// and is back.
func handedBack() []Step {
	return placing().slowsKind("Handover", "", "c3", "c1", "c2").does(Leave, "c3").rounds(2).does(Crash, "c3").does(Start, "c3").
		loses("c3", "c1")
}
