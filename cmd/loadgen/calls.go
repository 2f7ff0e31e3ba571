package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"applequay/internal/dataplane/protocol"
)

const (
	mostAttempts = 4
	callWait     = 30 * time.Second
	mostResume   = 6
	// mostPatience is how much later a client still comes back.
	mostPatience = 40 * time.Second
)

func (c *clients) front() string { return c.plan.Fronts[rand.Intn(len(c.plan.Fronts))] }

func (c *clients) note(line Line, came, tried time.Time) {
	line.AttemptMs = time.Since(tried).Milliseconds()
	line.TimeMs, line.TookMs = time.Now().UnixMilli(), time.Since(came).Milliseconds()
	c.lines <- line
}

// book makes a booking or a check. It is repeated under the same key where the
// answer says that it did not run or may not have.
func (c *clients) book(calls *Calls, key string) {
	for attempt := 1; attempt <= mostAttempts; attempt++ {
		came := time.Now()
		line := Line{Event: "book", Path: calls.Path, Key: key, Tag: fmt.Sprintf("%s#%d", key, attempt), Front: c.front(), Attempt: attempt}
		wait := c.bookOnce(&line)
		c.note(line, came, came)
		if line.Whole || line.Bad != "" || wait <= 0 || (c.plan.Careful && line.Ran != string(protocol.RanNo)) {
			return
		}
		<-time.After(wait)
	}
}

func (c *clients) bookOnce(line *Line) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), callWait)
	defer cancel()
	body, _ := json.Marshal(map[string]string{"tag": line.Tag})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+line.Front+line.Path, bytes.NewReader(body))
	if err != nil {
		line.Bad = err.Error()
		return 0
	}
	request.GetBody = nil
	request.Close = true
	request.Header.Set(protocol.HeaderKey, line.Key)
	request.Header.Set(protocol.HeaderAttempt, strconv.Itoa(line.Attempt))
	answer, err := c.client.Do(request)
	if err != nil {
		line.Why, line.Ran = err.Error(), "unknown"
		return 300 * time.Millisecond
	}
	defer func() { _ = answer.Body.Close() }()
	line.Status = answer.StatusCode
	told, err := io.ReadAll(answer.Body)
	if err != nil {
		line.Why, line.Ran = err.Error(), "unknown"
		return 300 * time.Millisecond
	}
	if answer.StatusCode == http.StatusOK {
		line.Bad = compare(line, answer, told)
		line.Whole = true
		return 0
	}
	return refused(line, answer, told)
}

// compare looks at an application's whole answer: it must be the one to this
// very key and path, from the server that the proxy names, and hold
// nothing else. A repeat may get the answer to an earlier try.
func compare(line *Line, answer *http.Response, told []byte) string {
	var done struct {
		Worker, Key, Tag, Path string
		Number                 int64
	}
	reader := json.NewDecoder(bytes.NewReader(told))
	reader.DisallowUnknownFields()
	if err := reader.Decode(&done); err != nil || reader.More() {
		return "the answer is not whole or not alone: " + string(told)
	}
	tried, _, _ := strings.Cut(done.Tag, "#")
	if done.Key != line.Key || tried != line.Key || done.Path != line.Path || done.Number <= 0 || done.Worker != answer.Header.Get(protocol.HeaderServer) {
		return "the answer is not ours: " + string(told)
	}
	return ""
}

// refused reads the proxy's own error answer.
func refused(line *Line, answer *http.Response, told []byte) time.Duration {
	var refusal protocol.Answer
	if json.Unmarshal(told, &refusal) != nil || (refusal.Ran != protocol.RanNo && refusal.Ran != protocol.RanUnknown) {
		line.Bad = fmt.Sprintf("an error answer that does not say whether it ran: %d %s", answer.StatusCode, told)
		return 0
	}
	line.Ran, line.Why = string(refusal.Ran), refusal.Error
	if answer.Header.Get("Retry-After") == "" {
		return 0
	}
	if refusal.RetryMs > mostPatience.Milliseconds() {
		return 0
	}
	return max(time.Duration(refusal.RetryMs)*time.Millisecond, 200*time.Millisecond)
}

