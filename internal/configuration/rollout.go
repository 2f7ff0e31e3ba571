package configuration

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fastjson"
)

// Rollout is a policy on its way from zone to zone: the fronts of some zones go
// by the next one, all others by the one that stands around it.
type Rollout struct {
	Next *Table
	// Order is the zones in turn; the first Done of them go by Next.
	Order                []string
	Done                 int64
	PauseMs, HaltPercent int64
	// Halted says why it was stopped; all fronts then go by the old policy.
	Halted string
}

// rollout reads what an operator asked to be rolled out.
func (p *parse) rollout(value *fastjson.Value) {
	r := newReader(p.faults, "rollout", value)
	out := &Rollout{Order: r.names("order"), Done: r.number("done", false, 0, 256, 0), PauseMs: r.number("pause_ms", false, 1000, mostMoment, 30000),
		HaltPercent: r.number("halt_percent", false, 1, 100, 5), Halted: r.text("halted", false)}
	if len(out.Order) == 0 {
		r.fault("order", "must name zones")
	}
	for at, zone := range out.Order {
		if zone == "" || slices.Contains(out.Order[:at], zone) {
			r.fault("order", "must name each zone once")
		}
	}
	if out.Done > int64(len(out.Order)) {
		r.fault("done", "is more than there are zones")
	}
	if next := r.take("next", true); next != nil {
		var faults Faults
		inner := &parse{table: Empty(), faults: &faults}
		inner.table.Version = p.table.Version
		inner.read(next)
		if inner.table.Rollout != nil {
			faults = append(faults, Fault{Path: "rollout", Said: "must not stand in another"})
		}
		for _, fault := range faults {
			fault.Path = "rollout.next." + fault.Path
			*p.faults = append(*p.faults, fault)
		}
		out.Next = inner.table
	}
	r.done()
	p.table.Rollout = out
}

// For is the table that the fronts of a zone go by.
//
//	current := routing.For("north")
func (t *Table) For(zone string) *Table {
	if t.Rollout == nil || t.Rollout.Halted != "" || !slices.Contains(t.Rollout.Order[:t.Rollout.Done], zone) {
		return t
	}
	return t.Rollout.Next
}

// Placement is what the keys that place models go by: both policies of a
// roll-out together, and the store as the more careful one has it.
//
//	view.Policy = routing.Placement()
func (t *Table) Placement() *Table {
	if t.Rollout == nil || t.Rollout.Halted != "" {
		return t
	}
	next, out := t.Rollout.Next, Empty()
	out.Version, out.Kinds, out.Services, out.Routes, out.Limits, out.Rollout = t.Version, t.Kinds, t.Services, t.Routes, t.Limits, t.Rollout
	out.Store = Store{MbPerS: min(t.Store.MbPerS, next.Store.MbPerS), Turns: min(t.Store.Turns, next.Store.Turns), LoadsPer1000S: lower(t.Store.LoadsPer1000S, next.Store.LoadsPer1000S)}
	for _, table := range []*Table{t, next} {
		for name, item := range table.Items {
			// Sizes may differ: room is made for the larger.
			if stands, ok := out.Items[name]; ok {
				item.SizeMb, item.LoadMs, item.Light = max(item.SizeMb, stands.SizeMb), max(item.LoadMs, stands.LoadMs), item.Light && stands.Light
			}
			out.Items[name] = item
		}
		for name, pool := range table.Pools {
			if stands, ok := out.Pools[name]; ok {
				stands.RoomMb, stands.AdapterSlots = lower(stands.RoomMb, pool.RoomMb), lower(stands.AdapterSlots, pool.AdapterSlots)
				pool = stands
			}
			out.Pools[name] = pool
		}
		for _, opening := range table.Openings {
			out.Openings = slices.DeleteFunc(out.Openings, func(o Opening) bool { return o.Name == opening.Name })
			out.Openings = append(out.Openings, opening)
		}
	}
	return out
}

// lower is the lower of two bounds; nought bounds nothing.
func lower(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Roll makes the body that rolls next out over zones in turn, beginning with
// the first; the policy that stands stays around it.
//
//	body, err := configuration.Roll(current, next, []string{"north", "south"}, 30000, 5)
func Roll(current, next []byte, order []string, pauseMs, haltPercent int64) ([]byte, error) {
	return reroll(current, map[string]any{"next": json.RawMessage(next), "order": order, "done": 1, "pause_ms": pauseMs, "halt_percent": haltPercent})
}

func reroll(current []byte, rollout map[string]any) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if len(current) > 0 {
		if err := json.Unmarshal(current, &fields); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(rollout)
	if err != nil {
		return nil, err
	}
	fields["rollout"] = body
	return json.Marshal(fields)
}

// Step makes the body of a roll-out's next step: one zone more, or, after the
// last, the next policy by itself.
//
//	body, err := configuration.Step(current)
func Step(current []byte) ([]byte, error) {
	var whole struct {
		Rollout struct {
			Next  json.RawMessage
			Order []string
			Done  int64
		}
	}
	if err := json.Unmarshal(current, &whole); err != nil {
		return nil, err
	}
	if whole.Rollout.Done >= int64(len(whole.Rollout.Order)) {
		return whole.Rollout.Next, nil
	}
	return edit(current, "done", whole.Rollout.Done+1)
}

// Halt makes the body of a roll-out that was stopped: all fronts go by the old
// policy again, and the next one is kept to be looked at.
//
//	body, err := configuration.Halt(current, "attempts break off")
func Halt(current []byte, why string) ([]byte, error) { return edit(current, "halted", why) }

func edit(current []byte, field string, value any) ([]byte, error) {
	var whole struct{ Rollout map[string]json.RawMessage }
	if err := json.Unmarshal(current, &whole); err != nil {
		return nil, err
	}
	out := map[string]any{field: value}
	for name, kept := range whole.Rollout {
		if name != field {
			out[name] = kept
		}
	}
	return reroll(current, out)
}
