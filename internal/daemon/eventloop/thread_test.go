package eventloop

import (
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

func noEffects(clock.Micros) []machine.Effect { return nil }

// runAll runs the steps on a thread's ring and returns the bodies that were sent, in order.
func runAll(t *thread) (sent []any) {
	t.steps.Close()
	t.run(func() clock.Micros { return 1 }, func(effects []machine.Effect) {
		for _, effect := range effects {
			sent = append(sent, effect.(machine.Send).Body)
		}
	})
	return sent
}

func sendStep(body any) step {
	return func(clock.Micros) []machine.Effect { return []machine.Effect{machine.Send{Body: body}} }
}

func TestStepsRunInOrderEachAfterBeforeStep(t *testing.T) {
	thread := newThread()
	thread.beforeStep = sendStep("before")
	thread.enqueue(sendStep("first"))
	thread.enqueue(sendStep("second"))
	if got, want := runAll(thread), []any{"before", "first", "before", "second"}; !slices.Equal(got, want) {
		t.Errorf("executed %v, not %v", got, want)
	}
}

func TestOneTickIsPendingAtATime(t *testing.T) {
	thread := newThread()
	thread.enqueueTick(sendStep("tick"))
	thread.enqueueTick(sendStep("tick"))
	if thread.steps.Len() != 1 {
		t.Fatalf("%d ticks are on the ring", thread.steps.Len())
	}
	if got := runAll(thread); len(got) != 1 || thread.tickPending.Load() {
		t.Errorf("executed %v, still pending: %v", got, thread.tickPending.Load())
	}
}

func TestADroppedTickIsNotPending(t *testing.T) {
	thread := newThread()
	thread.steps.Close()
	thread.enqueueTick(noEffects)
	if thread.tickPending.Load() {
		t.Error("a tick that was dropped counts as pending")
	}
}