// stream asks for pieces, checks each, and goes on with a broken run.
func (c *clients) stream(calls *Calls, tag string) {
	skew := rand.Float64()
	if calls.Cold {
		skew = 1
	}
	item := calls.Items[int(float64(len(calls.Items))*rand.Float64()*skew)]
	prompt := fmt.Sprintf("%s %d: ", calls.Path, rand.Intn(20))
	var body []byte
	run, next, sent := "", int64(0), ""
	came := time.Now()
	first := int64(0)
	for attempt := 1; attempt <= mostResume; attempt++ {
		if run == "" {
			// Each new run has its own tag, so that each promise can be checked.
			sent = fmt.Sprintf("%s#%d", tag, attempt)
			body, _ = json.Marshal(map[string]any{"model": item[0], "adapter": item[1], "tag": sent, "pieces": calls.Pieces, "prompt": prompt})
		}
		line := Line{Event: "stream", Path: calls.Path, Tag: sent, Front: c.front(), Attempt: attempt}
		if run != "" {
			line.Tag = fmt.Sprintf("%s/%d", sent, attempt)
		}
		tried := time.Now()
		wait := c.streamOnce(&line, body, sent, &run, &next, calls.Pieces)
		if next > 0 && first == 0 {
			first = time.Since(came).Milliseconds()
		}
		line.Pieces, line.FirstMs = next, first
		c.note(line, came, tried)
		if line.Whole || line.Bad != "" || wait <= 0 {
			return
		}
		<-time.After(wait)
	}
}

type told struct {
	Run    string `json:"run"`
	Piece  *int64 `json:"piece"`
	Text   string `json:"text"`
	End    bool   `json:"end"`
	Pieces int64  `json:"pieces"`
	Broken bool   `json:"broken"`
	Next   int64  `json:"next"`
}

func (c *clients) streamOnce(line *Line, body []byte, tag string, run *string, next *int64, want int64) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), callWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+line.Front+line.Path, bytes.NewReader(body))
	if err != nil {
		line.Bad = err.Error()
		return 0
	}
	if *run != "" {
		request.Header.Set(protocol.HeaderRun, *run)
		request.Header.Set(protocol.HeaderFrom, strconv.FormatInt(*next, 10))
	}
	answer, err := c.client.Do(request)
	if err != nil {
		line.Why, line.Ran = err.Error(), "unknown"
		return 300 * time.Millisecond
	}
	defer func() { _ = answer.Body.Close() }()
	line.Status = answer.StatusCode
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		if answer.StatusCode == http.StatusGone {
			line.Why = "the resume was refused"
			return 0
		}
		return refused(line, answer, text)
	}
	pieces := bufio.NewScanner(answer.Body)
	for pieces.Scan() {
		var one told
		if json.Unmarshal(pieces.Bytes(), &one) != nil {
			line.Bad = "a line that is not JSON: " + pieces.Text()
			return 0
		}
		if done := c.onePiece(line, &one, tag, run, next, want); done {
			return 300 * time.Millisecond
		}
	}
	line.Why = "the stream stopped without a marker"
	return 300 * time.Millisecond
}

// onePiece checks a line of a stream; true says that it was the last.
func (c *clients) onePiece(line *Line, one *told, tag string, run *string, next *int64, want int64) bool {
	if *run == "" {
		*run = one.Run
	}
	switch {
	case one.Run != *run:
		line.Bad = fmt.Sprintf("run %s was spliced with %s", *run, one.Run)
	case one.Broken:
		line.Why = "broken"
		if one.Next != *next {
			line.Bad = fmt.Sprintf("broken at %d, said to be at %d", *next, one.Next)
		}
	case one.End:
		line.Whole = true
		if one.Pieces != *next || *next != want {
			line.Bad = fmt.Sprintf("ended at piece %d of %d, said to be %d", *next, want, one.Pieces)
		}
	case one.Piece == nil || *one.Piece != *next:
		line.Bad = fmt.Sprintf("piece %d was due, got %+v", *next, one)
	case !sameText(one.Text, tag, *next):
		line.Bad = "the piece is not ours: " + one.Text
	default:
		*next++
		return false
	}
	return true
}

// sameText checks what a worker puts in a piece: tag, run and number.
func sameText(text, tag string, number int64) bool {
	head, tail := tag+"|", fmt.Sprintf("|%d", number)
	return len(text) > len(head)+len(tail) && text[:len(head)] == head && text[len(text)-len(tail):] == tail
}
