package effects

import (
	"context"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/exclusive"
)

// ActExecutor executes a core's tasks, which are acts on an external system. Each runs in a goroutine of
// its own that ends with the act, at its deadline at the latest. Execute may be called by several goroutines.
type ActExecutor struct {
	// Notify reports to the machine.
	Notify func(report any)
	// Now returns the daemon's time.
	Now func() clock.Micros
	// Perform calls the external system. Once the context has ended, it sends nothing more and resets
	// the request in progress.
	Perform func(ctx context.Context, permit exclusive.Permit) exclusive.Result
}

// Execute starts a task; it does not block.
func (e *ActExecutor) Execute(task any) {
	if act, ok := task.(exclusive.Task); ok {
		go e.perform(act)
	}
}

// perform performs an act, until its deadline at the latest, and reports its result. An act whose
// deadline has passed already is not begun.
func (e *ActExecutor) perform(task exclusive.Task) {
	ctx, cancel := context.WithDeadline(context.Background(), e.systemTime(task.Deadline))
	defer cancel()
	result := exclusive.NoAnswer
	if ctx.Err() == nil {
		result = e.Perform(ctx, task.Permit)
	}
	e.Notify(exclusive.Performed{ID: task.Permit.ID, Result: result})
}

// systemTime converts a time on the daemon's clock to the system clock. It reads the system clock first, so
// that a delay between the two readings, such as a freeze of the process, makes the result earlier and never
// later.
func (e *ActExecutor) systemTime(at clock.Micros) time.Time {
	before := time.Now()
	return before.Add(clock.Duration(at - e.Now()))
}
