package adminapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/register"
	"applequay/internal/transport/wire"
)

// single is a control machine that knows one worker, and reaches a majority or
// does not.
type single struct {
	eventloop.Machine
	reaches bool
}

func (s *single) Tick(int64, int64) wire.Outputs { return wire.Outputs{} }
func (s *single) Fact(string, string)            {}
func (s *single) Page(int64) controller.Page {
	return controller.Page{Workers: map[string]wire.Worker{"w1": {Name: "w1", Pool: "llm", RoomMb: 500}}}
}

func (s *single) Read(_, call int64, key string) wire.Outputs {
	if !s.reaches {
		return register.Hopeless(call, key)
	}
	return wire.Outputs{Answers: []wire.Answer{{Call: call, Body: register.Outcome{Key: key}}}}
}

// A policy without room on the workers known here is refused only by a node that
// reaches a majority.
func TestRoomIsNoMemory(t *testing.T) {
	c := qt.New(t)
	for _, one := range []struct {
		reaches bool
		status  int
	}{{true, http.StatusUnprocessableEntity}, {false, http.StatusServiceUnavailable}} {
		ctx, cancel := context.WithCancel(context.Background())
		control := eventloop.New(eventloop.Options{Machine: &single{reaches: one.reaches}, Self: "c1~1", Log: zap.NewNop(), Epoch: time.Now(), Tick: 10 * time.Millisecond})
		go func() { _ = control.Run(ctx) }()
		router := mux.NewRouter()
		Routes(router, control, nil, 2*time.Second, func() {})
		answer := httptest.NewRecorder()
		router.ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/v1/policy", strings.NewReader(`{"models":[{"name":"m1","pool":"llm","size_mb":900}]}`)))
		c.Check(answer.Code, qt.Equals, one.status, qt.Commentf("%s", answer.Body))
		cancel()
	}
}
