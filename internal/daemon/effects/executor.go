// Package effects executes the tasks of a daemon's machine (machine.Execute; DESIGN §2, §7): it
// runs attempts of items on model servers, polls the servers' load, performs acts on external
// systems, and reports the results to the machine. It makes no decisions of its own.
package effects

import (
	"context"
	"strings"
	"sync"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/serverpoll"
	"tuliprudder/internal/errs"
)

// pollTimeout bounds one poll of a server's load.
const pollTimeout = time.Second

// Executor executes tasks, each in a goroutine of its own. A goroutine ends with its attempt
// or poll, both of which have a timeout; an attempt also ends when the machine cancels it.
// Execute may be called by several goroutines.
type Executor struct {
	// Notify reports to the machine.
	Notify func(report any)
	// Now returns the daemon's time.
	Now func() clock.Micros
	// Forward forwards an item unchanged and returns the result. It is set before the first
	// task; nil if this daemon forwards no items.
	Forward func(ctx context.Context, attempt execution.Attempt) execution.AttemptResult

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // attempts in progress, by id; guarded by mu
}

// New makes an executor.
func New(now func() clock.Micros, notify func(report any)) *Executor {
	return &Executor{Notify: notify, Now: now, cancels: map[uint64]context.CancelFunc{}}
}

// Execute starts a task; it does not block.
func (e *Executor) Execute(task any) {
	switch t := task.(type) {
	case execution.Attempt:
		go e.run(e.begin(t.ID), t)
	case execution.CancelAttempt:
		e.cancel(t.AttemptID)
	case serverpoll.PollTask:
		go e.pollServer(t)
	}
}

// begin makes the context of an attempt and registers its cancel function.
func (e *Executor) begin(attemptID uint64) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[attemptID] = cancel
	return ctx
}

// cancel cancels an attempt if it is in progress.
func (e *Executor) cancel(attemptID uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancels[attemptID]; cancel != nil {
		cancel()
	}
}

// end releases an attempt's context.
func (e *Executor) end(attemptID uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[attemptID]()
	delete(e.cancels, attemptID)
}

// run runs an attempt and reports its result.
func (e *Executor) run(ctx context.Context, attempt execution.Attempt) {
	defer e.end(attempt.ID)
	if attempt.ForwardedItem != nil {
		e.Notify(e.forward(ctx, attempt))
		return
	}
	e.Notify(e.completePrompt(ctx, attempt))
}

// completePrompt requests the completion of an attempt's prompt from a model server.
func (e *Executor) completePrompt(ctx context.Context, attempt execution.Attempt) execution.AttemptResult {
	var output strings.Builder
	outcome, err := modelclient.StreamCompletion(ctx, attempt.Request, func(chunk string) error {
		if output.Len()+len(chunk) > attempt.MaxOutputBytes {
			return errs.New(errs.TooLarge, "lower max_tokens of the route", "the result exceeds %d bytes", attempt.MaxOutputBytes)
		}
		if output.Len() == 0 {
			e.Notify(execution.AttemptStarted{AttemptID: attempt.ID})
		}
		output.WriteString(chunk)
		return nil
	})
	result := execution.AttemptResult{AttemptID: attempt.ID, Outcome: outcome, Output: output.String()}
	if err != nil {
		result.Reason = err.Error()
	}
	return result
}

func (e *Executor) forward(ctx context.Context, attempt execution.Attempt) execution.AttemptResult {
	if e.Forward == nil {
		return execution.AttemptResult{
			AttemptID: attempt.ID,
			Outcome:   modelclient.NotStarted,
			Reason:    "this daemon does not forward items to model servers; start one that does",
		}
	}
	result := e.Forward(ctx, attempt)
	result.AttemptID = attempt.ID
	return result
}

func (e *Executor) pollServer(task serverpoll.PollTask) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	startedAt := e.Now()
	running, waiting, err := modelclient.ReadLoad(ctx, task.Address)
	e.Notify(serverpoll.PollResult{
		PollTask:  task,
		Running:   running,
		Waiting:   waiting,
		Healthy:   err == nil,
		StartedAt: startedAt,
	})
}
