package adminapi

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"applequay/internal/configuration"
	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/register"
)

// written is an operator's body in the native form, with the way back to the
// paths of the form it was written in.
type written struct {
	body      []byte
	faults    configuration.Faults
	syntax    bool
	translate func(configuration.Faults) configuration.Faults
}

// written reads the body: the native form, or objects where the content type
// is YAML or the query says form=objects.
func (d *Server) written(w http.ResponseWriter, r *http.Request) (written, bool) {
	body, ok := d.body(w, r)
	if !ok {
		return written{}, false
	}
	out := written{body: body, translate: func(f configuration.Faults) configuration.Faults { return f }}
	if r.URL.Query().Get("form") == "objects" || strings.Contains(r.Header.Get("Content-Type"), "yaml") {
		roller, ok := d.form.(configuration.Roller)
		if !ok {
			lacks(w, "are not written as objects")
			return written{}, false
		}
		read := roller.Objects(body)
		out = written{body: read.Native, faults: read.Faults, syntax: read.Syntax, translate: read.Translate}
	}
	return out, true
}

func (d *Server) setPolicy(w http.ResponseWriter, r *http.Request) {
	version, ok := expected(w, r)
	if !ok {
		return
	}
	how, ok := rolloutAsked(w, r)
	if !ok {
		return
	}
	told, ok := d.written(w, r)
	switch {
	case !ok:
	case len(how.zones) > 0:
		d.rollOut(w, r, version, told, how)
	default:
		d.change(w, r, version, told)
	}
}

func (d *Server) patchPolicy(w http.ResponseWriter, r *http.Request) {
	version, ok := expected(w, r)
	if !ok {
		return
	}
	told, ok := d.written(w, r)
	if !ok {
		return
	}
	current, table, ok := d.standingPolicy(w, r, version)
	if !ok {
		return
	}
	if table.Rollout != nil {
		d.underWay(w, table.Version)
		return
	}
	patcher, ok := d.form.(configuration.Patcher)
	if !ok {
		lacks(w, "are changed whole")
		return
	}
	body, faults, syntax := patcher.Patch(current, told.body)
	told.body, told.faults, told.syntax = body, append(told.faults, told.translate(faults)...), told.syntax || syntax
	// What the change makes has the native form's paths.
	told.translate = func(f configuration.Faults) configuration.Faults { return f }
	d.change(w, r, table.Version, told)
}

func (d *Server) refuse(w http.ResponseWriter, faults configuration.Faults, syntax bool) {
	status := http.StatusUnprocessableEntity
	if syntax {
		status = http.StatusBadRequest
	}
	Say(w, status, Refusal{Error: "the policy has faults", Faults: faults, Applied: "no"})
}

// next is the version that a policy gives itself; nought where its form leaves
// that to the register.
func (d *Server) next(body []byte) int64 {
	if marker, ok := d.form.(configuration.Marker); ok {
		if version, said := marker.VersionOf(body); said {
			return version
		}
	}
	return 0
}

func (d *Server) change(w http.ResponseWriter, r *http.Request, version int64, told written) {
	if !told.syntax {
		// All faults at once: those of the form, and those of what it says.
		table, more, syntax := d.form.Parse(told.body, 0)
		if len(more) == 0 {
			more = table.Roomless(d.largest())
			if len(more) > 0 && !d.reaches(r) {
				// Which rooms there are is remembered here: a node that is cut off
				// refuses nothing by that.
				unreached(w)
				return
			}
		}
		told.faults, told.syntax = append(told.faults, told.translate(more)...), syntax
	}
	next := d.next(told.body)
	if version >= 0 && next > 0 && next <= version {
		told.faults = append(told.faults, configuration.Fault{Said: fmt.Sprintf("gives itself mark %d, which is not above %d", next, version)})
	}
	if len(told.faults) > 0 {
		d.refuse(w, told.faults, told.syntax)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), d.wait)
	defer cancel()
	outcome := d.control.Change(ctx, eventloop.Write{Key: controller.PolicyKey, Expected: version, Next: next, Body: told.body})
	now := outcome.Value.Version
	switch outcome.Fate {
	case register.FateDone:
		Say(w, http.StatusOK, map[string]int64{"mark": now})
	case register.FateStale:
		Say(w, http.StatusConflict, Refusal{Error: "the policy has another mark", Version: &now, Applied: "no"})
	case register.FateNone:
		unreached(w)
	default:
		w.Header().Set("Retry-After", "2")
		Say(w, http.StatusServiceUnavailable, Refusal{Error: "no majority of the core answered in time; the change may have happened", Applied: "unknown"})
	}
}
