package eventloop

import (
	"fmt"
	"sync"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/storage"
)

// DiskCondition classifies how well a daemon's disk accepts writes.
type DiskCondition int

// The conditions. A daemon whose disk is healthy or slow keeps all its duties. The values are
// exported as the metric disk_condition and must not change.
const (
	DiskHealthy DiskCondition = iota
	DiskSlow
	DiskStalled // a write has not returned
	DiskFull    // a write failed for lack of space
	DiskFailing // a write failed for another reason
)

var diskConditionNames = map[DiskCondition]string{
	DiskHealthy: "healthy",
	DiskSlow:    "slow",
	DiskStalled: "stalled",
	DiskFull:    "full",
	DiskFailing: "failing",
}

// String returns the name of the condition.
func (c DiskCondition) String() string { return diskConditionNames[c] }

// IsWritable reports whether the disk accepts writes.
func (c DiskCondition) IsWritable() bool { return c == DiskHealthy || c == DiskSlow }

const (
	slowWriteThreshold    = 250 * clock.Millisecond  // an attempt that takes longer makes the disk slow
	slowRecoveryPeriod    = 5 * clock.Second         // how long the disk counts as slow after the last slow attempt
	stalledWriteThreshold = 1500 * clock.Millisecond // an attempt in progress for longer makes the disk stalled
)

// diskHealth derives the condition of the disk from the results and durations of its writes.
// The disk writer reports each attempt; the tick goroutine and readers of metrics query it.
type diskHealth struct {
	mu               sync.Mutex   // guards all that follows
	attemptStartedAt clock.Micros // start of the attempt in progress; 0 if there is none
	lastErr          error        // error of the last attempt; nil if it succeeded
	slowUntil        clock.Micros
	reported         DiskCondition // the condition that checkChange last returned
	failedAttempts   int64
}

// diskStatus is a disk's condition and, unless it is healthy, the reason as shown to operators.
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

// checkChange returns the status, and whether its condition changed since the last call.
func (h *diskHealth) checkChange(now clock.Micros) (status diskStatus, changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	status = h.statusAt(now)
	changed = status.condition != h.reported
	h.reported = status.condition
	return status, changed
}

// current returns the status.
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
		return "the disk is full: free space, then the pending writes continue"
	case DiskFailing:
		return fmt.Sprintf("disk writes fail: %v", h.lastErr)
	}
	return ""
}

// stats returns how long the attempt in progress has lasted so far (0 if there is none) and
// how many attempts have failed.
func (h *diskHealth) stats(now clock.Micros) (inProgress clock.Micros, failed int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.attemptStartedAt > 0 {
		inProgress = now - h.attemptStartedAt
	}
	return inProgress, h.failedAttempts
}
