package explorer

// leaseModels begin where a lease is about to have another holder.
func leaseModels() []Model {
	return []Model{
		{Name: "lease-clocks", Help: "the holder's clock runs an eighth slower, and answers reach it late", Admitted: 3, Partitions: 1,
			LongLeases: true, ClockRates: []int64{perMille, perMille, perMille * 9 / 10}, Rounds: true, Settle: 60, Focus: leaseKinds, Opening: slowClock(), Unclosed: true,
			Budget: Budget{Crashes: 1, Holds: 4, Losses: 2, Freezes: 1}, Depth: 40, Deviations: 1},
		{Name: "lease-given-back", Help: "a holder gives a lease back, has it again, and its word arrives late", Admitted: 3, Partitions: 1,
			LongLeases: true, Rounds: true, Settle: 44, Focus: leaseKinds, Opening: givenBack(), Unclosed: true,
			Budget: Budget{Crashes: 1, Freezes: 1, Losses: 2}, Depth: 40, Deviations: 1},
		{Name: "lease-adoption", Help: "an owner that crashed between its fence and its state", Admitted: 3, Partitions: 1,
			LongLeases: true, Rounds: true, Settle: 44, Focus: []string{"GrantAsk", "GrantTold", "GrantBack", "Accepted"}, Opening: adoption(),
			Budget: Budget{Crashes: 1, Freezes: 1, Losses: 2}, Depth: 40, Deviations: 1},
		{Name: "lease-restarts", Help: "an earlier owner and grantors that forgot", Admitted: 3, Partitions: 1,
			LongLeases: true, Rounds: true, Settle: 44, Focus: leaseKinds, Opening: oldOwner(), Unclosed: true,
			Budget: Budget{Crashes: 2, Freezes: 1, Losses: 2}, Depth: 40, Deviations: 1},
	}
}

// slowClock leads to where the holder of a lease hears its grantors late, and
// they hear it no more.
func slowClock() []Step {
	return script{}.slowsKind("GrantTold", "", "c1", "c3").slowsKind("GrantTold", "", "c2", "c3").rounds(9).
		cuts("c3", "out").rounds(14).flushes("c1", "c3").flushes("c2", "c3")
}

// givenBack leads to where a holder has a lease again that it gave back.
func givenBack() []Step {
	return script{}.slowsKind("GrantBack", "", "c3", "c1", "c2").does(Stall, "c3").rounds(40).does(Sync, "c3").rounds(8).
		cuts("c3", "both").flushes("c3", "c1", "c2")
}

// adoption leads to an owner whose new fence is chosen, and whose record that it
// begins under it is lost in a crash; it has a state of an earlier fence.
func adoption() []Step {
	s := script{}.does(Crash, "c3").rounds(96).does(Crash, "c1").slowsKind("Accepted", "owner/0", "c2", "c3").does(Start, "c3").rounds(34)
	s = append(s, Step{Do: Deliver, Kind: "Accepted", Nth: oldest, From: "c2", Node: "c3", With: WithUnsynced})
	s = append(s, Step{Do: Quick, From: "c2", Node: "c3", Kind: "Accepted", With: "owner/0"})
	return s.does(Start, "c3", "c1")
}

// oldOwner leads to where a lease was taken over, the new holder is down, and the
// machines that know of it have started again.
func oldOwner() []Step {
	return script{}.does(Crash, "c3").rounds(96).does(Crash, "c1", "c2").rounds(2).does(Start, "c3", "c2").rounds(28)
}
