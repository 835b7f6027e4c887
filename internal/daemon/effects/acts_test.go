package effects

import (
	"context"
	"testing"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/exclusive"
)

// A process that was frozen executes its pending tasks once it resumes; an act whose deadline has passed by
// then must not be performed.
func TestAnActIsNotPerformedAfterItsDeadline(t *testing.T) {
	now := 100 * clock.Second
	reports := make(chan any, 1)
	performed := 0
	executor := &ActExecutor{
		Notify: func(report any) { reports <- report },
		Now:    func() clock.Micros { return now },
		Perform: func(ctx context.Context, _ exclusive.Permit) exclusive.Result {
			performed++
			if deadline, ok := ctx.Deadline(); !ok || deadline.IsZero() {
				t.Error("the context of the act has no deadline")
			}
			return exclusive.Done
		},
	}
	id := exclusive.PermitID{Epoch: 3, Serial: 4}
	task := exclusive.Task{Permit: exclusive.Permit{ID: id}, Deadline: now + clock.Second}
	executor.Execute(task)
	if got := <-reports; got != (exclusive.Performed{ID: id, Result: exclusive.Done}) || performed != 1 {
		t.Fatalf("reported %+v", got)
	}
	task.Deadline = now
	executor.Execute(task)
	if got := <-reports; got != (exclusive.Performed{ID: id, Result: exclusive.NoAnswer}) || performed != 1 {
		t.Fatalf("reported %+v after the deadline, performed %d times", got, performed)
	}
}

// If a process is frozen between reading the daemon's clock and the system's, the act's deadline must not
// move later by the length of the freeze.
func TestAFreezeAfterReadingTheClockExtendsNoDeadline(t *testing.T) {
	now := 100 * clock.Second
	var clockReadAt, deadline time.Time
	reports := make(chan any, 1)
	executor := &ActExecutor{
		Notify: func(report any) { reports <- report },
		Now: func() clock.Micros {
			clockReadAt = time.Now()
			return now
		},
		Perform: func(ctx context.Context, _ exclusive.Permit) exclusive.Result {
			deadline, _ = ctx.Deadline()
			return exclusive.Done
		},
	}
	executor.Execute(exclusive.Task{Deadline: now + clock.Second})
	<-reports
	if late := deadline.Sub(clockReadAt.Add(time.Second)); late > 0 {
		t.Fatalf("the deadline moves with the delay after the clock was read, here by %v", late)
	}
}
