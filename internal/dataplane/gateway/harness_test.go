package gateway

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

func TestMain(m *testing.M) {
	modelclient.ConfigureDefaultClient()
	logx.Disable()
	os.Exit(m.Run())
}

// storeStub responds to the requests that the state machine sends to other daemons.
type storeStub func(body any) (any, error)

// stubLoop runs an edge's state machine in a test, in place of the daemon's event loop.
type stubLoop struct {
	mu             sync.Mutex // guards all fields below, and the state machine
	edge           *machines.Edge
	start          time.Time
	pendingReplies map[uint64]chan machine.Reply
	lastCall       uint64
	callStore      storeStub
}

func (s *stubLoop) now() clock.Micros { return 1_000_000 + time.Since(s.start).Microseconds() }

// apply runs one step of the state machine and carries out its effects.
func (s *stubLoop) apply(step func(now clock.Micros) []machine.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, effect := range step(s.now()) {
		switch e := effect.(type) {
		case machine.Reply:
			if replies := s.pendingReplies[e.Call]; replies != nil {
				replies <- e
			}
		case machine.Request:
			go func() {
				body, err := s.callStore(e.Body)
				s.apply(func(now clock.Micros) []machine.Effect { return s.edge.ReplyReceived(e.Token, body, err, now) })
			}()
		}
	}
}

// newStubLoop starts an edge's state machine that has received its own membership, the configuration
// and the updates.
func newStubLoop(t *testing.T, settings machines.EdgeSettings, configurationText string, callStore storeStub, updates ...machine.Update) *stubLoop {
	t.Helper()
	s := &stubLoop{
		edge:           machines.NewEdge("edge", settings, 1),
		start:          time.Now(),
		pendingReplies: map[uint64]chan machine.Reply{},
		callStore:      callStore,
	}
	configuration, err := config.Parse([]byte(configurationText))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	configuration.Version = 1
	self := membership.Member{ID: "edge", Kind: membership.Edge, Zone: "z", Peer: "edge"}
	updates = append([]machine.Update{{Key: membership.Key("edge"), Value: self.Encode()}}, updates...)
	for _, update := range updates {
		s.apply(func(now clock.Micros) []machine.Effect { return s.edge.UpdateReceived(update, now) })
	}
	s.apply(func(now clock.Micros) []machine.Effect {
		s.edge.Scheduler.SetConfiguration(configuration, now)
		return s.edge.FreshnessAdvanced(now, now)
	})
	var cleanups cleanup.Stack
	t.Cleanup(cleanups.Run)
	cleanup.Every(&cleanups, 10*time.Millisecond, func() { s.apply(s.edge.Tick) })
	return s
}

// notify sends the state machine a message without waiting for a reply.
func (s *stubLoop) notify(message any) {
	s.apply(func(now clock.Micros) []machine.Effect { return s.edge.Call(0, message, now) })
}

func (s *stubLoop) callMachine(_ context.Context, body, _ any, _ time.Duration) (any, error) {
	replies := make(chan machine.Reply, 1)
	s.apply(func(now clock.Micros) []machine.Effect {
		s.lastCall++
		s.pendingReplies[s.lastCall] = replies
		return s.edge.Call(s.lastCall, body, now)
	})
	got := <-replies
	return got.Body, got.Err
}
