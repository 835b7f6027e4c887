// Package muletrack does the work a daemon's machine asks for towards the
// servers (DESIGN §2, §7): it runs items, reads pages, and tells how it went. It
// decides nothing.
package muletrack

import (
	"context"
	"strings"
	"sync"
	"time"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/runner"
	"tuliprudder/path/scouts"
	"tuliprudder/path/serverline"
)

// Track carries work out; Tell hands the machine its word.
type Track struct {
	Tell func(body any)
	Now  func() clock.Micros
	// Forward passes an opaque item on and tells how that went; set before the
	// first work comes.
	Forward func(ctx context.Context, run runner.Run) runner.Ran
	mu      sync.Mutex
	runs    map[uint64]context.CancelFunc
}

// New makes a track.
func New(now func() clock.Micros, tell func(body any)) *Track {
	return &Track{Tell: tell, Now: now, runs: map[uint64]context.CancelFunc{}}
}

// Take takes work in; it does not block.
func (t *Track) Take(work any) {
	switch w := work.(type) {
	case runner.Run:
		ctx, cancel := context.WithCancel(context.Background())
		t.mu.Lock()
		t.runs[w.Token] = cancel
		t.mu.Unlock()
		go t.run(ctx, w)
	case runner.Stop:
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

func (t *Track) run(ctx context.Context, w runner.Run) {
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
	outcome, err := serverline.Run(ctx, w.Request, func(piece string) error {
		if output.Len()+len(piece) > w.MostBytes {
			return errs.New(errs.TooLarge, "lower max_tokens of the route", "the result is over %d bytes", w.MostBytes)
		}
		if output.Len() == 0 {
			t.Tell(runner.Began{Token: w.Token})
		}
		output.WriteString(piece)
		return nil
	})
	ran := runner.Ran{Token: w.Token, Outcome: outcome, Output: output.String()}
	if err != nil {
		ran.Why = err.Error()
	}
	t.Tell(ran)
}

func (t *Track) forward(ctx context.Context, w runner.Run) runner.Ran {
	if t.Forward == nil {
		return runner.Ran{Token: w.Token, Outcome: serverline.NotStarted, Why: "this daemon passes nothing on to servers; start one that does"}
	}
	ran := t.Forward(ctx, w)
	ran.Token = w.Token
	return ran
}

func (t *Track) look(w scouts.Look) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := t.Now()
	running, waiting, err := serverline.Figures(ctx, w.Address)
	t.Tell(scouts.Looked{Look: w, Running: running, Waiting: waiting, Sound: err == nil, Began: began})
}
