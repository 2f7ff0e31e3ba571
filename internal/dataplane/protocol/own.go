package protocol

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// Headers that clients send and get.
const (
	HeaderDeadline = "Applequay-Deadline-Ms"
	HeaderRun      = "Applequay-Run"
	HeaderFrom     = "Applequay-From"
	HeaderKey      = "Idempotency-Key"
	HeaderServer   = "Applequay-Server"
	HeaderAttempt  = "Applequay-Shot"
)

// Ran says whether a request may have been carried out.
type Ran string

// RanNo is said only when certain.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// prefixLen is how much of a prompt decides where it goes: prompts that start
// alike find each other's cache.
const prefixLen = 256

// mostKey bounds an idempotency key.
const mostKey = 256

// Own is the product's own interface, as docs/callers.md and docs/workers.md
// have it.
type Own struct{}

// Wait reads how long the client will wait.
//
//	wait, refusal := protocol.Own{}.Wait(request)
func (Own) Wait(r *http.Request) (time.Duration, *Refusal) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	wait, err := strconv.ParseInt(text, 10, 64)
	if err != nil || wait <= 0 {
		return 0, &Refusal{Status: http.StatusBadRequest, Said: HeaderDeadline + " must be a number of milliseconds"}
	}
	return Milliseconds(wait), nil
}

// longest is how long a client may say that it waits.
const longest = 24 * time.Hour

// Milliseconds is a time of so many, bounded so that it holds.
//
//	wait := speech.Milliseconds(1500)
func Milliseconds(ms int64) time.Duration {
	return time.Duration(min(ms, longest.Milliseconds())) * time.Millisecond
}

// Ask finds the key of an application's request, or the model, the adapter and
// the prompt, or the run to go on with.
//
//	ask, refusal := protocol.Own{}.Ask(request, body, true)
func (Own) Ask(r *http.Request, body []byte, model bool) (Ask, *Refusal) {
	if !model {
		return askKey(r)
	}
	if run := r.Header.Get(HeaderRun); run != "" {
		from, err := strconv.ParseInt(r.Header.Get(HeaderFrom), 10, 64)
		if err != nil || from < 0 {
			return Ask{}, &Refusal{Status: http.StatusBadRequest, Said: HeaderFrom + " must be the number of the next piece"}
		}
		return Ask{Run: run, From: from}, nil
	}
	value, err := fastjson.ParseBytes(body)
	if err != nil || value.Type() != fastjson.TypeObject {
		return Ask{}, &Refusal{Status: http.StatusBadRequest, Said: "the body must be an object of JSON"}
	}
	ask := Ask{Model: string(value.GetStringBytes("model")), Adapter: string(value.GetStringBytes("adapter"))}
	if ask.Model == "" {
		return ask, &Refusal{Status: http.StatusUnprocessableEntity, Said: "model: must be given"}
	}
	prompt := value.GetStringBytes("prompt")
	ask.Prompt = string(prompt[:min(len(prompt), prefixLen)])
	return ask, nil
}

// askKey takes the key that names a booking or a check, if there is one.
func askKey(r *http.Request) (Ask, *Refusal) {
	keys := r.Header.Values(HeaderKey)
	if len(keys) == 0 {
		return Ask{}, nil
	}
	key := keys[0]
	plain := !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r == 0x7f || r == utf8.RuneError })
	if len(keys) > 1 || key == "" || len(key) > mostKey || !plain {
		return Ask{}, &Refusal{Status: http.StatusBadRequest, Said: HeaderKey + " must be one text of 1 to 256 bytes without control characters"}
	}
	return Ask{Key: key}, nil
}

// Put names the run for the server that has it.
//
//	protocol.Own{}.Put(header, ask, protocol.Told{Run: "r7"})
func (Own) Put(header http.Header, _ Ask, told Told) {
	if told.Run != "" {
		header.Set(HeaderRun, told.Run)
	}
}

// Hear understands an answer: a model server that answers 409 or 503 has not
// begun, by the workers' interface.
//
//	heard := protocol.Own{}.Hear(answer, ask, "w3", true)
func (Own) Hear(answer *http.Response, ask Ask, _ string, stream bool) Heard {
	switch {
	case !stream:
		return Heard{Meaning: MeaningWhole}
	case answer.StatusCode == http.StatusOK:
		return Heard{Meaning: MeaningStream}
	case ask.Run == "" && (answer.StatusCode == http.StatusConflict || answer.StatusCode == http.StatusServiceUnavailable):
		return Heard{Meaning: MeaningBusy}
	}
	return Heard{Meaning: MeaningWhole}
}

// Sign names the server.
//
//	protocol.Own{}.Sign(w.Header(), "w3")
func (Own) Sign(into http.Header, server string) { into.Set(HeaderServer, server) }

// Resumes says that a run goes on where it is, or nowhere.
//
//	if spoken.Resumes() { ... }
func (Own) Resumes() bool { return false }

// Answer is the body of every error answer of the proxy itself.
type Answer struct {
	Error   string `json:"error"`
	Ran     Ran    `json:"ran"`
	RetryMs int64  `json:"retry_ms,omitempty"`
}

// Refuse answers for the proxy. Ran is no only where that is certain.
//
//	protocol.Own{}.Refuse(w, protocol.Refusal{Status: 503, Said: "too much at once", Retry: time.Second})
func (Own) Refuse(w http.ResponseWriter, refusal Refusal) {
	body := Answer{Error: refusal.Said, Ran: RanNo}
	if refusal.MayHaveRun {
		body.Ran = RanUnknown
	}
	if refusal.Retry > 0 {
		body.RetryMs = refusal.Retry.Milliseconds()
		w.Header().Set("Retry-After", strconv.FormatInt(int64((refusal.Retry+time.Second-1)/time.Second), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(body)
}
