package eventloop

import (
	"testing"

	"tuliprudder/internal/machine"
)

func TestACallGetsItsOwnReplyOnce(t *testing.T) {
	calls := newPendingCalls()
	first, firstReply := calls.open()
	second, secondReply := calls.open()
	calls.complete(machine.Reply{Call: second, Body: "second"})
	calls.complete(machine.Reply{Call: first, Body: "first"})
	calls.complete(machine.Reply{Call: first, Body: "again"})
	if got := (<-firstReply).Body; got != "first" {
		t.Errorf("the first call got %v", got)
	}
	if got := (<-secondReply).Body; got != "second" {
		t.Errorf("the second call got %v", got)
	}
	if len(firstReply) != 0 || len(calls.waiting) != 0 {
		t.Errorf("%d further replies, %d calls still wait", len(firstReply), len(calls.waiting))
	}
}

func TestRepliesThatNobodyWaitsForAreDropped(t *testing.T) {
	calls := newPendingCalls()
	abandoned, reply := calls.open()
	calls.abandon(abandoned)
	unawaited := calls.openUnawaited()
	if unawaited == abandoned {
		t.Fatal("a call number was reused")
	}
	calls.complete(machine.Reply{Call: abandoned})
	calls.complete(machine.Reply{Call: unawaited})
	if len(reply) != 0 || len(calls.waiting) != 0 {
		t.Errorf("%d replies, %d calls still wait", len(reply), len(calls.waiting))
	}
}
