// Command fakeworker stands in for the back ends: a model worker that takes
// orders and streams pieces, or a booking or paywall application.
package main

import (
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/gorilla/mux"
	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"

	"applequay/internal/controlplane/health"
	"applequay/internal/settings"
)

type options struct {
	name, listen, role, recordFile string
	roomMb, pieceMs                int64
	// Faults that tests ask for, each in so many of a hundred requests.
	cutPercent, turnPercent, resetPercent int64
	keyless                               bool
}

func main() {
	var s options
	set := flag.NewFlagSet("fakeworker", flag.ContinueOnError)
	set.StringVar(&s.name, "name", "w1", "name of this worker")
	set.StringVar(&s.listen, "listen", "127.0.0.1:7800", "address, IP:port")
	set.StringVar(&s.role, "role", "model", "model or app")
	set.StringVar(&s.recordFile, "record", "", "file to which all that happens is appended, JSON lines")
	set.Int64Var(&s.roomMb, "room-mb", 1000, "room for models")
	set.Int64Var(&s.pieceMs, "piece-ms", 20, "time between pieces")
	set.BoolVar(&s.keyless, "keyless", false, "an application that knows nothing of idempotency keys: it carries out all that comes")
	set.Int64Var(&s.cutPercent, "cut-percent", 0, "how many of a hundred answers break off in the middle")
	set.Int64Var(&s.turnPercent, "turn-percent", 0, "how many of a hundred requests a model worker turns away with 503")
	set.Int64Var(&s.resetPercent, "reset-percent", 0, "how many of a hundred requests are read and then cut off")
	if err := ff.Parse(set, os.Args[1:]); err != nil {
		os.Exit(settings.ExitSettings)
	}
	log := settings.Log("fakeworker", s.name)
	out := os.Stdout
	if s.recordFile != "" {
		file, err := os.OpenFile(s.recordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			log.Error("record", zap.Error(err))
			os.Exit(settings.ExitFault)
		}
		out = file
	}
	ctx, stop := settings.Signals()
	defer stop()
	w := &worker{options: s, born: health.Identity(s.name), steps: make(chan func(*state)), out: out}
	go w.run(ctx)
	router := mux.NewRouter()
	router.HandleFunc("/orders", w.orders).Methods(http.MethodPost)
	if s.role == "app" {
		router.PathPrefix("/").HandlerFunc(w.book)
	} else {
		router.PathPrefix("/").HandlerFunc(w.generate)
	}
	if err := settings.Serve(s.listen, router, time.Second)(ctx); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(settings.ExitFault)
	}
}

// entry is one line of the record, from which checkers work.
type entry struct {
	TimeMs  int64  `json:"t"`
	Worker  string `json:"worker"`
	Born    string `json:"born"`
	Event   string `json:"event"`
	Key     string `json:"key,omitempty"`
	Tag     string `json:"tag,omitempty"`
	Run     string `json:"run,omitempty"`
	Item    string `json:"item,omitempty"`
	Path    string `json:"path,omitempty"`
	Fence   int64  `json:"fence,omitempty"`
	Seq     int64  `json:"seq,omitempty"`
	SizeMb  int64  `json:"size_mb,omitempty"`
	UsedMb  int64  `json:"used_mb,omitempty"`
	RoomMb  int64  `json:"room_mb,omitempty"`
	From    int64  `json:"from,omitempty"`
	MbPerS  int64  `json:"mb_per_s,omitempty"`
	Attempt string `json:"shot,omitempty"`
	Why     string `json:"why,omitempty"`
}

// record appends a line; only the state's thread calls it.
func (w *worker) record(e entry) {
	e.TimeMs, e.Worker, e.Born = time.Now().UnixMilli(), w.name, w.born
	if line, err := json.Marshal(e); err == nil {
		_, _ = w.out.Write(append(line, '\n'))
	}
}
