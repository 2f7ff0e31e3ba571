package simulation

// Scenario is a run that can be replayed by its name.
type Scenario struct {
	Name, Help string
	// Play runs it and checks it.
	Play func(shape Shape, seed int64) (*World, []string)
}

// Scenarios are all that the simulator plays by name.
//
//	for _, scenario := range simulation.Scenarios() { ... }
func Scenarios() []Scenario {
	checked := func(run func(Shape, int64) *World) func(Shape, int64) (*World, []string) {
		return func(shape Shape, seed int64) (*World, []string) {
			w := run(shape, seed)
			return w, w.Breaches()
		}
	}
	out := []Scenario{
		{"faults", "faults drawn from the seed", checked(Faults)},
		{"harder", "the same, with full and lost disks and losses together", checked(Harder)},
		{"orders", "as harder, with operators whose answers are lost", checked(Orders)},
	}
	for _, one := range races {
		out = append(out, Scenario{one.name, "eight operators race while " + one.help, checked(func(shape Shape, seed int64) *World {
			w := one.run(shape, seed)
			w.RemindAll(60)
			return w
		})})
	}
	for _, cut := range Cuts() {
		out = append(out, Scenario{"cut-" + cut.Name, cut.Help + ", for twenty seconds", func(shape Shape, seed int64) (*World, []string) {
			w := CutOff(shape, seed, cut)
			return w, w.CutBreaches()
		}})
	}
	return out
}

// Shapes are the fleets that scenarios are played on.
//
//	for _, shape := range simulation.Shapes() { ... }
func Shapes() []Shape {
	return []Shape{Brilleverk(), Krizanka(), Larger(5), Larger(6)}
}
