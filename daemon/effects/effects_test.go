package effects

import (
	"context"
	"testing"

	"tuliprudder/kernel/clock"
	"tuliprudder/path/execution"
	"tuliprudder/path/modelclient"
)

// An opaque item is passed on by the function given for it, and its word comes
// back under the run's number; without one it certainly did not start.
func TestOpaqueItemsArePassedOn(t *testing.T) {
	told := make(chan any, 1)
	track := New(func() clock.Micros { return 1 }, func(body any) { told <- body })
	work := execution.Run{Token: 7, Forward: &execution.Forwarded{ID: "i"}}
	track.Take(work)
	if ran := (<-told).(execution.Ran); ran.Token != 7 || ran.Outcome != modelclient.NotStarted || ran.Why == "" {
		t.Fatalf("%+v", ran)
	}
	track.Forward = func(_ context.Context, run execution.Run) execution.Ran {
		return execution.Ran{Outcome: modelclient.Complete, Events: []string{run.Forward.ID}, LastEvent: 1}
	}
	work.Token = 8 // the first one may not have ended yet
	track.Take(work)
	if ran := (<-told).(execution.Ran); ran.Token != 8 || ran.Outcome != modelclient.Complete || ran.Events[0] != "i" {
		t.Fatalf("%+v", ran)
	}
}
