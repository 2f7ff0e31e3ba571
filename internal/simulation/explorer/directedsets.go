package explorer

import "slices"

// setModels begin where the core set is about to change, or has changed twice.
func setModels() []Model {
	return []Model{
		{Name: "two-losses", Help: "the holder of a lease and one of its grantors go at once, the others have not heard of it", Admitted: 5, Partitions: 1,
			LongLeases: true, LeaseTicks: ample, Rounds: true, Settle: ampleSettle, Focus: leaseKinds, Opening: twoLosses(), Unclosed: true,
			Budget: Budget{Crashes: 1, Holds: 2, Losses: 2}, Depth: 40, Deviations: 1},
		{Name: "new-grantor", Help: "a grantor is replaced while a lease runs that nobody else heard of", Admitted: 3, Spare: 1, Partitions: 1,
			LongLeases: true, LeaseTicks: ample, Rounds: true, Focus: leaseKinds, Opening: newGrantor(), Unclosed: true,
			Budget: Budget{Crashes: 1, Holds: 2, Losses: 2}, Depth: 40, Deviations: 1},
		{Name: "missed-sets", Help: "a coordinator that missed how large the set was", Admitted: 4, Spare: 1, Partitions: 1,
			LongLeases: true, LeaseTicks: ample, Rounds: true, Focus: slices.Concat(leaseKinds, registerKinds, []string{"KeysAsk", "KeysTold", "News"}), Opening: missedSets(), Unclosed: true,
			Budget: Budget{Crashes: 1, Holds: 2, Losses: 2}, Depth: 40, Deviations: 1},
		{Name: "two-changes", Help: "a value at the smallest majority, two of which go at once", Admitted: 5,
			Rounds: true, Settle: 24, Focus: registerKinds, Opening: twoChanges(), Unclosed: true,
			Budget: Budget{Crashes: 1, Holds: 2, Losses: 2}, Depth: 40, Deviations: 1},
		{Name: "old-set", Help: "a proposer with an old set, held back while two of it went", Admitted: 5,
			Rounds: true, Settle: 24, Focus: registerKinds, Opening: oldSet(), Unclosed: true,
			Budget: Budget{Crashes: 1, Losses: 2}, Depth: 40, Deviations: 1},
	}
}

// twoLosses leads to five voters of which the holder and one grantor are gone,
// and the two that have not heard of the lease are still there.
func twoLosses() []Step {
	return script{}.slows("c3", "c1", "c2").rounds(72).does(Crash, "c5").cuts("c3", "both").rounds(10).loses("c3", "c1", "c2")
}

// newGrantor leads to three voters of which one that granted is gone and replaced,
// and its successor has not heard of the lease.
func newGrantor() []Step {
	return script{}.cuts("c4", "both").rounds(ampleSettle).slows("c3", "c1", "c4").rounds(72).does(Crash, "c2").heals().rounds(20).cuts("c3", "both").rounds(3).loses("c3", "c1", "c4")
}

// missedSets leads to a coordinator that has not heard of a fifth voter, nor of a
// lease that was granted by three of five, when a second of these goes.
func missedSets() []Step {
	s := script{}.cuts("c5", "both").rounds(ampleSettle).heals().rounds(2)
	for _, node := range []string{"c2", "c3", "c4", "c5"} {
		s = s.slows(node, "c1")
	}
	s = s.rounds(72).slowsKind("GrantAsk", "", "c3", "c2").rounds(72).does(Crash, "c5").rounds(24).cuts("c3", "both")
	for _, node := range []string{"c2", "c4"} {
		s = s.quickens(node, "c1")
	}
	return s.rounds(8).loses("c2", "c1").loses("c3", "c1", "c2").loses("c4", "c1").loses("c5", "c1")
}

// twoChanges leads to a write taken by three of five, of which two are gone and
// the third does not tell.
func twoChanges() []Step {
	s := script{}.writes("c1", "a", 0).rounds(4)
	for _, node := range []string{"c3", "c4", "c5"} {
		s = s.slowsKind("", "policy", node, "c1", "c2")
	}
	s = s.writes("c5", "b", 1).rounds(4).does(Crash, "c4", "c5").rounds(20).does(Crash, "c1").does(Start, "c1").rounds(36)
	return s.loses("c3", "c1", "c2").loses("c5", "c1", "c2")
}

// oldSet leads to a proposer that asked five for the first version, stood still
// while it and another were taken out and three made that version, and is answered
// by the other and by one of the three.
func oldSet() []Step {
	s := script{}.slowsKind("", "policy", "c5", "c1", "c2").slowsKind("Prepare", "policy", "c5", "c3", "c4").writes("c5", "b", 0)
	for _, node := range []string{"c1", "c2", "c3"} {
		s = s.slowsKind("Query", "", node, "c5").slowsKind("", "core", node, "c5")
	}
	s = s.does(Crash, "c4").does(Freeze, "c5").rounds(80)
	for _, node := range []string{"c1", "c2"} {
		s = s.slowsKind("", "policy", node, "c3").slowsKind("", "policy", "c3", node)
	}
	s = s.writes("c1", "a", 0).rounds(4).does(Start, "c4").does(Thaw, "c5")
	for _, node := range []string{"c3", "c4"} {
		s = s.message(Deliver, "Prepare", oldest, "c5", node).message(Deliver, "Promise", oldest, node, "c5")
	}
	return s
}
