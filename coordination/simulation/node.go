package simulation

// Node is a process of the world. Hear takes messages, Tick is called by Every.
type Node struct {
	World          *World
	Name, Addr, ID string
	Up             bool
	// FrozenTo is until when nothing moves; what comes meanwhile waits.
	FrozenTo int64
	// OffsetMs is how far its monotonic clock is off, WallMs that on the wall.
	OffsetMs, WallMs int64
	Hear             func(from string, body Record)
	Tick             func()
	// Life rises with each start and each crash, so that old events find nobody.
	Life int64
}

// Add puts a node into the world; it is not up yet.
//
//	world.Add(node)
func (w *World) Add(node *Node) {
	node.World = w
	w.Nodes[node.Addr] = node
}

// Start begins a life: what was under way before finds nobody.
//
//	node.Start("a~2")
func (n *Node) Start(id string) {
	n.Life++
	n.Up, n.FrozenTo, n.ID = true, 0, id
}

// Stop ends a life at once, as a kill does.
//
//	node.Stop()
func (n *Node) Stop() {
	n.Up = false
	n.Life++
}

// Freeze lets nothing move for a while; then it goes on where it stopped.
//
//	node.Freeze(9000)
func (n *Node) Freeze(ms int64) { n.FrozenTo = n.World.NowMs + ms }

// Clock is the node's monotonic time.
//
//	out := machine.Tick(node.Clock())
func (n *Node) Clock() int64 { return n.World.NowMs + n.OffsetMs }

// On runs something on the node in its present life, once it is not frozen.
//
//	node.On(func() { perform(machine.Tick(node.Clock())) })
func (n *Node) On(run func()) {
	life := n.Life
	var step func()
	step = func() {
		if !n.Up || n.Life != life {
			return
		}
		if n.World.NowMs < n.FrozenTo {
			n.World.At(n.FrozenTo, step)
			return
		}
		run()
	}
	step()
}

// Every ticks the node for as long as it lives.
//
//	node.Every(25)
func (n *Node) Every(ms int64) {
	life := n.Life
	var step func()
	step = func() {
		if n.Life != life || !n.Up {
			return
		}
		n.On(n.Tick)
		n.World.After(ms, step)
	}
	n.World.After(n.World.Random.Int63n(ms)+1, step)
}
