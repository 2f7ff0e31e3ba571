package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"time"

	"applequay/internal/controlplane/adminapi"
	"applequay/internal/controlplane/health"
	"applequay/internal/dataplane/protocol"
)

// run is one answer being streamed. Its pieces follow from its tag, so a
// resume continues the very same run.
type run struct {
	tag, item string
	pieces    int64
}

// asked is the body of a request for pieces.
type asked struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Prompt  string `json:"prompt"`
	Tag     string `json:"tag"`
	Pieces  int64  `json:"pieces"`
}

type started struct {
	name string
	run  run
	why  string
	gone bool
}

// generate streams numbered pieces of one run and ends with a marker.
func (w *worker) generate(rw http.ResponseWriter, r *http.Request) {
	from := int64(0)
	var begun started
	if name := r.Header.Get(protocol.HeaderRun); name != "" {
		var err error
		if from, err = strconv.ParseInt(r.Header.Get(protocol.HeaderFrom), 10, 64); err != nil {
			adminapi.Say(rw, http.StatusBadRequest, map[string]string{"error": "no position"})
			return
		}
		begun = on(w, func(s *state) started { return w.resume(s, name, from) })
	} else {
		var ask asked
		if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
			adminapi.Say(rw, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		if w.unwilling(rw, ask, r.URL.Path) {
			return
		}
		begun = on(w, func(s *state) started { return w.begin(s, ask, r.URL.Path) })
	}
	switch {
	case begun.gone:
		adminapi.Say(rw, http.StatusGone, map[string]string{"error": begun.why})
		return
	case begun.why != "":
		adminapi.Say(rw, http.StatusConflict, map[string]string{"error": begun.why})
		return
	}
	defer on(w, func(s *state) bool { return w.finish(s, begun.run.item) })
	rw.Header().Set("Content-Type", "application/x-ndjson")
	flusher, _ := rw.(http.Flusher)
	for at := from; at < begun.run.pieces; at++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(w.pieceMs) * time.Millisecond):
		}
		if _, err := fmt.Fprintf(rw, `{"run":%q,"piece":%d,"text":%q}`+"\n", begun.name, at, Piece(begun.name, begun.run.tag, at)); err != nil {
			return
		}
		flusher.Flush()
	}
	_, _ = fmt.Fprintf(rw, `{"run":%q,"end":true,"pieces":%d}`+"\n", begun.name, begun.run.pieces)
}

func percent(of int64) bool { return rand.Int63n(100) < of }

// unwilling turns a request away, or reads it and cuts the connection, as often
// as tests ask for; nothing has begun then.
func (w *worker) unwilling(rw http.ResponseWriter, ask asked, path string) bool {
	turn, reset := percent(w.turnPercent), percent(w.resetPercent)
	if !turn && !reset {
		return false
	}
	on(w, func(*state) bool {
		w.record(entry{Event: "came", Tag: ask.Tag, Path: path, Why: "turned away"})
		return true
	})
	if turn {
		adminapi.Say(rw, http.StatusServiceUnavailable, map[string]string{"error": "not now"})
		return true
	}
	if hijacker, ok := rw.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
	return true
}

// Piece is the text of one piece: who asked, which run, which number.
//
//	text := Piece(run, tag, 3)
func Piece(run, tag string, at int64) string { return fmt.Sprintf("%s|%s|%d", tag, run, at) }

func (w *worker) begin(s *state, ask asked, path string) started {
	w.record(entry{Event: "came", Tag: ask.Tag, Path: path})
	item := ask.Model
	if ask.Adapter != "" {
		item = ask.Adapter
	}
	for _, need := range []string{ask.Model, item} {
		if one, ok := s.items[need]; !ok || !one.ready() {
			return started{why: "not loaded: " + need}
		}
	}
	name := health.Identity(w.name)
	one := run{tag: ask.Tag, item: item, pieces: max(ask.Pieces, 1)}
	s.runs[name] = one
	s.items[item].inWork++
	w.record(entry{Event: "run", Run: name, Tag: ask.Tag, Item: item, Path: path})
	return started{name: name, run: one}
}

func (w *worker) resume(s *state, name string, from int64) started {
	one, ok := s.runs[name]
	if !ok || from > one.pieces {
		return started{why: "no such run or position", gone: true}
	}
	if kept, there := s.items[one.item]; !there || !kept.ready() {
		return started{why: "the model is gone", gone: true}
	}
	s.items[one.item].inWork++
	w.record(entry{Event: "resume", Run: name, Tag: one.tag, Item: one.item, From: from})
	return started{name: name, run: one}
}

func (w *worker) finish(s *state, item string) bool {
	one, ok := s.items[item]
	if !ok {
		return false
	}
	if one.inWork--; one.inWork <= 0 && one.leaving {
		delete(s.items, item)
	}
	return true
}

// booking is what an application remembers of a key.
type booking struct {
	number int64
	tag    string
}

// book carries out a booking or a check, once for each key.
func (w *worker) book(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	var ask struct {
		Tag string `json:"tag"`
	}
	_ = json.Unmarshal(body, &ask)
	key := r.Header.Get(protocol.HeaderKey)
	done := on(w, func(s *state) booking {
		w.record(entry{Event: "came", Key: key, Tag: ask.Tag, Path: r.URL.Path})
		if old, ok := s.booked[key]; ok && key != "" && !w.keyless {
			w.record(entry{Event: "again", Key: key, Tag: ask.Tag})
			return old
		}
		s.nextRun++
		made := booking{number: s.nextRun, tag: ask.Tag}
		s.booked[key] = made
		w.record(entry{Event: "booked", Key: key, Tag: ask.Tag, Path: r.URL.Path, Attempt: r.Header.Get(protocol.HeaderAttempt)})
		return made
	})
	time.Sleep(time.Duration(w.pieceMs) * time.Millisecond / 4)
	if percent(w.cutPercent) {
		rw.Header().Set("Content-Length", "4096")
		_, _ = fmt.Fprintf(rw, `{"worker":%q,"number":`, w.name)
		return
	}
	adminapi.Say(rw, http.StatusOK, map[string]any{"worker": w.name, "number": done.number, "tag": done.tag, "key": key, "path": r.URL.Path})
}
