package explorer

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// Action is what a step does.
type Action string

// The actions. Messages are named by sender, receiver, kind and number.
const (
	// Deliver gives a message to its receiver; with "unsynced" the receiver
	// crashes before its disk has synced what the message made it write.
	Deliver Action = "deliver"
	// Hold keeps a message back, Release gives it free again, Lose drops it, and
	// Repeat delivers a message that stays under way.
	Hold    Action = "hold"
	Release Action = "release"
	Lose    Action = "lose"
	Repeat  Action = "repeat"
	// Round lets one tick pass on every machine and delivers what is not held and
	// not in focus; with "all" it delivers what is in focus too.
	Round Action = "round"
	// Slow has all in focus on a link held back from now on, or what is of one kind
	// or about one register; Quick no longer. Flush frees all that is held on a link, or has
	// it lost.
	Slow  Action = "slow"
	Quick Action = "quick"
	Flush Action = "flush"
	// Crash stops a machine, Start starts it with its disk, an empty one or an
	// older one; Stall keeps its disk from syncing, Sync lets it.
	Crash Action = "crash"
	Start Action = "start"
	Stall Action = "stall"
	Sync  Action = "sync"
	// Freeze stops a process without ending it, Thaw lets it go on.
	Freeze Action = "freeze"
	Thaw   Action = "thaw"
	// Cut stops what goes from one machine to another, Heal lets all pass again.
	Cut  Action = "cut"
	Heal Action = "heal"
	// Ask begins an operator's call.
	Ask Action = "ask"
	// Leave begins a planned departure, Gone ends it.
	Leave Action = "leave"
	Gone  Action = "gone"
)

// How a crash comes about and what disk a machine starts with.
const (
	WithKept     = ""
	WithEmpty    = "empty"
	WithOlder    = "older"
	WithUnsynced = "unsynced"
	WithAll      = "all"
	WithLost     = "lost"
)

// Step is one choice of a history.
type Step struct {
	Do   Action `json:"do"`
	Node string `json:"node,omitempty"`
	From string `json:"from,omitempty"`
	Kind string `json:"kind,omitempty"`
	Nth  int    `json:"nth,omitempty"`
	With string `json:"with,omitempty"`
	// Expected is the version that a write is based on.
	Expected int64 `json:"expected,omitempty"`
}

// String writes a step as a line of a history.
//
//	fmt.Println(step)
func (s Step) String() string {
	words := []string{string(s.Do)}
	if s.Kind != "" {
		words = append(words, s.Kind, fmt.Sprintf("%d", s.Nth))
	}
	if s.From != "" {
		words = append(words, "from", s.From, "to")
	}
	for _, word := range []string{s.Node, s.With} {
		if word != "" {
			words = append(words, word)
		}
	}
	return strings.Join(words, " ")
}

// History is a list of steps that can be taken again, and what it broke.
type History struct {
	Model string `json:"model"`
	Seed  int64  `json:"seed"`
	// Walk is the length of the walk that this history was, 0 if of none.
	Walk int `json:"walk,omitempty"`
	// Early says that the breach came before all faults were ended, which is then
	// left out.
	Early  bool     `json:"early,omitempty"`
	Breach string   `json:"breach,omitempty"`
	Steps  []Step   `json:"steps"`
	Notes  []string `json:"notes,omitempty"`
}

// WriteFile keeps a history as JSON.
//
//	err := history.WriteFile("breach.json")
func (h History) WriteFile(path string) error {
	body, err := json.MarshalIndent(h, "", " ")
	if err != nil {
		return fmt.Errorf("writing a history: %w", err)
	}
	return os.WriteFile(path, append(body, '\n'), 0o600)
}

// ReadHistory reads a history that was kept.
//
//	history, err := explorer.ReadHistory("breach.json")
func ReadHistory(path string) (History, error) {
	var history History
	body, err := os.ReadFile(path)
	if err != nil {
		return history, fmt.Errorf("reading a history: %w", err)
	}
	if err := json.Unmarshal(body, &history); err != nil {
		return history, fmt.Errorf("reading a history: %w", err)
	}
	return history, nil
}

// Replay takes steps from the beginning and returns the world at their end.
//
//	world := explorer.Replay(model, seed, steps)
func Replay(model Model, seed int64, steps []Step) *World {
	world := New(model, seed)
	for _, step := range steps {
		world.Take(step)
	}
	return world
}
