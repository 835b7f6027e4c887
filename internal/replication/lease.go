package replication

import (
	"math"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// grantedLease is the lease that this member granted to a primary. Until it has ended this member
// must not serve as a successor.
type grantedLease struct {
	until clock.Micros // on this member's clock
	epoch uint64
	// unknownAfterRestart: this member restarted, and what it granted before is not known.
	unknownAfterRestart bool
}

// LeaseUntil is when the primary's lease ends, on its own clock: the earliest end of what all of
// its replicas granted. It is 0 for other roles, and never reached for a primary without replicas.
func (g *Group) LeaseUntil() clock.Micros {
	if g.Role != Serving {
		return 0
	}
	until := clock.Micros(math.MaxInt64)
	for _, replica := range g.asPrimary.replicas {
		until = min(until, replica.leaseUntil)
	}
	return until
}

// grantedLeaseEnd is until when a former primary may hold a lease that this member granted, in
// this incarnation or in the one before. A primary has granted none.
func (gs *Groups) grantedLeaseEnd(g *Group) clock.Micros {
	granted := g.asReplica.granted
	switch {
	case g.IsPrimary():
		return 0
	case granted.unknownAfterRestart:
		return max(granted.until, gs.startedAt+LeaseWait)
	}
	return granted.until
}

// VoidGrantedLease ends the lease that this replica granted, for the incarnation that it was
// granted to is over.
func (gs *Groups) VoidGrantedLease(unit string) {
	granted := &gs.Group(unit).asReplica.granted
	granted.until = 0
	granted.unknownAfterRestart = false
}

// renewLeases requests leases again from every replica where one of them is due, for all units
// that it replicates at once.
func (gs *Groups) renewLeases(now clock.Micros) {
	due := map[string]bool{}
	byPeer := map[string][]*Group{}
	var peers []string
	for _, g := range gs.All() {
		if g.Role != Serving {
			continue
		}
		for _, replica := range g.asPrimary.replicas {
			if byPeer[replica.peer] == nil {
				peers = append(peers, replica.peer)
			}
			byPeer[replica.peer] = append(byPeer[replica.peer], g)
			if now-g.asPrimary.leaseRequestedAt >= LeaseRenewInterval {
				due[replica.peer] = true
			}
		}
	}
	for _, peer := range peers {
		if due[peer] {
			gs.requestLeases(peer, byPeer[peer], now)
		}
	}
}

// requestLeases asks a replica for leases on some units.
func (gs *Groups) requestLeases(peer string, groups []*Group, now clock.Micros) {
	request := LeaseRequest{Stamp: now}
	for _, g := range groups {
		g.asPrimary.leaseRequestedAt = now
		request.Units = append(request.Units, UnitEpoch{g.Unit, g.Epoch})
	}
	gs.effects.Emit(machine.Send{To: peer, Body: request})
}

// handleLeaseRequest grants the leases that a primary asks for, on the units that this member
// replicates for it.
func (gs *Groups) handleLeaseRequest(from string, m LeaseRequest, now clock.Micros) {
	grant := LeaseGrant{Stamp: m.Stamp}
	for _, requested := range m.Units {
		if gs.rejectStaleEpoch(from, requested.Unit, requested.Epoch) {
			continue
		}
		g := gs.Group(requested.Unit)
		if requested.Epoch != g.Epoch || g.Role != Replicating || from != g.asReplica.primary {
			continue
		}
		granted := &g.asReplica.granted
		granted.until = max(granted.until, now+LeaseWait)
		granted.epoch = requested.Epoch
		grant.Units = append(grant.Units, requested)
	}
	if len(grant.Units) > 0 {
		gs.effects.Emit(machine.Send{To: from, Body: grant})
	}
}

// handleLeaseGrant extends the leases that a replica granted. They count from the request's time
// on this clock, so that no agreement between clocks is needed.
func (gs *Groups) handleLeaseGrant(from string, m LeaseGrant) {
	for _, granted := range m.Units {
		g := gs.Group(granted.Unit)
		replica := g.replicaAt(from)
		if g.Epoch == granted.Epoch && g.Role == Serving && replica != nil {
			replica.leaseUntil = max(replica.leaseUntil, m.Stamp+LeaseDuration)
		}
	}
}

// releaseLeases gives the leases of a serving primary back to its replicas, so that a planned
// successor need not wait for their end.
func (gs *Groups) releaseLeases(g *Group) {
	if g.Role != Serving {
		return
	}
	for _, replica := range g.asPrimary.replicas {
		gs.effects.Emit(machine.Send{To: replica.peer, Body: LeaseRelease{Unit: g.Unit, Epoch: g.Epoch}})
	}
}

// handleLeaseRelease ends the lease that this member granted; a successor that waited for its end
// waits no longer.
func (gs *Groups) handleLeaseRelease(m LeaseRelease, now clock.Micros) {
	g := gs.Group(m.Unit)
	if m.Epoch < g.asReplica.granted.epoch {
		return // a later primary holds a lease
	}
	g.asReplica.granted.until = 0
	isWaiting := g.Role == SendingSnapshot && g.asPrimary.formerLeaseEnd > now
	if isWaiting && m.Epoch < g.Epoch {
		g.asPrimary.formerLeaseEnd = 0
		gs.sendSnapshot(g, now)
	}
}
