package explorer

// Model is one configuration to explore: how many machines there are, what is
// asked of them, and how much may go wrong in one history.
type Model struct {
	Name string
	Help string
	// Admitted machines make up the first core set; Spare ones start without a vote.
	Admitted, Spare int
	// Unfounded machines start with empty disks and must found the first set.
	Unfounded bool
	// Calls are the operators' calls, each of which may begin at any time, at the
	// machine that its number names.
	Calls []Call
	// Focus names the kinds of messages whose order is searched; others are
	// delivered in each round. All are in focus if none is named.
	Focus []string
	// Partitions is how many leases there are.
	Partitions int64
	// Workers are what partitions place items on; with them the front asks too.
	Workers int
	// LongLeases are four times as long, beside the time in which another is
	// suspected, as those of a deployment: more can happen while one runs.
	LongLeases bool
	// LeaseTicks is how long turns of two owners are apart, where it is neither of
	// the two.
	LeaseTicks int64
	// ClockRates are by how many thousandths the machines' clocks run, in their
	// order; those left out run at the world's rate.
	ClockRates []int64
	// Unclosed walks end where they end: faults go on.
	Unclosed bool
	// EarlyWipes may come before the first set is founded; then it may never be.
	EarlyWipes bool
	// FirstAgain says that a founder whose disk is lost is told again that the
	// system starts for the very first time.
	FirstAgain bool
	// Rounds says that time passes; else nothing but messages moves.
	Rounds bool
	// Least rounds that pass before the search begins.
	Settle int
	// Opening is taken after that, before anything is chosen: it leads to where
	// much can go wrong.
	Opening []Step
	// Budget is how much may go wrong in one history.
	Budget Budget
	// Depth is the longest history of a complete search, Deviations how often it
	// may leave the ordinary order; negative for any number.
	Depth, Deviations int
	// drawn says that calls are drawn on the way.
	drawn bool
}

// Call is an operator's call: a write, by a name that tells it from all others,
// or a read.
type Call struct {
	At       int
	Write    string
	Expected int64
}

// Budget bounds what may go wrong in one history.
type Budget struct {
	Crashes, Wipes, Older, Repeats, Holds, Losses, Stalls, Freezes, Cuts, Leaves int
}

// The times of all machines, as ratios of the tick.
const (
	tickMs    = 25
	callMs    = 16 * tickMs
	catchUpMs = 40 * tickMs
	// never is longer than any history.
	never = 1 << 40
)

// leaseMs is how long turns of two owners are apart; leases are half as long.
func (m Model) leaseMs() int64 {
	if m.LeaseTicks > 0 {
		return m.LeaseTicks * tickMs
	}
	if m.LongLeases {
		return 64 * tickMs
	}
	return 32 * tickMs
}

// pollMs is how often workers and their list are looked at: never, where there
// are none.
func (m Model) pollMs() int64 {
	if m.Workers == 0 {
		return never
	}
	return listEvery * tickMs
}

// probeMs is how often machines ask after each other.
func (m Model) probeMs() int64 {
	if m.LongLeases {
		return tickMs
	}
	return 2 * tickMs
}

var registerKinds = []string{"Prepare", "Promise", "Accept", "Accepted", "Query", "Chosen", "WriteAsk"}

// Models lists all configurations.
//
//	for _, model := range explorer.Models() { ... }
func Models() []Model {
	return append(broadModels(), directedModels()...)
}

