package explorer

import "slices"

// perMille is the rate of a clock that runs as fast as the world's.
const perMille = 1000

// ample is a lease so long that the set can change twice while it runs, and
// ampleSettle how many rounds pass until one is held.
const (
	ample       = 128
	ampleSettle = 80
)

var leaseKinds = []string{"GrantAsk", "GrantTold", "GrantBack"}

// directedModels begin where one mechanism alone keeps a rule: their openings
// lead there, and what is searched is what may happen next.
func directedModels() []Model {
	return slices.Concat(registerModels(), setModels(), leaseModels(), foundingModels(), partitionModels())
}
