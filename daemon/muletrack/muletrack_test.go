package muletrack

import (
	"context"
	"testing"

	"tuliprudder/kernel/clock"
	"tuliprudder/path/runner"
	"tuliprudder/path/serverline"
)

// An opaque item is passed on by the function given for it, and its word comes
// back under the run's number; without one it certainly did not start.
func TestOpaqueItemsArePassedOn(t *testing.T) {
	told := make(chan any, 1)
	track := New(func() clock.Micros { return 1 }, func(body any) { told <- body })
	work := runner.Run{Token: 7, Forward: &runner.Forwarded{ID: "i"}}
	track.Take(work)
	if ran := (<-told).(runner.Ran); ran.Token != 7 || ran.Outcome != serverline.NotStarted || ran.Why == "" {
		t.Fatalf("%+v", ran)
	}
	track.Forward = func(_ context.Context, run runner.Run) runner.Ran {
		return runner.Ran{Outcome: serverline.Complete, Events: []string{run.Forward.ID}, LastEvent: 1}
	}
	work.Token = 8 // the first one may not have ended yet
	track.Take(work)
	if ran := (<-told).(runner.Ran); ran.Token != 8 || ran.Outcome != serverline.Complete || ran.Events[0] != "i" {
		t.Fatalf("%+v", ran)
	}
}
