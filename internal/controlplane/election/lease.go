package election

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// The lease belongs to the replication group (replication.Group, LeaseUntil): every replica grants
// it for a duration that begins when the primary sent the request. This file has the checks of the
// lease for the election and, through it, for the whole control plane.

// IsServing reports whether this core is the primary of a committed term. Another core may have
// succeeded it without its knowledge; HoldsLease rules that out.
func (e *Election) IsServing() bool { return e.group().Role == replication.Serving }

// HoldsLease reports whether this core is the primary and holds its lease. Only then does it
// confirm, read configurations, decide and assign. No other core can do so at the same time,
// because every successor is a replica and waits until the lease that it granted has expired.
func (e *Election) HoldsLease(now clock.Micros) bool {
	return e.IsServing() && (e.group().LeaseUntil() > now || e.faults.SkipLease)
}

// primaryReportsLease reports whether a heartbeat of the committed primary, not older than maxAge and
// from the assigned incarnation, says that it holds its lease and is not about to stop.
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
