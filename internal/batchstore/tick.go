package batchstore

import "tuliprudder/internal/clock"

// schedule has the times at which the periodic tasks are next due.
type schedule struct {
	heartbeat clock.Micros
	resume    clock.Micros
	retention clock.Micros
}

const (
	// resumeInterval is the interval at which the tasks of items without a result are emitted
	// again and finished batches are archived.
	resumeInterval = 2 * clock.Second
	// retentionInterval is the interval at which expired batches and claims are purged.
	retentionInterval = 10 * clock.Second
)

// Tick triggers the periodic tasks that are due.
type Tick struct{}

// Apply runs the tasks that are due.
func (Tick) Apply(s *Store, now clock.Micros) {
	s.groups.Tick(now)
	for _, call := range s.pendingCalls.takeOverdue(now) {
		s.replyUnknownOutcome(call, "it did not become durable on every replica in time")
	}
	if now >= s.due.heartbeat {
		s.sendHeartbeats(now)
	}
	s.announce(now)
	if now >= s.due.resume {
		s.due.resume = now + resumeInterval
		s.resumeItems()
		s.archiveFinished()
	}
	if now >= s.due.retention {
		s.due.retention = now + retentionInterval
		s.applyRetention(now)
	}
}
