package effects

import (
	"context"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/exclusive"
)

// ActExecutor executes a core's tasks: acts on an outside system. Each runs in a goroutine of its own
// that ends with the act, at its deadline at the latest. Execute may be called by several goroutines.
type ActExecutor struct {
	// Notify reports to the machine.
	Notify func(report any)
	// Now is the daemon's time.
	Now func() clock.Micros
	// Perform calls the outside system. Once the context has ended it sends nothing any more, and what
	// is under way is reset.
	Perform func(ctx context.Context, permit exclusive.Permit) exclusive.Result
}

// Execute starts a task; it does not block.
func (e *ActExecutor) Execute(task any) {
	if act, ok := task.(exclusive.Task); ok {
		go e.perform(act)
	}
}

// perform performs an act until its deadline, and reports its result.
func (e *ActExecutor) perform(task exclusive.Task) {
	ctx, cancel := context.WithDeadline(context.Background(), e.systemTime(task.Deadline))
	defer cancel()
	result := exclusive.NoAnswer
	if ctx.Err() == nil {
		result = e.Perform(ctx, task.Permit)
	}
	e.Notify(exclusive.Performed{ID: task.Permit.ID, Result: result})
}

// systemTime is the system's time at a time of the daemon's. The system's is read first: what passes between the
// two, such as a freeze of the process, makes it earlier, never later.
func (e *ActExecutor) systemTime(at clock.Micros) time.Time {
	before := time.Now()
	return before.Add(clock.Duration(at - e.Now()))
}
