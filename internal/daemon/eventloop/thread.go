package eventloop

import (
	"sync"
	"sync/atomic"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/ring"
)

const (
	ringSize        = 65536
	maxStepsPerTake = 256 // upper limit of steps taken off the ring at once
)

// step is one call to a state machine.
type step func(now clock.Micros) []machine.Effect

// thread runs the steps of one state machine sequentially, in the order in which they were
// enqueued. One goroutine calls run.
type thread struct {
	steps *ring.Ring[step]
	// mu guards the state machine: it is held during each step, and by other goroutines while
	// they read the machine.
	mu sync.Mutex
	// beforeStep, if set, runs before each step.
	beforeStep  step
	tickPending atomic.Bool // a tick is on the ring and has not run yet
}

func newThread() *thread { return &thread{steps: ring.New[step](ringSize)} }

// run runs steps until the ring is closed and empty. The effects of a step are executed
// after the lock is released, and before the next step.
func (t *thread) run(now func() clock.Micros, execute func([]machine.Effect)) {
	for steps := t.steps.Take(maxStepsPerTake); steps != nil; steps = t.steps.Take(maxStepsPerTake) {
		for _, s := range steps {
			execute(t.runStep(s, now))
		}
	}
}

func (t *thread) runStep(s step, now func() clock.Micros) []machine.Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var effects []machine.Effect
	if t.beforeStep != nil {
		effects = t.beforeStep(now())
	}
	return append(effects, s(now())...)
}

// enqueue puts a step on the ring; it returns false if the ring is full or closed.
func (t *thread) enqueue(s step) bool { return t.steps.Put(s) }

// enqueueTick puts a tick on the ring unless one is still pending: a thread that is behind
// needs only one tick to catch up.
func (t *thread) enqueueTick(tick step) {
	if t.tickPending.Swap(true) {
		return
	}
	enqueued := t.enqueue(func(now clock.Micros) []machine.Effect {
		t.tickPending.Store(false)
		return tick(now)
	})
	if !enqueued {
		t.tickPending.Store(false)
	}
}
