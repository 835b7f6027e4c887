package machine

import (
	"testing"

	"tuliprudder/internal/clock"
)

// A request's callback is called once; a second response, or one with an unknown token, is dropped.
func TestACallbackIsCalledOnce(t *testing.T) {
	calls := NewCalls()
	var got []any
	calls.Request("peer", "request", clock.Second, func(body any, _ error, _ clock.Micros) { got = append(got, body) })
	effects := calls.Drain()
	request, ok := effects[0].(Request)
	if !ok || len(effects) != 1 || request.To != "peer" || calls.Pending() != 1 {
		t.Fatalf("emitted %+v, %d pending", effects, calls.Pending())
	}
	calls.ReplyReceived(request.Token+1, "unknown token", nil, 1)
	calls.ReplyReceived(request.Token, "first", nil, 1)
	calls.ReplyReceived(request.Token, "second", nil, 2)
	if len(got) != 1 || got[0] != "first" || calls.Pending() != 0 {
		t.Fatalf("called back with %v, %d pending", got, calls.Pending())
	}
}
