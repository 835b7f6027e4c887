package eventloop

import (
	"fmt"
	"sync"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/storage"
)

// DiskCondition is how a daemon's disk does.
type DiskCondition int

// The conditions. While a disk is well or slow the daemon has all its duties.
const (
	DiskWell DiskCondition = iota
	DiskSlow
	DiskStalled // a write does not come back
	DiskFull    // a write is turned down for want of room
	DiskFailing // a write is turned down for another reason
)

var diskConditionNames = map[DiskCondition]string{DiskWell: "well", DiskSlow: "slow", DiskStalled: "stalled", DiskFull: "full", DiskFailing: "failing"}

// String names the condition.
func (c DiskCondition) String() string { return diskConditionNames[c] }

// Writable tells whether the disk takes writes.
func (c DiskCondition) Writable() bool { return c == DiskWell || c == DiskSlow }

const (
	slowWrite    = 250 * clock.Millisecond  // a try that takes longer makes a disk slow
	slowFor      = 5 * clock.Second         // and so long after the last of them it is well again
	stalledWrite = 1500 * clock.Millisecond // a try that is under way for longer makes it stalled
)

// diskHealth works out the condition of the disk from how its writes go. The disk
// thread tells of each try, and the clock's thread looks.
type diskHealth struct {
	mu        sync.Mutex
	begun     clock.Micros // the try under way began; 0: none is
	refusal   error        // why the last try failed; nil: it did not
	slowUntil clock.Micros
	told      DiskCondition
	refusals  int64
}

func (h *diskHealth) begin(now clock.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begun = now
}

// end tells how a try went.
func (h *diskHealth) end(now clock.Micros, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now-h.begun > slowWrite {
		h.slowUntil = now + slowFor
	}
	h.begun, h.refusal = 0, err
	if err != nil {
		h.refusals++
	}
}

func (h *diskHealth) condition(now clock.Micros) DiskCondition {
	switch {
	case h.refusal != nil && storage.Full(h.refusal):
		return DiskFull
	case h.refusal != nil:
		return DiskFailing
	case h.begun > 0 && now-h.begun > stalledWrite:
		return DiskStalled
	case now < h.slowUntil:
		return DiskSlow
	}
	return DiskWell
}

// look tells the condition, why it is so, and whether it changed since the last look.
func (h *diskHealth) look(now clock.Micros) (condition DiskCondition, reason string, changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	condition = h.condition(now)
	changed = condition != h.told
	h.told = condition
	return condition, h.reason(condition), changed
}

// state tells the condition and why it is so.
func (h *diskHealth) state(now clock.Micros) (DiskCondition, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	condition := h.condition(now)
	return condition, h.reason(condition)
}

func (h *diskHealth) reason(condition DiskCondition) string {
	switch condition {
	case DiskSlow:
		return "the disk is slow: writes take over 250 ms"
	case DiskStalled:
		return "the disk is stalled: a write has not come back for over 1.5 s"
	case DiskFull:
		return "the disk is full: make room, and what waits is written"
	case DiskFailing:
		return fmt.Sprintf("the disk turns writes down: %v", h.refusal)
	}
	return ""
}

// wait is how long the try under way has lasted; refused counts tries that failed.
func (h *diskHealth) wait(now clock.Micros) (wait clock.Micros, refused int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.begun > 0 {
		wait = now - h.begun
	}
	return wait, h.refusals
}
