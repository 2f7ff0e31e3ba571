// Package workermodel models a model worker: a batch of slots, a prompt memory, what
// it holds and the orders it takes. It is a pure machine: the time is given to
// it, in ms, and the same calls give the same events. The stand-ins serve it,
// and what chooses workers asks it for estimates.
package workermodel

import (
	"maps"
	"math"
	"slices"
)

// Spec is what a worker is like. Times are ms, sizes of prompts tokens.
type Spec struct {
	// Slots run at a time; QueueLimit more wait, and others are turned away.
	Slots, QueueLimit int
	// A step that makes a token for each of n requests takes StepMs, SlotMs for
	// each of them and ContextMs for each thousand tokens they hold.
	StepMs, SlotMs, ContextMs float64
	// ReadPerMs prompt tokens are read in a ms, at most ChunkTokens in a step;
	// PairMs is added for a million pairs of a token and one before it.
	ReadPerMs, PairMs float64
	ChunkTokens       int
	// MemoryTokens are shared by running requests and kept parts, in whole
	// blocks of BlockTokens. A piece holds PieceTokens.
	MemoryTokens, BlockTokens, PieceTokens int
	// RoomMb is for weights and adapters; AdapterPlaces bounds the adapters.
	RoomMb        float64
	AdapterPlaces int
	// ReportLagMs is how old a report is; Fenced workers refuse lower fences.
	ReportLagMs float64
	Fenced      bool
	// Slowness multiplies all times (1 or nought: none).
	Slowness float64
}

// Model is one that may be loaded. Pace multiplies its steps.
type Model struct {
	Name                    string
	Version                 int64
	SizeMb, ExtraMb         float64
	LoadMs, WarmMs, ExtraMs float64
	Pace                    float64
}

// Part is a piece of a prompt that others may share.
type Part struct {
	Name   string
	Tokens int
}

// Ask is one request. Urgency 0 goes first. DeadlineMs is a moment, or nought.
// From pieces were told before (by another run) and are read with the prompt.
type Ask struct {
	Name, Model, Adapter string
	Parts                []Part
	Out, Urgency, From   int
	DeadlineMs           float64
}

// Prompt is how many tokens are to be read, kept or not.
//
//	tokens := ask.Prompt()
func (a Ask) Prompt() int {
	sum := 0
	for _, part := range a.Parts {
		sum += part.Tokens
	}
	return sum
}

// Verdict is what becomes of a request as it comes.
type Verdict int

// The verdicts: all but Taken mean that it has not run.
const (
	Taken Verdict = iota
	Full
	Missing
	Busy
	TooLate
)

// Kind is a kind of event.
type Kind int

// Began comes with the first token, Piece with each piece, Done after the last;
// Late ends a running request and Lapsed a waiting one at its deadline; Ousted
// ends a waiting one since an order concerns its model.
const (
	Began Kind = iota
	Piece
	Done
	Late
	Lapsed
	Ousted
)

// Event is something that happened to a request. Number counts pieces from 1.
type Event struct {
	AtMs   float64
	Kind   Kind
	Name   string
	Number int
}

// StepTime is how long a step takes that makes a token for each of some requests,
// which hold so many tokens together.
//
//	ms := spec.StepTime(12, 9000)
func (s Spec) StepTime(making, context int) float64 {
	if making == 0 {
		return 0
	}
	return s.slow() * (s.StepMs + s.SlotMs*float64(making) + s.ContextMs*float64(context)/1000)
}

// ReadTime is how long prompt tokens take to read after so many others, in ms.
//
//	ms := spec.ReadTime(1460, 0)
func (s Spec) ReadTime(tokens, before int) float64 {
	if tokens <= 0 {
		return 0
	}
	pairs := float64(tokens) * (float64(before) + float64(tokens)/2)
	return s.slow() * (float64(tokens)/s.ReadPerMs + s.PairMs*pairs/1e6)
}

func (s Spec) slow() float64 {
	if s.Slowness > 0 {
		return s.Slowness
	}
	return 1
}

// blocks rounds tokens up to whole blocks.
func (s Spec) blocks(tokens int) int {
	if s.BlockTokens <= 1 {
		return tokens
	}
	return (tokens + s.BlockTokens - 1) / s.BlockTokens * s.BlockTokens
}

// State is what is known of a worker from outside, for estimates.
type State struct {
	// Running and Waiting requests; Unread prompt tokens of those more urgent or
	// come before; Context tokens held; Left tokens that a running request makes
	// yet, on average.
	Running, Waiting, Unread, Context, Left int
	// Kept tokens of this prompt need no reading; LoadMs until the model is there.
	Kept   int
	LoadMs float64
	Pace   float64
}

// FirstMs estimates how long until the first piece of a request, in ms.
//
//	ms := workermodel.FirstMs(spec, workermodel.State{Running: 10, Left: 40}, ask)
func FirstMs(spec Spec, state State, ask Ask) float64 {
	pace := max(state.Pace, 0)
	if pace == 0 {
		pace = 1
	}
	own := max(ask.Prompt()-state.Kept, 0)
	making := min(state.Running+1, max(spec.Slots, 1))
	step := pace * spec.StepTime(making, state.Context+ask.Prompt())
	wait := 0.0
	if ahead := state.Running + state.Waiting - spec.Slots + 1; ahead > 0 {
		// Places come free evenly over the time that a request takes.
		wait = float64(ahead) * float64(max(state.Left, 1)) * 2 * step / float64(max(spec.Slots, 1))
	}
	reading := pace * (spec.ReadTime(state.Unread, 0) + spec.ReadTime(own, state.Kept))
	between := 0.0
	if chunk := spec.ChunkTokens; chunk > 0 && state.Running > 0 {
		// Others make a token between two chunks; the last chunk brings one's own.
		between = float64((state.Unread+own-1)/chunk) * step
	}
	return state.LoadMs + wait + reading + between + step*float64(min(max(spec.PieceTokens, 1), max(ask.Out, 1)))
}

// WholeMs estimates how long until the last piece, in ms.
//
//	ms := workermodel.WholeMs(spec, state, ask)
func WholeMs(spec Spec, state State, ask Ask) float64 {
	pace := state.Pace
	if pace <= 0 {
		pace = 1
	}
	more := max(ask.Out-max(spec.PieceTokens, 1), 0)
	return FirstMs(spec, state, ask) + float64(more)*pace*spec.StepTime(min(state.Running+1, max(spec.Slots, 1)), state.Context+ask.Prompt())
}

// Held is a model that a worker holds and the adapters of it that it holds.
type Held struct {
	Model    string
	Version  int64
	Adapters []string
}

// Report is what a worker says of itself.
type Report struct {
	AtMs                                    float64
	Held                                    []Held
	Busy                                    bool
	Orders                                  int64
	Waiting, Running, UsedTokens, AllTokens int
}

// heldList sorts what is held, for reports.
func heldList(models map[string]*heldModel) []Held {
	out := []Held{}
	for _, name := range slices.Sorted(maps.Keys(models)) {
		out = append(out, Held{Model: name, Version: models[name].version, Adapters: slices.Sorted(maps.Keys(models[name].adapters))})
	}
	return out
}

// Never is the moment of what does not come.
var Never = math.Inf(1)
