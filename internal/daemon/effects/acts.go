package effects

import (
	"context"

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
	remaining := clock.Duration(task.Deadline - e.Now())
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	result := exclusive.NoAnswer
	if ctx.Err() == nil {
		result = e.Perform(ctx, task.Permit)
	}
	e.Notify(exclusive.Performed{ID: task.Permit.ID, Result: result})
}
