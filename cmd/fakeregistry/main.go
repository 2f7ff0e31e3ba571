// Command fakeregistry stands in for the platform's list of workers.
package main

import (
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"

	"applequay/internal/controlplane/adminapi"
	"applequay/internal/controlplane/orders"
	"applequay/internal/settings"
)

type list struct {
	// Version only rises, over restarts too.
	Version int64           `json:"mark"`
	Workers []orders.Listed `json:"workers"`
}

// fault is how the registry answers wrongly, when tests ask for it.
type fault struct {
	Mode string `json:"mode"` // empty, malformed or older
}

func main() {
	set := flag.NewFlagSet("fakeregistry", flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:7900", "address, IP:port")
	if err := ff.Parse(set, os.Args[1:]); err != nil {
		os.Exit(settings.ExitSettings)
	}
	log := settings.Log("fakeregistry", "fakeregistry")
	var kept, older atomic.Pointer[list]
	var faulty atomic.Pointer[fault]
	kept.Store(&list{Workers: []orders.Listed{}})
	older.Store(kept.Load())
	faulty.Store(&fault{})
	router := mux.NewRouter()
	router.HandleFunc("/workers", func(w http.ResponseWriter, _ *http.Request) {
		switch faulty.Load().Mode {
		case "empty":
			adminapi.Say(w, http.StatusOK, &list{Version: kept.Load().Version, Workers: []orders.Listed{}})
		case "malformed":
			_, _ = w.Write([]byte(`{"workers":[{"name":"w1","addr"`))
		case "older":
			adminapi.Say(w, http.StatusOK, older.Load())
		default:
			adminapi.Say(w, http.StatusOK, kept.Load())
		}
	}).Methods(http.MethodGet)
	router.HandleFunc("/fault", func(w http.ResponseWriter, r *http.Request) {
		var next fault
		if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		faulty.Store(&next)
		adminapi.Say(w, http.StatusOK, &next)
	}).Methods(http.MethodPut)
	router.HandleFunc("/workers", func(w http.ResponseWriter, r *http.Request) {
		var next list
		if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		next.Version = time.Now().UnixMilli()
		older.Store(kept.Swap(&next))
		adminapi.Say(w, http.StatusOK, &next)
	}).Methods(http.MethodPut)
	ctx, stop := settings.Signals()
	defer stop()
	if err := settings.Serve(*listen, router, 0)(ctx); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(settings.ExitFault)
	}
}
