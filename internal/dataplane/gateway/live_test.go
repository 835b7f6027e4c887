package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
)

func sseChunks(chunks ...string) string {
	out := ""
	for _, chunk := range chunks {
		out += fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", chunk)
	}
	return out
}

const finishEvent = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"

const doneEvent = "data: [DONE]\n\n"

// A stream looks complete to the caller only if the server sent its finish reason and its end marker.
// A one-shot request that may have run is never run again.
func TestTruncatedCompletionNeverLooksComplete(t *testing.T) {
	for name, body := range map[string]string{
		"no end marker": sseChunks("a", "b") + finishEvent, "no finish reason": sseChunks("a", "b") + doneEvent, "half": sseChunks("a"),
		"not an event": sseChunks("a") + "data: {oops\n\n" + finishEvent + doneEvent, "an error": sseChunks("a") + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n",
	} {
		var runs atomic.Int64
		handler := func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			fmt.Fprint(w, body)
		}
		once := serve(submitHandler(newTestHandler(t, handler, nil)), "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "once"})
		if got := errorKind(t, once); got != errs.OutcomeUnknown {
			t.Errorf("%s: a one-shot request got the error %s", name, got)
		}
		if runs.Load() != 1 {
			t.Errorf("%s: a one-shot request ran %d times", name, runs.Load())
		}
		flow := serve(submitHandler(newTestHandler(t, handler, nil)), "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"}).Body.String()
		if strings.Contains(flow, "event: end") || !strings.Contains(flow, "event: error") || strings.Count(flow, `"text":"a"`) != 1 {
			t.Errorf("%s: the stream reads %q", name, flow)
		}
	}
	h, _ := newTestHandler(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, sseChunks("a", "b")+finishEvent+doneEvent) }, nil)
	complete := serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"}).Body.String()
	if !strings.Contains(complete, "event: end") || strings.Contains(complete, "event: error") {
		t.Fatalf("a complete stream reads %q", complete)
	}
}

// A server that rejects a request has not run it, so the request is attempted on other servers. If
// every server rejects it, the caller gets a Retry-After header.
func TestRequestRejectedByEveryServerGetsRetryAfter(t *testing.T) {
	var attempts atomic.Int64
	h, _ := newTestHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		attempts.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}, nil)
	got := serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "once"})
	if kind := errorKind(t, got); kind != errs.Busy && kind != errs.DeadlineExceeded {
		t.Fatalf("got the error %s", kind)
	}
	if got.Header().Get("Retry-After") == "" || attempts.Load() == 0 {
		t.Fatalf("Retry-After %q after %d attempts", got.Header().Get("Retry-After"), attempts.Load())
	}
}

// The claim of an idempotency key is voided before the request is rejected. If the store does not
// confirm that, the caller is told that the outcome is unknown.
func TestClaimIsVoidedBeforeTheRequestIsRejected(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		var states []string
		h, _ := newTestHandler(t, nil, func(body any) (any, error) {
			switch request := body.(type) {
			case batchstore.ClaimRequest:
				return batchstore.ClaimResponse{Yours: true, Claim: request.Claim}, nil
			case batchstore.CompleteClaimRequest:
				states = append(states, request.State)
				if confirmed {
					return batchstore.CompleteClaimResponse{}, nil
				}
			}
			return nil, errs.New(errs.OutcomeUnknown, "send the request again", "the store did not respond")
		})
		got := errorKind(t, serve(h.SubmitRequest, "POST", "/", "key-c", "k1", `{"input":"x"}`, map[string]string{"route": "once"}))
		want := errs.DeadlineExceeded
		if !confirmed {
			want = errs.OutcomeUnknown
		}
		if got != want || fmt.Sprint(states) != "[turned-away]" {
			t.Fatalf("confirmed %v: got the error %s after completing the claim as %v", confirmed, got, states)
		}
	}
}

// A stream whose first attempt may have run is not reported as rejected, even if all later attempts
// were rejected.
func TestRequestThatMayHaveRunIsNeverRejected(t *testing.T) {
	var attempts atomic.Int64
	h, s := newTestHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) > 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, nil)
	s.mu.Lock()
	s.edge.Scheduler.SetServer(endpoints.Server{Name: "t", Address: s.edge.Scheduler.Servers()[0].Address, Slots: 4, Labels: map[string]string{"fleet": "main"}})
	s.mu.Unlock()
	got := serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"})
	if kind := errorKind(t, got); kind != errs.OutcomeUnknown || attempts.Load() < 2 {
		t.Fatalf("got the error %s after %d attempts, of which the first may have run", kind, attempts.Load())
	}
}
