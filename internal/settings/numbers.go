package settings

// check is a number with its bounds.
type check struct {
	parts Part
	flag  string
	value *int64
	least int64
	most  int64
	said  string
	first int64
}

// PartAll are the settings that every program takes.
const PartAll = PartNode | PartDisk | PartLine | PartClients

func (b *Boot) numbers(parts Part) []check {
	var out []check
	for _, one := range b.everyNumber() {
		if one.parts&parts != 0 {
			out = append(out, one)
		}
	}
	return out
}

func (b *Boot) everyNumber() []check {
	const longest = 600000
	return []check{
		{PartAll, "drain-ms", &b.DrainMs, 0, longest, "how long a drain may take after SIGTERM", 10000},
		{PartAll, "notice-percent", &b.NoticePercent, 0, 90, "share of a drain in which new callers are still taken, until all have noticed that this process is unready", 0},
		{PartAll, "memory-mb", &b.MemoryMb, 0, 1 << 22, "memory this process may use at its peak; nought for as it likes", 0},
		{PartAll, "heap-percent", &b.HeapPercent, 10, 100, "share of that memory beyond which the collector works harder", 80},
		{PartAll, "grow-percent", &b.GrowPercent, 10, 1000, "growth of the heap at which the collector begins", 100},
		{PartAll, "files", &b.Files, 0, 1 << 24, "descriptors this process may have open; nought for what the system allows", 0},
		{PartAll, "link-mbps", &b.LinkMbps, 0, 1 << 24, "megabits a second of this machine's link; nought if unknown", 0},
		{PartAll, "silence-ms", &b.SilenceMs, 200, longest, "after this long without a sign of life a connection is given up", 3000},
		{PartAll, "apply-ms", &b.ApplyMs, 100, longest, "within this a policy is in effect everywhere", 2000},
		{PartNode, "lease-ms", &b.LeaseMs, 3000, 60000, "how long a grant lasts; no two owners take turns faster", 3200},
		{PartNode, "probe-ms", &b.ProbeMs, 50, 5000, "time between probes of other members", 200},
		{PartNode, "call-ms", &b.CallMs, 200, 60000, "how long one call on a register may take", 1600},
		{PartNode, "tick-ms", &b.TickMs, 5, 1000, "how often control state looks at the clock", 25},
		{PartNode, "partitions", &b.Partitions, 1, 256, "number of partitions; the same on every node, for good", 12},
		{PartNode, "losses", &b.Losses, 0, 16, "core machines whose loss at once must be borne", 1},
		{PartNode, "catch-up-ms", &b.CatchUpMs, 0, longest, "how long a machine that is back counts as lost", 4000},
		{PartNode, "stretch-ms", &b.StretchMs, 0, longest, "how much longer a policy may take while the core is unsettled", 5000},
		{PartNode, "recover-ms", &b.RecoverMs, 0, longest, "how long after a loss of everything service must be back", 12000},
		{PartNode, "leave-ms", &b.LeaveMs, 0, longest, "how long after a worker is listed as leaving requests may reach it", 3000},
		{PartNode, "thaw-ms", &b.ThawMs, 0, longest, "how long after a freeze orders of before it may arrive", 300},
		{PartLine, "key-ms", &b.KeyMs, 10000, 3600000, "how long after its first use an idempotency key may be repeated; the same on every front", 60000},
		{PartDisk, "poll-ms", &b.PollMs, 100, 5000, "time between looks at each worker and at the worker list", 500},
		{PartDisk, "list-per-s", &b.ListPerS, 0, 100000, "looks a second that the worker list allows to all nodes together; nought for no bound", 0},
		{PartDisk, "list-lag-ms", &b.ListLagMs, 0, longest, "how far the worker list is behind", 0},
		{PartDisk, "reuse-ms", &b.ReuseMs, 0, longest, "how long after its end a worker's address may be another's", 2000},
		{PartDisk, "ceiling-ms", &b.CeilingMs, 100, longest, "window in which loads from the weight store are counted", 5000},
		{PartDisk, "ceiling-percent", &b.CeilingPercent, 1, 1000, "loads that a window may see, in percent of the store's rate", 110},
		{PartDisk, "disk-mb", &b.DiskMb, 0, 1 << 30, "room of the data folder; nought if unknown", 0},
		{PartDisk, "sync-floor-ms", &b.SyncFloorMs, 0, 10000, "least time of a sync: stands for a slow disk in tests", 0},
		{PartDisk, "log-kb", &b.LogKb, 4, 1 << 20, "how long the log grows between checkpoints", 4096},
		{PartClients, "hold-ms", &b.HoldMs, 100, longest, "how long a request may be held while its model comes up", 20000},
		{PartClients, "body-kb", &b.BodyKb, 1, 1 << 20, "largest request body", 1024},
		{PartClients, "slots", &b.Slots, 1, 1 << 20, "requests in work at once before low weights are shed", 512},
		{PartClients, "idle-ms", &b.IdleMs, 1000, 3600000, "callers' connections are not closed sooner than this after their last request", 120000},
		{PartClients, "head-ms", &b.HeadMs, 100, longest, "how long a caller may take to send the head of a request", 5000},
		{PartClients, "head-kb", &b.HeadKb, 1, 1 << 14, "largest head of a request", 1024},
		{PartClients, "retry-percent", &b.RetryPercent, 0, 100, "requests sent to a further worker, in percent of a service's requests", 20},
		{PartClients, "retry-window-ms", &b.RetryWindowMs, 100, longest, "window in which further tries are counted", 10000},
		{PartClients, "retry-slack", &b.RetrySlack, 0, 1 << 20, "further tries that a window may see beyond that, on all fronts together", 1},
		{PartClients, "pass-ms", &b.PassMs, 1, longest, "within this a piece of a stream is passed on", 120},
	}
}

type address struct {
	parts Part
	flag  string
	value *string
	need  bool
	said  string
}

func (b *Boot) addresses(parts Part) []address {
	every := []address{
		{PartAll, "listen", &b.Listen, true, "address for other processes and operators, IP:port"},
		{PartNode, "advertise", &b.Advertise, false, "address at which others reach this process, if not listen"},
		{PartAll, "ready", &b.Ready, false, "address at which it is told whether this process is ready, besides listen"},
		{PartNode, "operators", &b.Operators, false, "address for operators, besides listen"},
		{PartDisk, "directory", &b.Directory, true, "address of the platform's worker list, IP:port"},
		{partOptional, "voter-listen", &b.VoterListen, true, "address of the controller in this process, where -data names a folder"},
		{PartLine, "proxy", &b.Proxy, true, "address of the proxy beside this agent"},
		{PartClients, "callers", &b.Clients, true, "address for callers, IP:port"},
		{PartClients, "agent", &b.Agent, true, "address of the agent beside this proxy"},
	}
	var out []address
	for _, one := range every {
		if one.parts&parts != 0 {
			out = append(out, one)
		}
	}
	return out
}
