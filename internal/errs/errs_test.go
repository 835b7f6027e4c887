package errs

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
)

// A typed error is found through wrapping, and has its kind's status.
func TestATypedErrorIsFoundThroughWrapping(t *testing.T) {
	err := fmt.Errorf("submitting: %w", NewWithRetry(Busy, 5, "retry later", "%d batches wait", 3))
	got := Of(err)
	if got.Kind != Busy || got.Message != "3 batches wait" || got.RetryAfterUS != 5 || got.Status() != http.StatusTooManyRequests {
		t.Errorf("found %+v with status %d", got, got.Status())
	}
	if !Is(err, Busy) || Is(err, NotReady) || Is(nil, Busy) {
		t.Error("the error matches another kind, or not its own")
	}
}

// Any other error leaves the outcome unknown: the request may have run.
func TestAnUntypedErrorLeavesTheOutcomeUnknown(t *testing.T) {
	got := Of(errors.New("connection reset"))
	if got.Kind != OutcomeUnknown || got.RetryAfterUS == 0 || got.Status() != http.StatusGatewayTimeout {
		t.Errorf("converted to %+v with status %d", got, got.Status())
	}
}

// A kind that only the operators of a machine see is an internal error (500) for callers.
func TestAKindWithoutStatusIsAnInternalError(t *testing.T) {
	if got := Of(New(Corrupt, "start empty", "damaged")).Status(); got != http.StatusInternalServerError {
		t.Errorf("status %d", got)
	}
}
