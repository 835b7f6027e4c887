package transport

import (
	"net"
	"testing"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// A peer that accepts connections but never answers delays neither messages to other peers nor, past
// the timeout, a caller.
func TestUnresponsivePeerDoesNotDelayOthers(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	remote, receiver, _ := listen(t)
	_, _, local := listen(t)
	for i := 0; i < 10; i++ {
		local.Send(unresponsive.Addr().String(), testMessage{"lost"})
	}
	local.Send(remote, testMessage{"hello"})
	select {
	case got := <-receiver.received:
		if got != "hello" {
			t.Fatalf("received %q", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("an unresponsive peer delayed the message to another")
	}
	if _, err := local.Call(unresponsive.Addr().String(), testMessage{"anyone"}, 50*clock.Millisecond); !errs.Is(err, errs.OutcomeUnknown) {
		t.Fatalf("a call that timed out returned %v", err)
	}
}
