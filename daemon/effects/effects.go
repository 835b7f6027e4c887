// Package effects does the work a daemon's machine asks for towards the
// servers (DESIGN §2, §7): it runs items, reads pages, and tells how it went. It
// decides nothing.
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
	"tuliprudder/path/scouts"
)

// Executor carries work out; Tell hands the machine its word.
type Executor struct {
	Tell func(body any)
	Now  func() clock.Micros
	// Forward passes an opaque item on and tells how that went; set before the
	// first work comes.
	Forward func(ctx context.Context, run execution.Run) execution.Ran
	mu      sync.Mutex
	runs    map[uint64]context.CancelFunc
}

// New makes a track.
func New(now func() clock.Micros, tell func(body any)) *Executor {
	return &Executor{Tell: tell, Now: now, runs: map[uint64]context.CancelFunc{}}
}

// Take takes work in; it does not block.
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
	case scouts.Look:
		go t.look(w)
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
		t.Tell(t.forward(ctx, w))
		return
	}
	var output strings.Builder
	outcome, err := modelclient.Run(ctx, w.Request, func(piece string) error {
		if output.Len()+len(piece) > w.MostBytes {
			return errs.New(errs.TooLarge, "lower max_tokens of the route", "the result is over %d bytes", w.MostBytes)
		}
		if output.Len() == 0 {
			t.Tell(execution.Began{Token: w.Token})
		}
		output.WriteString(piece)
		return nil
	})
	ran := execution.Ran{Token: w.Token, Outcome: outcome, Output: output.String()}
	if err != nil {
		ran.Why = err.Error()
	}
	t.Tell(ran)
}

func (t *Executor) forward(ctx context.Context, w execution.Run) execution.Ran {
	if t.Forward == nil {
		return execution.Ran{Token: w.Token, Outcome: modelclient.NotStarted, Why: "this daemon passes nothing on to servers; start one that does"}
	}
	ran := t.Forward(ctx, w)
	ran.Token = w.Token
	return ran
}

func (t *Executor) look(w scouts.Look) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := t.Now()
	running, waiting, err := modelclient.Figures(ctx, w.Address)
	t.Tell(scouts.Looked{Look: w, Running: running, Waiting: waiting, Sound: err == nil, Began: began})
}
