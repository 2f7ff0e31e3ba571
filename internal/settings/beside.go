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
	drain := Ms(settings.DrainMs)
	notice := drain * time.Duration(settings.NoticePercent) / 100
	if notice == 0 {
		return
	}
	<-time.After(notice)
	ends := time.NewTimer(drain*9/10 - notice)
	defer ends.Stop()
	look := time.NewTicker(drain / 50)
	defer look.Stop()
	for {
		conn, err := net.DialTimeout("tcp", settings.Proxy, drain/50)
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
