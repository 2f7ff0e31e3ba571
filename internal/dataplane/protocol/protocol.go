// Package protocol is the seam between a proxy and those it speaks to: how
// clients ask, how servers are told and how their answers are read. The
// product's own interface is the first way, see Own.
package protocol

import (
	"bufio"
	"net/http"
	"time"
)

// Part is one part of a prompt. Requests that begin with the same parts find
// each other's work kept.
type Part struct {
	Name   string
	Tokens int64
}

// Ask is what one request asks for.
type Ask struct {
	// ID is what an answer must carry back; empty where answers carry none.
	ID string
	// Model and Adapter name what is to answer; empty for applications.
	Model, Adapter string
	// Prompt is how the prompt begins, Parts what it is made of, as far as told.
	Prompt string
	Parts  []Part
	// TokensIn and TokensOut are how much is to be read and at most made.
	TokensIn, TokensOut int64
	// Key names a booking that must go to one server only.
	Key string
	// Run names a run to go on with, at the server that it is bound to; From is
	// the number of the last piece that the client has, or of the next (own form).
	Run  string
	From int64
}

// Told is what a server is told beside what the client said.
type Told struct {
	// Server is the server's name: another one at its address turns it away.
	Server string
	// Left is how long the request may still take; nought: no bound.
	Left time.Duration
	// Urgency is from 0, the most urgent, to 9; -1 says nothing.
	Urgency int64
	// Resumed says that the server is to go on after piece From.
	Resumed bool
	From    int64
	// Run is the server's own name of a run that is gone on with.
	Run string
}

// Refusal is an answer that a proxy gives itself.
type Refusal struct {
	Status int
	Said   string
	// MayHaveRun is false only when it is certain that the request did not run
	// and never will.
	MayHaveRun bool
	Retry      time.Duration
}

// Meaning is what a server's answer means.
type Meaning int

// The meanings. Of these only MeaningTurnedAway, MeaningElsewhere and
// MeaningMissing are certain that the request did not run there.
const (
	// MeaningWhole: an answer to be passed on whole.
	MeaningWhole Meaning = iota
	// MeaningStream: a stream of pieces begins.
	MeaningStream
	// MeaningTurnedAway: the server had no place for it.
	MeaningTurnedAway
	// MeaningElsewhere: another server is at the address by now.
	MeaningElsewhere
	// MeaningMissing: the server does not hold what is asked for.
	MeaningMissing
	// MeaningBusy: the server says that it did not begin, which is good enough
	// to try another, not to promise.
	MeaningBusy
	// MeaningForeign: it is no answer to this request.
	MeaningForeign
)

// Heard is the head of a server's answer, understood.
type Heard struct {
	Meaning Meaning
	// Loaded says that the server told how many requests Run and Wait there.
	Loaded            bool
	Run, Wait, Places int64
}

// Piece is one piece of a stream, in the bytes that the client gets.
type Piece struct {
	Bytes  []byte
	Number int64
	// End marks the piece that completes the stream.
	End bool
}

// Stream reads the pieces of one run.
type Stream interface {
	// Next is the next whole piece; io.EOF says that a stream without an end
	// marker is complete, any other error that it broke off.
	Next() (Piece, error)
	// Head sets the client's head, once the first piece is there.
	Head(into http.Header)
	// Broken is what ends an answer that cannot go on, next being the number of
	// the piece that is missing; nil: the connection is cut.
	Broken(next int64) []byte
}

// Speech is one way to speak to clients and servers. It decides nothing.
type Speech interface {
	// Wait is how long the client will wait; nought if it does not say.
	Wait(r *http.Request) (time.Duration, *Refusal)
	// Ask reads what a request asks for; model tells whether its service has models.
	Ask(r *http.Request, body []byte, model bool) (Ask, *Refusal)
	// Put writes what the server is told into the head of an attempt.
	Put(header http.Header, ask Ask, told Told)
	// Hear understands the head of an answer.
	Hear(answer *http.Response, ask Ask, server string, stream bool) Heard
	// Open begins to read a stream.
	Open(answer *http.Response, body *bufio.Reader, ask Ask, server string) Stream
	// Sign sets what a whole answer carries beside the server's own head.
	Sign(into http.Header, server string)
	// Refuse answers for the proxy.
	Refuse(w http.ResponseWriter, refusal Refusal)
	// Resumes tells whether a stream may be gone on with at any other holder.
	Resumes() bool
}
