package cord

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/valyala/fastjson"

	"applequay/internal/mark/table"
)

// mostPiece bounds one line of a stream.
const mostPiece = 1 << 20

// piece is one line of a stream: a numbered piece, or the marker that ends it.
type piece struct {
	run    string
	number int64
	end    bool
}

func readPiece(line []byte) (piece, *fastjson.Value, bool) {
	value, err := fastjson.ParseBytes(line)
	if err != nil {
		return piece{}, nil, false
	}
	out := piece{run: string(value.GetStringBytes("run")), end: value.GetBool("end")}
	if out.end {
		out.number = value.GetInt64("pieces")
		return out, value, out.run != "" && value.Exists("pieces")
	}
	out.number = value.GetInt64("piece")
	return out, value, out.run != "" && value.Exists("piece")
}

// broken is the last line of a stream that could not go on: it says where a
// resume would start. It is never the end marker.
type broken struct {
	Run    string `json:"run"`
	Broken bool   `json:"broken"`
	Next   int64  `json:"next"`
	Ran    Ran    `json:"ran"`
}

// relayStream passes pieces on one by one. Each must be of the same run and
// the next in number; the run is named with its server, so that a resume goes
// to the same run or nowhere.
func (s *Switch) relayStream(c *call, answer *http.Response, chosenServer *table.Server, moved func()) fate {
	reader := bufio.NewScanner(answer.Body)
	reader.Buffer(make([]byte, 0, 4096), mostPiece)
	flusher, _ := c.w.(http.Flusher)
	next, run := c.from, ""
	if c.runAt != nil {
		_, run, _ = cutRun(c.run)
	} else {
		s.ledger.Use(chosenServer.Name, c.item, c.weight)
	}
	for reader.Scan() {
		line := bytes.TrimSpace(reader.Bytes())
		if len(line) == 0 {
			continue
		}
		moved()
		told, value, ok := readPiece(line)
		if run == "" {
			run = told.run
		}
		if !ok || told.run != run || told.number != next {
			break
		}
		if !c.answered {
			c.answered = true
			c.w.Header().Set("Content-Type", "application/x-ndjson")
			c.w.Header().Set(HeaderRun, chosenServer.Name+":"+run)
			c.w.Header().Set(HeaderServer, chosenServer.Name)
			c.w.WriteHeader(http.StatusOK)
		}
		var arena fastjson.Arena
		value.Set("run", arena.NewString(chosenServer.Name+":"+run))
		if _, err := c.w.Write(append(value.MarshalTo(nil), '\n')); err != nil {
			return fateAnswered
		}
		if flusher != nil {
			flusher.Flush()
		}
		if told.end {
			return fateAnswered
		}
		s.Counts.Pieces.Add(1)
		next++
	}
	if !c.answered {
		return fateBroken
	}
	s.Counts.Broken.Add(1)
	s.Counts.Bad.Add(1)
	last, err := json.Marshal(broken{Run: chosenServer.Name + ":" + run, Broken: true, Next: next, Ran: RanUnknown})
	if err == nil {
		_, _ = c.w.Write(append(last, '\n'))
	}
	return fateAnswered
}

func cutRun(name string) (server, run string, ok bool) {
	for at := range len(name) {
		if name[at] == ':' {
			return name[:at], name[at+1:], true
		}
	}
	return "", name, false
}
