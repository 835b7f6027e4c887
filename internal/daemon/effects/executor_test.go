package effects

import (
	"context"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
)

// An item that is forwarded unchanged is passed to Forward, and the result is reported under the
// attempt's id; without Forward the outcome is NotStarted.
func TestItemsAreForwarded(t *testing.T) {
	notifications := make(chan any, 1)
	executor := New(func() clock.Micros { return 1 }, func(body any) { notifications <- body })
	work := execution.Attempt{ID: 7, ForwardedItem: &execution.ForwardedItem{ItemID: "i"}}
	executor.Execute(work)
	if result := (<-notifications).(execution.AttemptResult); result.AttemptID != 7 || result.Outcome != modelclient.NotStarted || result.Reason == "" {
		t.Fatalf("%+v", result)
	}
	executor.Forward = func(_ context.Context, attempt execution.Attempt) execution.AttemptResult {
		return execution.AttemptResult{Outcome: modelclient.Complete, Events: []string{attempt.ForwardedItem.ItemID}, LastEventID: 1}
	}
	work.ID = 8 // the first attempt may not have ended yet
	executor.Execute(work)
	if result := (<-notifications).(execution.AttemptResult); result.AttemptID != 8 || result.Outcome != modelclient.Complete || result.Events[0] != "i" {
		t.Fatalf("%+v", result)
	}
}
