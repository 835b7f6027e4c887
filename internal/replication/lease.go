package replication

import (
	"math"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// grantedLease is the lease that this member granted to a primary. This member must not serve as a
// successor before the lease has expired.
type grantedLease struct {
	until clock.Micros // on this member's clock
	epoch uint64
	// unknownAfterRestart is set after a restart: leases granted before it are not known.
	unknownAfterRestart bool
}

// LeaseUntil returns when the lease of a serving primary expires on its own clock: the earliest
// expiry among the leases granted by its replicas. It is 0 in other roles, and the maximum value for
// a primary without replicas, whose lease never expires.
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

// grantedLeaseEnd returns until when a former primary may hold a lease that this member granted, in
// this incarnation or the previous one. A primary has granted none.
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

// VoidGrantedLease ends the lease that this replica granted. The caller knows that the incarnation
// holding it has ended.
func (gs *Groups) VoidGrantedLease(unit string) {
	granted := &gs.Group(unit).asReplica.granted
	granted.until = 0
	granted.unknownAfterRestart = false
}

// renewLeases requests leases again from every replica for which the renewal of at least one lease
// is due. One request covers all units that the replica replicates.
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

// requestLeases requests leases on the given groups' units from a replica.
func (gs *Groups) requestLeases(peer string, groups []*Group, now clock.Micros) {
	request := LeaseRequest{Stamp: now}
	for _, g := range groups {
		g.asPrimary.leaseRequestedAt = now
		request.Units = append(request.Units, UnitEpoch{g.Unit, g.Epoch})
	}
	gs.effects.Emit(machine.Send{To: peer, Body: request})
}

// handleLeaseRequest grants the requested leases on the units that this member replicates for the
// requesting primary.
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

// handleLeaseGrant extends the leases that a replica granted. They run from the time of the request
// on this daemon's clock, so that the clocks need not be synchronized.
func (gs *Groups) handleLeaseGrant(from string, m LeaseGrant) {
	for _, granted := range m.Units {
		g := gs.Group(granted.Unit)
		replica := g.replicaAt(from)
		if g.Epoch == granted.Epoch && g.Role == Serving && replica != nil {
			replica.leaseUntil = max(replica.leaseUntil, m.Stamp+LeaseDuration)
		}
	}
}

// releaseLeases releases the leases of a serving primary to its replicas, so that a planned
// successor need not wait for their expiry.
func (gs *Groups) releaseLeases(g *Group) {
	if g.Role != Serving {
		return
	}
	for _, replica := range g.asPrimary.replicas {
		gs.effects.Emit(machine.Send{To: replica.peer, Body: LeaseRelease{Unit: g.Unit, Epoch: g.Epoch}})
	}
}

// handleLeaseRelease ends the lease that this member granted. If this member is a successor waiting
// for its expiry, it stops waiting.
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
