package batchstore

import "tuliprudder/internal/clock"

// schedule has the times from which on the periodic tasks are due again.
type schedule struct {
	heartbeat clock.Micros
	resume    clock.Micros
	retention clock.Micros
}

const (
	// resumeInterval is the interval at which items without a result are repeated and
	// finished batches archived.
	resumeInterval = 2 * clock.Second
	// retentionInterval is the interval at which what has passed its retention is dropped.
	retentionInterval = 10 * clock.Second
)

// Tick lets the store do what is due.
type Tick struct{}

// Apply does what is due.
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