// broadModels begin where nothing has happened yet, or shortly after.
func broadModels() []Model {
	return []Model{
		{Name: "registers", Help: "one register, two writers on one base, three machines: complete to a depth", Admitted: 3,
			Calls: []Call{{At: 0, Write: "a"}, {At: 1, Write: "b"}}, Budget: Budget{Crashes: 1}, Depth: 12, Deviations: -1},
		{Name: "registers-deep", Help: "two writers and two readers to their ends, with crashes, repeats and losses", Admitted: 3,
			Calls:  []Call{{At: 0, Write: "a"}, {At: 1, Write: "b"}, {At: 2}, {At: 0}},
			Budget: Budget{Crashes: 2, Repeats: 1, Holds: 4, Losses: 4, Stalls: 1}, Depth: 80, Deviations: 4, Rounds: true},
		{Name: "core-set", Help: "four machines, one goes and comes back while orders are written", Admitted: 4, Partitions: 1,
			Calls: []Call{{At: 0, Write: "a"}, {At: 1, Write: "b"}, {At: 2}, {At: 3, Write: "c", Expected: 1}},
			Focus: append([]string{"KeysAsk", "KeysTold", "News"}, registerKinds...), Rounds: true, Settle: 8,
			Budget: Budget{Crashes: 2, Wipes: 1, Holds: 3, Losses: 3, Cuts: 1, Freezes: 1}, Depth: 400, Deviations: 2},
		{Name: "set-of-five", Help: "five machines and leases, while machines go and come back", Admitted: 5, Partitions: 1, LongLeases: true,
			Calls: []Call{{At: 0, Write: "a"}, {At: 4, Write: "b"}, {At: 2}},
			Focus: append([]string{"KeysAsk", "KeysTold", "GrantAsk", "GrantTold", "GrantBack", "News"}, registerKinds...), Rounds: true, Settle: 44,
			Budget: Budget{Crashes: 2, Wipes: 1, Holds: 3, Losses: 3, Cuts: 1, Freezes: 1}, Depth: 400, Deviations: 1},
		{Name: "leases", Help: "leases of one partition among three machines", Admitted: 3, Partitions: 1, LongLeases: true, Rounds: true, Settle: 44,
			Focus:  []string{"GrantAsk", "GrantTold", "GrantBack", "Prepare", "Promise", "Accept", "Accepted"},
			Budget: Budget{Crashes: 2, Holds: 2, Losses: 2, Freezes: 1, Stalls: 1, Cuts: 1}, Depth: 500, Deviations: 2},
		{Name: "lease-takeover", Help: "the holder of a lease is not heard of by one of two grantors", Admitted: 3, Partitions: 1, LongLeases: true, Rounds: true, Settle: 44,
			Focus: []string{"GrantAsk", "GrantBack"}, Opening: takeover(), Unclosed: true,
			Budget: Budget{Crashes: 1, Freezes: 1, Stalls: 1}, Depth: 60, Deviations: 2},
		{Name: "lease-again", Help: "a machine that held a lease is back, another holds it now", Admitted: 3, Partitions: 1, LongLeases: true, Rounds: true, Settle: 44,
			Focus: []string{"GrantAsk", "GrantBack"}, Opening: again(), Unclosed: true,
			Budget: Budget{Crashes: 1, Freezes: 1, Stalls: 1, Cuts: 1}, Depth: 60, Deviations: 1},
		{Name: "founding", Help: "three seeds and a fourth machine found the first core set", Admitted: 3, Spare: 1, Unfounded: true, Rounds: true,
			Focus:  []string{"FoundAsk", "FoundTold", "Found"},
			Budget: Budget{Crashes: 2, Wipes: 1, Repeats: 1, Holds: 2, Losses: 2, Stalls: 1}, Depth: 120, Deviations: 3},
		{Name: "founding-wiped", Help: "founders that lose their disks before the first set is founded", Admitted: 3, Unfounded: true, EarlyWipes: true, Rounds: true,
			Focus:  []string{"FoundAsk", "FoundTold", "Found"},
			Budget: Budget{Crashes: 2, Wipes: 1, Repeats: 1, Holds: 3, Losses: 2}, Depth: 60, Deviations: 4},
		{Name: "handover", Help: "a planned leaver hands its partitions over", Admitted: 3, Partitions: 2, Rounds: true, Settle: 44,
			Focus:  []string{"Handover", "HandoverTaken", "GrantAsk", "GrantTold", "GrantBack"},
			Budget: Budget{Crashes: 1, Holds: 2, Losses: 2, Leaves: 1, Stalls: 1}, Depth: 600, Deviations: 3},
	}
}

// ModelOf finds a configuration by its name.
//
//	model, ok := explorer.ModelOf("leases")
func ModelOf(name string) (Model, bool) {
	for _, model := range Models() {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// takeover leads to a holder whose asks have not reached one grantor for a lease.
func takeover() []Step {
	steps := []Step{{Do: Slow, From: "c3", Node: "c1"}}
	for range 36 {
		steps = append(steps, Step{Do: Round, With: WithAll})
	}
	return steps
}

// again leads to where a lease was taken over from a machine that is back since.
func again() []Step {
	steps := []Step{{Do: Crash, Node: "c3"}}
	for range 96 {
		steps = append(steps, Step{Do: Round, With: WithAll})
	}
	steps = append(steps, Step{Do: Start, Node: "c3"})
	for range 64 {
		steps = append(steps, Step{Do: Round, With: WithAll})
	}
	return steps
}
