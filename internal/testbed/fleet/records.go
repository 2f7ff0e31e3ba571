package fleet

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Served is one line of a fakeworker's record.
type Served struct {
	TimeMs int64  `json:"t"`
	Worker string `json:"worker"`
	Born   string `json:"born"`
	Event  string `json:"event"`
	Key    string `json:"key"`
	Tag    string `json:"tag"`
	Run    string `json:"run"`
	Item   string `json:"item"`
	Path   string `json:"path"`
	Fence  int64  `json:"fence"`
	Seq    int64  `json:"seq"`
	SizeMb int64  `json:"size_mb"`
	UsedMb int64  `json:"used_mb"`
	RoomMb int64  `json:"room_mb"`
	MbPerS int64  `json:"mb_per_s"`
	Why    string `json:"why"`
}

// Called is one line of a loadgen's record.
type Called struct {
	TimeMs    int64  `json:"t"`
	Event     string `json:"event"`
	Path      string `json:"path"`
	Tag       string `json:"tag"`
	Key       string `json:"key"`
	Front     string `json:"front"`
	Status    int    `json:"status"`
	Ran       string `json:"ran"`
	TookMs    int64  `json:"took_ms"`
	AttemptMs int64  `json:"shot_ms"`
	FirstMs   int64  `json:"first_ms"`
	Pieces    int64  `json:"pieces"`
	Attempt   int    `json:"shot"`
	Whole     bool   `json:"whole"`
	Bad       string `json:"bad"`
	Why       string `json:"why"`
}

// Records are what clients, back ends and the desk saw.
type Records struct {
	Served []Served
	Called []Called
	Notes  []Note
	// Watched is what clients got at each front for the newest policy's sake.
	Watched []Watched
}

func readLines[T any](file string) ([]T, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	var out []T
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var one T
		// The last line of a killed process may be torn.
		if json.Unmarshal(lines.Bytes(), &one) == nil {
			out = append(out, one)
		}
	}
	return out, lines.Err()
}

// Records reads all records of the world.
//
//	seen, err := world.Records()
func (w *World) Records() (*Records, error) {
	seen := &Records{Notes: <-w.noted}
	files, err := filepath.Glob(filepath.Join(w.Dir, "*.rec"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		if strings.HasPrefix(filepath.Base(file), "sub") {
			lines, err := readLines[Called](file)
			if err != nil {
				return nil, err
			}
			seen.Called = append(seen.Called, lines...)
			continue
		}
		lines, err := readLines[Served](file)
		if err != nil {
			return nil, err
		}
		seen.Served = append(seen.Served, lines...)
	}
	slices.SortStableFunc(seen.Served, func(a, b Served) int { return int(a.TimeMs - b.TimeMs) })
	slices.SortStableFunc(seen.Called, func(a, b Called) int { return int(a.TimeMs - b.TimeMs) })
	return seen, nil
}
