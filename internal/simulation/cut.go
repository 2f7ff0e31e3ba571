package simulation

// Cut is one way in which core machines lose the others for twenty seconds, while
// operators go on at both sides.
type Cut struct {
	Name, Help string
	// begin brings it about; what it returns ends it.
	begin func(t *cutting) func()
}

// The moments of a run: the cut begins, fronts come up on its side, it ends.
const (
	cutFrom   = 15000
	cutFronts = cutFrom + 8000
	cutTo     = cutFrom + 20000
	cutEnds   = cutTo + 12000
)

// cutting is a run under a cut.
type cutting struct {
	w *World
	// side are the core machines cut off, crossed those that come over to them.
	side, crossed []int
	begun, ended  bool
	// lost are breaches noted on the way.
	lost []string
}

// Cuts are all that this simulator brings about.
//
//	for _, cut := range simulation.Cuts() { ... }
func Cuts() []Cut {
	return []Cut{
		{"both-ways", "one core machine and a front that reaches only it are cut off both ways", func(t *cutting) func() { return t.part(1, true, true) }},
		{"deaf", "one core machine hears none of the others, which hear it", func(t *cutting) func() { return t.part(1, false, true) }},
		{"mute", "one core machine is heard by none of the others, and hears them", func(t *cutting) func() { return t.part(1, true, false) }},
		{"with-seeds", "as many core machines as make no majority are cut off, the first seeds among them", func(t *cutting) func() { return t.part((len(t.w.cores)-1)/2, true, true) }},
		{"restarted", "the same, and a machine of the majority starts again and finds itself on their side", func(t *cutting) func() {
			heal := t.part((len(t.w.cores)-1)/2, true, true)
			t.w.After(9000, func() { t.cross(len(t.w.cores) - 1) })
			return heal
		}},
		{"frozen", "one core machine freezes instead", func(t *cutting) func() {
			t.side = []int{0}
			t.w.Freeze(0, cutTo-cutFrom)
			return func() {}
		}},
	}
}

// CutOff plays a cut.
//
//	world := simulation.CutOff(simulation.Krizanka(), 7, simulation.Cuts()[0])
func CutOff(shape Shape, seed int64, cut Cut) *World {
	w := New(shape, seed)
	t := &cutting{w: w}
	ann := w.NewOperator("ann")
	w.At(4000, func() { ann.Set(-1) })
	for at := int64(5000); at < cutEnds; at += 400 {
		w.At(at, func() { w.Ask(w.Random.Intn(len(w.fronts)), w.item()) })
	}
	w.At(cutFrom, func() {
		heal := cut.begin(t)
		t.begun = true
		w.Note("%s begins", cut.Name)
		w.At(cutTo, func() {
			heal()
			t.ended = true
			w.Note("%s ends", cut.Name)
		})
	})
	t.operators()
	for at := int64(cutFrom); at < cutEnds; at += 250 {
		w.At(at, t.votersStand)
	}
	w.At(cutFronts, t.newFronts)
	w.Run(cutEnds)
	w.cut = t
	return w
}

// operators write and read at either side all the while. Those at the machines
// cut off build on what was current when the cut began, and on what is current
// now: neither is refused or confirmed there.
func (t *cutting) operators() {
	w := t.w
	far, near := w.NewOperator("far"), w.NewOperator("near")
	newest := int64(-1)
	for at := int64(6000); at < cutEnds; at += 700 {
		w.At(at, func() {
			far.only = t.nodes(false)
			far.Get(func(version int64) {
				newest = version
				far.Set(version)
			})
		})
	}
	for at := int64(cutFrom); at < cutTo+3000; at += 450 {
		w.At(at, func() {
			near.only = t.nodes(true)
			stood := newest
			near.Get(near.Set)
			near.Set(stood)
			near.Set(stood - 1)
		})
	}
}

// nodes are the nodes at which the operators of a side ask: fronts come first.
func (t *cutting) nodes(cutOff bool) []int {
	w, fronts := t.w, len(t.w.fronts)
	var out []int
	for at := range w.cores {
		if t.off(at) == cutOff {
			out = append(out, fronts+at)
		}
	}
	if cutOff {
		out = append(out, 0)
	}
	return out
}

// off tells whether a core machine is on the side that was cut off.
func (t *cutting) off(core int) bool {
	for _, at := range append(append([]int{}, t.side...), t.crossed...) {
		if at == core {
			return true
		}
	}
	return false
}

// part cuts the first core machines off, and the first front with them.
func (t *cutting) part(count int, out, in bool) func() {
	for at := range count {
		t.side = append(t.side, at)
	}
	t.links(out, in)
	return func() { t.w.Cuts = map[[2]string]bool{} }
}

// links cuts all that leads from the one side to the other, and back.
func (t *cutting) links(out, in bool) {
	w := t.w
	var here, there []string
	for at, e := range w.cores {
		if t.off(at) {
			here = append(here, e.Addr)
		} else {
			there = append(there, e.Addr)
		}
	}
	for at, f := range w.fronts {
		if at == 0 || f.late {
			here = append(here, f.Addr)
		} else {
			there = append(there, f.Addr)
		}
	}
	w.Cuts = map[[2]string]bool{}
	for _, one := range here {
		for _, other := range there {
			w.Cut(one, other, out)
			w.Cut(other, one, in)
		}
	}
}

// cross starts a machine of the majority again on the side that is cut off.
func (t *cutting) cross(core int) {
	t.w.Crash(core, true)
	t.w.After(700, func() {
		t.crossed = append(t.crossed, core)
		t.links(true, true)
		t.w.Restart(core, false)
	})
}

// newFronts starts the front that reaches only the machines cut off again, and
// another one that knows no others.
func (t *cutting) newFronts() {
	w := t.w
	w.CrashFront(0, 500)
	if len(w.Cuts) == 0 {
		return
	}
	fresh := w.AddFront("l99", "10.0.1.99:1", "z0", []string{w.cores[0].Addr})
	fresh.late = true
	out, in := w.Cuts[[2]string{w.cores[0].Addr, w.cores[len(w.cores)-1].Addr}], w.Cuts[[2]string{w.cores[len(w.cores)-1].Addr, w.cores[0].Addr}]
	if len(t.crossed) == 0 {
		t.links(out, in)
	}
}
