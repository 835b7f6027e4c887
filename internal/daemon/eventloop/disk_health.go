package eventloop

import (
	"fmt"
	"sync"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/storage"
)

// DiskCondition is how well a daemon's disk takes writes.
type DiskCondition int

// The conditions. While a disk is healthy or slow the daemon has all its duties. The numbers
// are those of the metric disk_condition and never change.
const (
	DiskHealthy DiskCondition = iota
	DiskSlow
	DiskStalled // a write does not return
	DiskFull    // a write fails for want of space
	DiskFailing // a write fails for another reason
)

var diskConditionNames = map[DiskCondition]string{
	DiskHealthy: "healthy",
	DiskSlow:    "slow",
	DiskStalled: "stalled",
	DiskFull:    "full",
	DiskFailing: "failing",
}

// String names the condition.
func (c DiskCondition) String() string { return diskConditionNames[c] }

// IsWritable tells whether the disk takes writes.
func (c DiskCondition) IsWritable() bool { return c == DiskHealthy || c == DiskSlow }

const (
	slowWriteThreshold    = 250 * clock.Millisecond  // an attempt that takes longer makes a disk slow
	slowRecoveryPeriod    = 5 * clock.Second         // this long after the last slow attempt it is healthy again
	stalledWriteThreshold = 1500 * clock.Millisecond // an attempt in progress for longer makes it stalled
)

// diskHealth derives the condition of the disk from how its writes go. The disk writer
// reports each attempt; the goroutine of the ticks, and those who read metrics, look.
type diskHealth struct {
	mu               sync.Mutex   // guards all that follows
	attemptStartedAt clock.Micros // when the attempt in progress began; 0: none is
	lastErr          error        // of the last attempt; nil: it succeeded
	slowUntil        clock.Micros
	reported         DiskCondition // what checkChange gave last
	failedAttempts   int64
}

// diskStatus is a disk's condition and, unless it is healthy, the reason for operators.
type diskStatus struct {
	condition DiskCondition
	reason    string
}

func (h *diskHealth) beginAttempt(now clock.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attemptStartedAt = now
}

// endAttempt records the result of the attempt in progress.
func (h *diskHealth) endAttempt(now clock.Micros, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now-h.attemptStartedAt > slowWriteThreshold {
		h.slowUntil = now + slowRecoveryPeriod
	}
	h.attemptStartedAt, h.lastErr = 0, err
	if err != nil {
		h.failedAttempts++
	}
}

func (h *diskHealth) conditionAt(now clock.Micros) DiskCondition {
	switch {
	case h.lastErr != nil && storage.IsDiskFull(h.lastErr):
		return DiskFull
	case h.lastErr != nil:
		return DiskFailing
	case h.attemptStartedAt > 0 && now-h.attemptStartedAt > stalledWriteThreshold:
		return DiskStalled
	case now < h.slowUntil:
		return DiskSlow
	}
	return DiskHealthy
}

// checkChange gives the status, and whether its condition changed since the last call.
func (h *diskHealth) checkChange(now clock.Micros) (status diskStatus, changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	status = h.statusAt(now)
	changed = status.condition != h.reported
	h.reported = status.condition
	return status, changed
}

// current gives the status.
func (h *diskHealth) current(now clock.Micros) diskStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.statusAt(now)
}

func (h *diskHealth) statusAt(now clock.Micros) diskStatus {
	condition := h.conditionAt(now)
	return diskStatus{condition: condition, reason: h.reason(condition)}
}

func (h *diskHealth) reason(condition DiskCondition) string {
	switch condition {
	case DiskSlow:
		return fmt.Sprintf("the disk is slow: writes take over %d ms", slowWriteThreshold/clock.Millisecond)
	case DiskStalled:
		return fmt.Sprintf("the disk is stalled: a write has not returned for over %.1f s", float64(stalledWriteThreshold)/float64(clock.Second))
	case DiskFull:
		return "the disk is full: free space, and the pending writes are written"
	case DiskFailing:
		return fmt.Sprintf("the disk fails writes: %v", h.lastErr)
	}
	return ""
}

// stats gives how long the attempt in progress has lasted so far, 0 where none is, and how
// many attempts failed.
func (h *diskHealth) stats(now clock.Micros) (inProgress clock.Micros, failed int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.attemptStartedAt > 0 {
		inProgress = now - h.attemptStartedAt
	}
	return inProgress, h.failedAttempts
}
