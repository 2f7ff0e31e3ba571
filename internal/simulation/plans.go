package simulation

// Plan is a run that a seed draws, by a name.
type Plan struct {
	Name, Help string
	Run        func(shape Shape, seed int64) *World
}

// Plans are all runs that a seed draws.
//
//	for _, plan := range simulation.Plans() { plan.Run(simulation.Krizanka(), 7) }
func Plans() []Plan {
	out := []Plan{
		{"faults", "machines, links and disks fail", Faults},
		{"harder", "disks fill up or are lost as well, and groups of machines go together", Harder},
		{"orders", "as harder, with operators whose answers are lost", Orders},
	}
	for _, one := range races {
		out = append(out, Plan{one.name, "eight operators race while " + one.help, func(shape Shape, seed int64) *World {
			w := one.run(shape, seed)
			w.RemindAll(60)
			return w
		}})
	}
	return out
}
