package transport

import (
	"net"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// A call that times out closes its connection; the next call dials a new one.
func TestTimedOutCallDoesNotDelayTheNext(t *testing.T) {
	remote, _, _ := listen(t)
	_, _, local := listen(t)
	if _, err := local.Call(remote, testMessage{blockingText}, 50*clock.Millisecond); !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("the blocked call: %v", err)
	}
	got, err := local.Call(remote, testMessage{"again"}, 20*clock.Second)
	if err != nil || got.(testMessage).Text != "response to again" {
		t.Fatalf("the next call: %v %v", got, err)
	}
	if _, err := local.Call(remote, testMessage{failingText}, 20*clock.Second); !errs.Is(err, errs.Busy) {
		t.Fatalf("a typed error was returned as %v", err)
	}
}

// A call to a daemon that can't be reached fails with errs.NotReady and not errs.OutcomeUnknown: the
// daemon did not receive it.
func TestUnreachablePeerIsNotReady(t *testing.T) {
	_, _, local := listen(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	closed.Close()
	if _, err := local.Call(address, testMessage{"x"}, clock.Second); !errs.Is(err, errs.NotReady) {
		t.Fatalf("got %v", err)
	}
}
