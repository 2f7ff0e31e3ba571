package configuration

// Form is how operators write policies. Parse lists all faults at once; syntax
// is true where the text cannot be read at all.
type Form interface {
	Parse(body []byte, version int64) (table *Table, faults Faults, syntax bool)
}

// Patcher is a form whose policies can be changed in part.
type Patcher interface {
	Patch(current, change []byte) (body []byte, faults Faults, syntax bool)
}

// Marker is a form whose policies say themselves which version they are.
type Marker interface {
	VersionOf(body []byte) (version int64, ok bool)
}

// Roller is a form whose policies can be rolled out from zone to zone, and be
// written as objects.
type Roller interface {
	Roll(current, next []byte, order []string, pauseMs, haltPercent int64) ([]byte, error)
	Halt(current []byte, why string) ([]byte, error)
	Objects(body []byte) *Objects
}

type native struct{}

// Parse reads the product's own form.
//
//	table, faults, syntax := configuration.Native.Parse(body, 7)
func (native) Parse(body []byte, version int64) (*Table, Faults, bool) { return Parse(body, version) }

// Patch changes a policy of this form by a part of one.
func (native) Patch(current, change []byte) ([]byte, Faults, bool) { return Patch(current, change) }

// Roll makes the policy that is rolled out zone by zone.
func (native) Roll(current, next []byte, order []string, pauseMs, haltPercent int64) ([]byte, error) {
	return Roll(current, next, order, pauseMs, haltPercent)
}

// Halt makes the policy whose roll-out was stopped.
func (native) Halt(current []byte, why string) ([]byte, error) { return Halt(current, why) }

// Objects reads a policy written as objects, nil where it is none.
func (native) Objects(body []byte) *Objects { return ReadObjects(body) }

// Native is the product's own form, JSON as docs/operators.md has it.
var Native Form = native{}
