package routing

// WaitKey names a worker's load in Waits.
//
//	at := current.Waits[routing.WaitKey("w3", "lens-7b")]
func WaitKey(worker, item string) string { return worker + "|" + item }

// Expected is the earliest moment at which an item can be up somewhere, as far
// as the keys that decide know; nought where they do not.
//
//	if at := current.Expected("llm", "lens-7b", nowMs); at > deadlineMs { ... }
func (t *Table) Expected(pool, item string, nowMs int64) int64 {
	if nowMs > t.WaitsTo {
		return 0
	}
	known, earliest := t.Policy.Items[item], int64(0)
	for _, server := range t.Pools[pool] {
		ready, coming := server.Loaded[item]
		if !coming || server.Dark || server.Leaving {
			continue
		}
		at, told := t.Waits[WaitKey(server.Name, item)]
		if base, waits := t.Waits[WaitKey(server.Name, known.Base)]; !told && known.Base != "" && waits {
			at, told = base+t.Policy.Store.PaceMs(known.SizeMb), true
		}
		if ready || !told {
			return 0
		}
		if earliest == 0 || at < earliest {
			earliest = at
		}
	}
	return earliest
}
