package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// All holds as well where workers take one order at a time, count them, show
// what they held a moment ago and do not heed the fence of a look.
func TestSingleWorkers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	from, to := seeds(c, 1, 1)
	shapes := []Shape{Brilleverk(), Krizanka()}
	for at := range shapes {
		shapes[at].Single = true
		shapes[at].Name += "-single"
	}
	planOn(c, shapes, from, to, Faults)
	planOn(c, shapes, to+1, to+1, Harder)
}
