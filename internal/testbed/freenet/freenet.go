// Package freenet finds loopback addresses for a run of real processes that no
// other run on the same machine uses.
package freenet

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/samber/oops"
)

// Nets that are given out: the second numbers of addresses 127.N.x.y. The plans'
// and deployments' own numbers are below.
const (
	firstNet = 100
	lastNet  = 250
)

// claimAddress is held on a net for as long as it is claimed.
const claimAddress = "127.%d.255.254:7099"

// listening is the state of a listening socket in the kernel's table.
const listening = "0A"

// Claim finds a net on which nothing listens, and keeps it for this process until
// release is called.
//
//	number, release, err := freenet.Claim()
func Claim() (number int, release func(), err error) {
	for number = firstNet; number <= lastNet; number++ {
		claimed, failed := net.Listen("tcp", fmt.Sprintf(claimAddress, number))
		if failed != nil {
			continue
		}
		table, failed := os.ReadFile("/proc/net/tcp")
		if failed == nil && used(string(table), number) {
			_ = claimed.Close()
			continue
		}
		return number, func() { _ = claimed.Close() }, nil
	}
	return 0, nil, oops.Errorf("no free net between 127.%d and 127.%d", firstNet, lastNet)
}

// used tells whether anything but the claim listens on a net, by the kernel's
// table of sockets; addresses stand there in hex, the last byte first.
func used(table string, number int) bool {
	for _, line := range strings.Split(table, "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 || fields[3] != listening {
			continue
		}
		address, _, _ := strings.Cut(fields[1], ":")
		if strings.HasSuffix(address, fmt.Sprintf("%02X7F", number)) && address != fmt.Sprintf("FEFF%02X7F", number) {
			return true
		}
	}
	return false
}
