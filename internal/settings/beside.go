package settings

import (
	"net"
	"time"
)

// Beside waits while the process beside this one drains: for the notice time,
// and from then on as long as it listens, at most nine tenths of the drain.
//
//	settings.Beside(settings)
func Beside(settings *Boot) {
	drain := settings.Drain()
	if drain.Notice == 0 {
		return
	}
	<-time.After(drain.Notice)
	ends := time.NewTimer(drain.End*9/10 - drain.Notice)
	defer ends.Stop()
	look := time.NewTicker(drain.End / 50)
	defer look.Stop()
	for {
		conn, err := net.DialTimeout("tcp", settings.Proxy, drain.End/50)
		if err != nil {
			return
		}
		_ = conn.Close()
		select {
		case <-ends.C:
			return
		case <-look.C:
		}
	}
}
