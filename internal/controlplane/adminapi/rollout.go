package adminapi

import (
	"net/http"
	"strconv"
	"strings"

	"applequay/internal/configuration"
)

// asked is how an operator wants a policy rolled out; no zones, and it is in
// force everywhere at once.
type asked struct {
	zones                []string
	pauseMs, haltPercent int64
}

func rolloutAsked(w http.ResponseWriter, r *http.Request) (asked, bool) {
	out := asked{pauseMs: 30000, haltPercent: 5}
	query := r.URL.Query()
	if query.Get("rollout") == "" {
		return out, true
	}
	out.zones = strings.Split(query.Get("rollout"), ",")
	for field, into := range map[string]*int64{"pause_ms": &out.pauseMs, "halt_percent": &out.haltPercent} {
		text := query.Get(field)
		if text == "" {
			continue
		}
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			Say(w, http.StatusBadRequest, Refusal{Error: field + " must be a number", Applied: "no"})
			return out, false
		}
		*into = number
	}
	return out, true
}

// rollOut makes of an operator's policy one that is rolled out over zones, on
// top of the one that stands.
func (d *Server) rollOut(w http.ResponseWriter, r *http.Request, version int64, told written, how asked) {
	roller, ok := d.form.(configuration.Roller)
	if !ok {
		lacks(w, "are in force everywhere at once")
		return
	}
	// What is wrong with it is told by its own paths first.
	if table, faults, syntax := d.form.Parse(told.body, 0); told.syntax || syntax || len(told.faults)+len(faults) > 0 || table.Rollout != nil {
		d.change(w, r, version, told)
		return
	}
	current, table, ok := d.standingPolicy(w, r, version)
	if !ok {
		return
	}
	if table.Rollout != nil && table.Rollout.Halted == "" {
		d.underWay(w, table.Version)
		return
	}
	body, err := roller.Roll(current, told.body, how.zones, how.pauseMs, how.haltPercent)
	if err != nil {
		Say(w, http.StatusInternalServerError, Refusal{Error: err.Error(), Applied: "no"})
		return
	}
	told.body, told.translate = body, func(f configuration.Faults) configuration.Faults { return f }
	d.change(w, r, table.Version, told)
}

func (d *Server) underWay(w http.ResponseWriter, version int64) {
	Say(w, http.StatusConflict, Refusal{Error: "a roll-out is under way: halt it, or set a whole policy", Version: &version, Applied: "no"})
}

// standingPolicy reads the policy that stands, if it has the version expected.
func (d *Server) standingPolicy(w http.ResponseWriter, r *http.Request, version int64) ([]byte, *configuration.Table, bool) {
	current, ok := d.read(r)
	if !ok {
		unreached(w)
		return nil, nil, false
	}
	if now := current.Value.Version; version >= 0 && now != version {
		Say(w, http.StatusConflict, Refusal{Error: "the policy has another mark", Version: &now, Applied: "no"})
		return nil, nil, false
	}
	table := configuration.Empty()
	if len(current.Value.Body) > 0 {
		if stands, _, syntax := d.form.Parse(current.Value.Body, current.Value.Version); !syntax {
			table = stands
		}
	}
	return current.Value.Body, table, true
}

// halt stops a roll-out: all fronts go by the old policy again.
func (d *Server) halt(w http.ResponseWriter, r *http.Request) {
	version, ok := expected(w, r)
	if !ok {
		return
	}
	current, table, ok := d.standingPolicy(w, r, version)
	if !ok {
		return
	}
	if table.Rollout == nil || table.Rollout.Halted != "" {
		Say(w, http.StatusConflict, Refusal{Error: "no roll-out is under way", Version: &table.Version, Applied: "no"})
		return
	}
	roller, ok := d.form.(configuration.Roller)
	if !ok {
		lacks(w, "are in force everywhere at once")
		return
	}
	body, err := roller.Halt(current, "halted by an operator")
	if err != nil {
		Say(w, http.StatusInternalServerError, Refusal{Error: err.Error(), Applied: "no"})
		return
	}
	d.change(w, r, table.Version, written{body: body, translate: func(f configuration.Faults) configuration.Faults { return f }})
}
