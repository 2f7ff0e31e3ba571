package simulation

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"applequay/internal/controlplane/controller"
)

// A machine that comes after many changes is caught up in the time it has, with as
// many bytes as after few: the state is carried, and no history.
func TestCaughtUpAfterManyChanges(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, away := range AwayKinds {
		c.Run(away, func(c *qt.C) {
			c.Parallel()
			few, faults := Changes{Count: 70, Routes: 100, Away: away}.Run(3)
			c.Check(faults, qt.HasLen, 0)
			many, faults := Changes{Count: 280, Routes: 100, Away: away}.Run(3)
			c.Check(faults, qt.HasLen, 0)
			c.Logf("after 70: %+v, after 280: %+v", few, many)
			for _, one := range []CatchUp{few, many} {
				c.Check(one.Ms <= smallCatch, qt.IsTrue, qt.Commentf("%+v", one))
			}
			// Names of writes grow to their own bound; all else stays as it was.
			c.Check(many.State-many.Names < few.State-few.Names+few.State/10, qt.IsTrue)
			c.Check(many.Names <= max(10*controller.LineageLen, many.State/8), qt.IsTrue)
			c.Check(many.Bytes < 2*few.Bytes, qt.IsTrue)
		})
	}
}
