// Package effects executes the work that a daemon's machine asks for towards model
// servers (DESIGN §2, §7): it runs items, reads servers' load pages, and reports the
// results. It decides nothing.
package effects

import (
	"context"
	"strings"
	"sync"
	"time"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/execution"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/serverpoll"
)

// Executor executes work; Notify reports to the machine. It may be called by several
// threads.
type Executor struct {
	Notify func(body any)
	Now    func() clock.Micros
	// Forward passes an opaque item on and tells how that went; set before the
	// first work comes.
	Forward func(ctx context.Context, run execution.Run) execution.Ran
	mu      sync.Mutex
	runs    map[uint64]context.CancelFunc
}

// New makes an executor.
func New(now func() clock.Micros, tell func(body any)) *Executor {
	return &Executor{Notify: tell, Now: now, runs: map[uint64]context.CancelFunc{}}
}

// Take begins a piece of work; it does not block.
func (t *Executor) Take(work any) {
	switch w := work.(type) {
	case execution.Run:
		ctx, cancel := context.WithCancel(context.Background())
		t.mu.Lock()
		t.runs[w.Token] = cancel
		t.mu.Unlock()
		go t.run(ctx, w)
	case execution.Stop:
		t.mu.Lock()
		cancel := t.runs[w.Token]
		t.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case serverpoll.ReadServer:
		go t.readServer(w)
	}
}

func (t *Executor) run(ctx context.Context, w execution.Run) {
	defer func() {
		t.mu.Lock()
		t.runs[w.Token]()
		delete(t.runs, w.Token)
		t.mu.Unlock()
	}()
	if w.Forward != nil {
		t.Notify(t.forward(ctx, w))
		return
	}
	var output strings.Builder
	outcome, err := modelclient.Run(ctx, w.Request, func(piece string) error {
		if output.Len()+len(piece) > w.MostBytes {
			return errs.New(errs.TooLarge, "lower max_tokens of the route", "the result is over %d bytes", w.MostBytes)
		}
		if output.Len() == 0 {
			t.Notify(execution.Began{Token: w.Token})
		}
		output.WriteString(piece)
		return nil
	})
	ran := execution.Ran{Token: w.Token, Outcome: outcome, Output: output.String()}
	if err != nil {
		ran.Why = err.Error()
	}
	t.Notify(ran)
}

func (t *Executor) forward(ctx context.Context, w execution.Run) execution.Ran {
	if t.Forward == nil {
		return execution.Ran{Token: w.Token, Outcome: modelclient.NotStarted, Why: "this daemon passes nothing on to servers; start one that does"}
	}
	ran := t.Forward(ctx, w)
	ran.Token = w.Token
	return ran
}

func (t *Executor) readServer(w serverpoll.ReadServer) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := t.Now()
	running, waiting, err := modelclient.ReadLoad(ctx, w.Address)
	t.Notify(serverpoll.ServerReading{ReadServer: w, Running: running, Waiting: waiting, Sound: err == nil, Began: began})
}
