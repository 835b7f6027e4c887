package election

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// The lease itself is the replication group's (replication.Group, LeaseUntil): every
// replica grants it for a span from the time it was asked. This file is where the
// election, and through it the whole control plane, checks it.

// IsServing tells whether this core is the primary of a committed term. It may have been
// succeeded without knowing; HoldsLease says that it was not.
func (e *Election) IsServing() bool { return e.group().Role == replication.Serving }

// HoldsLease tells whether this core is the primary and holds its lease: only then it
// confirms, reads configurations back, decides and assigns. No other core can do so at
// the same time, as each successor is a replica and waits until the lease that it granted
// has ended.
func (e *Election) HoldsLease(now clock.Micros) bool {
	return e.IsServing() && (e.group().LeaseUntil() > now || e.faults.SkipLease)
}

// primaryReportsLease tells whether the committed primary said within a while, in the incarnation it
// was assigned in, that it holds its lease, and is not about to stop.
func (e *Election) primaryReportsLease(now, maxAge clock.Micros) bool {
	primary := e.vote.Committed.Primary
	heard, ok := e.contacts.byID[primary.ID]
	if !ok || now-heard.heardAt > maxAge {
		return false
	}
	heartbeat := heard.heartbeat
	isAssigned := heartbeat.Incarnation == primary.Incarnation && heartbeat.Vote.Committed.Epoch == e.vote.Committed.Epoch
	return isAssigned && heartbeat.HoldsLease && !heartbeat.Draining
}
