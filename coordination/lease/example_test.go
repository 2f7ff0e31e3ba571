package lease_test

import (
	"fmt"

	"applequay/coordination/lease"
)

// A holder claims duty 7, learns its fence, holds it, and stops in time.
func Example() {
	limits := lease.LimitsFor(3200)
	voters := []lease.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	grantors := map[string]*lease.Grantor{}
	for _, voter := range voters {
		grantors[voter.ID] = lease.NewGrantor(limits, -limits.LeaseMs)
	}
	holder := lease.NewHolder(limits)
	round := func(now int64) {
		moves, out := holder.Tick(now, voters, "")
		for _, send := range out.Sends {
			told := grantors[send.To].Ask(now, "me", send.Body.(*lease.Ask))
			moves = append(moves, holder.Told(now, send.To, told, voters)...)
		}
		for _, move := range moves {
			fmt.Printf("%d: change %d of %d\n", now, move.Change, move.Partition)
			if move.Change == lease.Reserved {
				holder.Settled(move.Partition, 1) // the fence that a register now names
			}
		}
	}
	holder.Claim(0, 7)
	round(1000)
	round(1400)
	_, mine := holder.Mine(4100, 7)
	fmt.Println("at 4100:", mine)
	_, mine = holder.Mine(4200, 7)
	fmt.Println("at 4200:", mine)
	// Output:
	// 1000: change 0 of 7
	// 1400: change 1 of 7
	// at 4100: true
	// at 4200: false
}
