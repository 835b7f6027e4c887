package eventloop

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// callRecorder is a machine that leaves its calls unanswered until the test replies.
type callRecorder struct {
	recorder
	received chan machine.Reply // number and body of each call
}

func (c *callRecorder) Call(number uint64, body any, _ clock.Micros) []machine.Effect {
	c.received <- machine.Reply{Call: number, Body: body}
	return nil
}

// startLoop starts the event loop of a single daemon, with handler as its machine unless it
// is nil.
func startLoop(t *testing.T, handler Machine) (*Loop, *cleanup.Stack) {
	t.Helper()
	self := Identity{ID: "edge-1", Incarnation: 1}
	loop := New(membership.Member{ID: self.ID, Kind: membership.Edge, Zone: "z", Peer: "127.0.0.1:0"}, nil, self, zerolog.Nop())
	if handler != nil {
		loop.SetMachine(handler, nil)
	}
	cleanups := &cleanup.Stack{}
	t.Cleanup(cleanups.Run)
	if err := loop.Start(nil, cleanups); err != nil {
		t.Fatal(err)
	}
	return loop, cleanups
}

func TestACallOfADaemonWithoutAMachineIsRejected(t *testing.T) {
	loop, _ := startLoop(t, nil)
	if _, err := loop.CallLocal("body"); !errs.Is(err, errs.BadInput) {
		t.Errorf("the error is %v", err)
	}
}

// When a caller cancels, the machine is notified, and the call still waits for its reply.
func TestACancelledCallIsReportedAndWaitedFor(t *testing.T) {
	handler := &callRecorder{received: make(chan machine.Reply, 2)}
	loop, _ := startLoop(t, handler)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan any)
	go func() {
		body, _ := loop.CallLocalContext(ctx, "call", "left", time.Minute)
		result <- body
	}()
	call := <-handler.received
	cancel()
	if left := <-handler.received; left.Body != "left" || left.Call == call.Call {
		t.Fatalf("the machine was notified with %+v", left)
	}
	loop.execute([]machine.Effect{machine.Reply{Call: call.Call, Body: "done"}})
	if got := <-result; got != "done" {
		t.Errorf("the reply is %v", got)
	}
}

func TestACallWithoutAReplyTimesOut(t *testing.T) {
	loop, _ := startLoop(t, &callRecorder{received: make(chan machine.Reply, 1)})
	if _, err := loop.CallLocalContext(t.Context(), "call", nil, time.Millisecond); !errors.Is(err, errNoReply) {
		t.Errorf("the error is %v", err)
	}
	if len(loop.calls.waiting) != 0 {
		t.Errorf("%d calls still wait", len(loop.calls.waiting))
	}
}

func TestACallOfAStoppedDaemonIsRejected(t *testing.T) {
	loop, cleanups := startLoop(t, &callRecorder{})
	cleanups.Run()
	if _, err := loop.CallLocal("call"); !errs.Is(err, errs.Busy) {
		t.Errorf("the error is %v", err)
	}
	if err := loop.Broadcast(machine.Update{Key: "k"}, clock.Second); !errs.Is(err, errs.Busy) {
		t.Errorf("the error of a broadcast is %v", err)
	}
}

func TestAHaltEndsTheProcess(t *testing.T) {
	loop, _ := startLoop(t, nil)
	var codes []int
	loop.exit = func(code int) { codes = append(codes, code) }
	loop.execute([]machine.Effect{machine.Halt{Err: errors.New("damaged")}})
	if len(codes) != 1 || codes[0] != haltExitCode {
		t.Errorf("it exited with %v", codes)
	}
}
