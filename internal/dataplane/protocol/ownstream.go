package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/valyala/fastjson"
)

// mostPiece bounds one line of a stream.
const mostPiece = 1 << 20

// ownStream reads lines of JSON. Each must be of the same run and the next in
// number; the run is named with its server, so that a resume goes to the same
// run or nowhere.
type ownStream struct {
	lines  *bufio.Scanner
	server string
	run    string
	next   int64
}

// Open begins to read a stream.
//
//	stream := protocol.Own{}.Open(answer, reader, ask, "w3")
func (Own) Open(_ *http.Response, body *bufio.Reader, ask Ask, server string) Stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), mostPiece)
	s := &ownStream{lines: lines, server: server, next: ask.From}
	if ask.Run != "" {
		_, s.run, _ = CutRun(ask.Run)
	}
	return s
}

var errBroken = errors.New("the stream broke off")

// Next reads the next line.
func (s *ownStream) Next() (Piece, error) {
	for s.lines.Scan() {
		line := bytes.TrimSpace(s.lines.Bytes())
		if len(line) == 0 {
			continue
		}
		value, err := fastjson.ParseBytes(line)
		if err != nil {
			return Piece{}, err
		}
		run, end, field := string(value.GetStringBytes("run")), value.GetBool("end"), "piece"
		if end {
			field = "pieces"
		}
		if s.run == "" {
			s.run = run
		}
		if run == "" || !value.Exists(field) || run != s.run || value.GetInt64(field) != s.next {
			return Piece{}, errBroken
		}
		var arena fastjson.Arena
		value.Set("run", arena.NewString(s.server+":"+run))
		piece := Piece{Bytes: append(value.MarshalTo(nil), '\n'), Number: s.next, End: end}
		s.next++
		return piece, nil
	}
	return Piece{}, io.ErrUnexpectedEOF
}

// Head names the run.
func (s *ownStream) Head(into http.Header) {
	into.Set("Content-Type", "application/x-ndjson")
	into.Set(HeaderRun, s.server+":"+s.run)
	into.Set(HeaderServer, s.server)
}

// broken is the last line of a stream that could not go on: it says where a
// resume would start. It is never the end marker.
type broken struct {
	Run    string `json:"run"`
	Broken bool   `json:"broken"`
	Next   int64  `json:"next"`
	Ran    Ran    `json:"ran"`
}

// Broken is the last line of a stream that could not go on.
func (s *ownStream) Broken(next int64) []byte {
	line, err := json.Marshal(broken{Run: s.server + ":" + s.run, Broken: true, Next: next, Ran: RanUnknown})
	if err != nil {
		return nil
	}
	return append(line, '\n')
}

// CutRun takes a run's name apart into its server and the server's own name.
//
//	server, run, ok := protocol.CutRun("w3:r7")
func CutRun(name string) (server, run string, ok bool) {
	server, run, ok = strings.Cut(name, ":")
	if !ok {
		return "", name, false
	}
	return server, run, true
}
