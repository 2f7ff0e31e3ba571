// Command directory stands in for the platform's list of workers.
package main

import (
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/gorilla/mux"
	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap"

	"applequay/internal/process/boot"
	"applequay/internal/process/desk"
	"applequay/internal/process/orders"
)

type list struct {
	Workers []orders.Listed `json:"workers"`
}

func main() {
	set := flag.NewFlagSet("directory", flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:7900", "address, IP:port")
	if err := ff.Parse(set, os.Args[1:]); err != nil {
		os.Exit(boot.ExitSettings)
	}
	log := boot.Log("directory", "directory")
	var kept atomic.Pointer[list]
	kept.Store(&list{Workers: []orders.Listed{}})
	router := mux.NewRouter()
	router.HandleFunc("/workers", func(w http.ResponseWriter, _ *http.Request) {
		desk.Say(w, http.StatusOK, kept.Load())
	}).Methods(http.MethodGet)
	router.HandleFunc("/workers", func(w http.ResponseWriter, r *http.Request) {
		var next list
		if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		kept.Store(&next)
		desk.Say(w, http.StatusOK, &next)
	}).Methods(http.MethodPut)
	ctx, stop := boot.Signals()
	defer stop()
	if err := boot.Serve(*listen, router, 0)(ctx); err != nil {
		log.Error("stopped", zap.Error(err))
		os.Exit(boot.ExitFault)
	}
}
