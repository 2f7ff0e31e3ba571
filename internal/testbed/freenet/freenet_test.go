package freenet

import (
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestUsed(t *testing.T) {
	const head = "  sl  local_address rem_address   st\n"
	for _, test := range []struct {
		name, line string
		used       bool
	}{
		{"nothing", "", false},
		{"a listener there", "   0: 0103647F:1F90 00000000:0000 0A 0\n", true},
		{"a listener on the next net", "   0: 0103657F:1F90 00000000:0000 0A 0\n", false},
		{"a connection there", "   0: 0103647F:1F90 0103647F:C350 01 0\n", false},
		{"the claim itself", "   0: FEFF647F:1BBB 00000000:0000 0A 0\n", false},
		{"a listener on all addresses", "   0: 00000000:07E8 00000000:0000 0A 0\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, used(head+test.line, 100), qt.Equals, test.used)
		})
	}
}

// Two claims at once are of two nets, neither of one on which something listens.
func TestClaim(t *testing.T) {
	c := qt.New(t)
	first, release, err := Claim()
	c.Assert(err, qt.IsNil)
	second, releaseSecond, err := Claim()
	c.Assert(err, qt.IsNil)
	c.Cleanup(releaseSecond)
	c.Check(first, qt.Not(qt.Equals), second)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.3.1:0", first))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	release()
	third, releaseThird, err := Claim()
	c.Assert(err, qt.IsNil)
	c.Cleanup(releaseThird)
	c.Check(third, qt.Not(qt.Equals), first)
}
