// Package adminapi is the operators' HTTP interface, the same on every node.
package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/register"
)

// mostPolicy bounds an operator's body.
const mostPolicy = 32 << 20

// Server answers operators from one node's control thread.
type Server struct {
	control *eventloop.Loop
	form    configuration.Form
	wait    time.Duration
	drain   func()
}

// Routes adds the operators' pages to a router; policies are written in the
// form, the product's own where it is nil; drain is what a drain order does to
// this process.
//
//	adminapi.Routes(router, control, configuration.Native, 3*time.Second, stop)
func Routes(router *mux.Router, control *eventloop.Loop, form configuration.Form, wait time.Duration, drain func()) {
	if form == nil {
		form = configuration.Native
	}
	d := &Server{control: control, form: form, wait: wait, drain: drain}
	router.HandleFunc("/v1/policy", d.getPolicy).Methods(http.MethodGet)
	router.HandleFunc("/v1/policy", d.setPolicy).Methods(http.MethodPut)
	router.HandleFunc("/v1/policy", d.patchPolicy).Methods(http.MethodPatch)
	router.HandleFunc("/v1/policy/halt", d.halt).Methods(http.MethodPost)
	router.HandleFunc("/v1/openings", d.openings).Methods(http.MethodGet)
	router.HandleFunc("/v1/homes", d.homes).Methods(http.MethodGet)
	router.HandleFunc("/v1/members", d.members).Methods(http.MethodGet)
	router.HandleFunc("/v1/core", d.core).Methods(http.MethodGet)
	router.HandleFunc("/v1/standing", d.standing).Methods(http.MethodGet)
	router.HandleFunc("/v1/doctor", d.doctor).Methods(http.MethodGet)
	router.HandleFunc("/v1/drain", d.drained).Methods(http.MethodPost)
}

// Say answers with JSON.
//
//	adminapi.Say(w, http.StatusOK, map[string]int64{"version": 7})
func Say(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Refusal is the body of every error answer to an operator.
type Refusal struct {
	Error   string               `json:"error"`
	Faults  configuration.Faults `json:"faults,omitempty"`
	Version *int64               `json:"mark,omitempty"`
	Applied string               `json:"applied,omitempty"`
}

// Policy is the policy with its version.
type Policy struct {
	Version int64           `json:"mark"`
	Policy  json.RawMessage `json:"policy"`
}

func (d *Server) read(r *http.Request) (register.Outcome, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), d.wait)
	defer cancel()
	outcome := d.control.Read(ctx, controller.PolicyKey)
	return outcome, outcome.Fate == register.FateDone
}

// reaches tells whether a majority answers now.
func (d *Server) reaches(r *http.Request) bool {
	_, reached := d.read(r)
	return reached
}

// unreached answers an order that certainly did nothing, for lack of a majority.
func unreached(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "2")
	Say(w, http.StatusServiceUnavailable, Refusal{Error: "no majority of the core answers", Applied: "no"})
}

func (d *Server) getPolicy(w http.ResponseWriter, r *http.Request) {
	outcome, ok := d.read(r)
	if !ok {
		w.Header().Set("Retry-After", "2")
		Say(w, http.StatusServiceUnavailable, Refusal{Error: "no majority of the core answers"})
		return
	}
	body := outcome.Value.Body
	if len(body) == 0 {
		body = []byte("{}")
	}
	Say(w, http.StatusOK, Policy{Version: outcome.Value.Version, Policy: body})
}

func (d *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostPolicy))
	if err != nil {
		Say(w, http.StatusRequestEntityTooLarge, Refusal{Error: "the body is too large", Applied: "no"})
	}
	return body, err == nil
}

// lacks tells an operator what policies of this form cannot do.
func lacks(w http.ResponseWriter, what string) {
	Say(w, http.StatusNotImplemented, Refusal{Error: "policies of the form in use here " + what, Applied: "no"})
}

// expected reads the expected version; -1 where none is given.
func expected(w http.ResponseWriter, r *http.Request) (int64, bool) {
	text := r.URL.Query().Get("expected")
	if text == "" {
		return -1, true
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		Say(w, http.StatusBadRequest, Refusal{Error: "expected must be a mark", Applied: "no"})
		return 0, false
	}
	return version, true
}

// largest is the room of the largest worker of each pool.
func (d *Server) largest() map[string]int64 {
	out := map[string]int64{}
	if page := d.control.Page.Load(); page != nil {
		for _, worker := range page.Workers {
			out[worker.Pool] = max(out[worker.Pool], worker.RoomMb)
		}
	}
	return out
}
