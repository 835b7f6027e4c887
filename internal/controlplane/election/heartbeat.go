package election

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

func (e *Election) heartbeat(now clock.Micros) Heartbeat {
	return Heartbeat{
		Core:        e.contacts.self,
		Incarnation: e.contacts.incarnation,
		Fleet:       e.vote.Fleet,
		Vote:        e.vote,
		Role:        e.group().Role.String(),
		HoldsLease:  e.HoldsLease(now),
		Draining:    e.contacts.draining,
		Bootstrap:   e.settings.Bootstrap,
		HeardCores:  e.contacts.heardCores(now),
	}
}

// sendHeartbeats sends a heartbeat to the cores at the seeds, to the voters, and to every core that
// has sent one.
func (e *Election) sendHeartbeats(now clock.Micros) {
	heartbeat := e.heartbeat(now)
	e.announcedLease = heartbeat.HoldsLease
	notified := map[string]bool{e.contacts.self.Peer: true}
	notify := func(peer string) {
		if peer != "" && !notified[peer] {
			notified[peer] = true
			e.effects.Emit(machine.Send{To: peer, Body: heartbeat})
		}
	}
	for _, seed := range e.seeds {
		notify(seed)
	}
	for _, voters := range [][]CoreRef{e.vote.Voters, e.vote.PendingVoters, e.vote.OldVoters} {
		for _, ref := range voters {
			notify(ref.Peer)
		}
	}
	for _, id := range e.contacts.ids() {
		notify(e.contacts.byID[id].heartbeat.Core.Peer)
	}
}

// SendHeartbeatTo sends a heartbeat to cores that the membership has discovered. Their own
// heartbeats then make them known to the election.
func (e *Election) SendHeartbeatTo(peers []string, now clock.Micros) {
	for _, peer := range peers {
		if peer != e.contacts.self.Peer {
			e.effects.Emit(machine.Send{To: peer, Body: e.heartbeat(now)})
		}
	}
}

func (e *Election) handleHeartbeat(h Heartbeat, now clock.Micros) {
	if h.Core.ID == e.contacts.self.ID {
		e.handleDuplicateIdentity(h)
		return
	}
	if e.isFromForeignFleet(h) {
		e.handleForeignFleet(h)
		return
	}
	e.contacts.record(h, now)
	if !h.Vote.Committed.IsZero() {
		e.clusterExists = true
	}
	e.learnCommitted(h.Vote, now)
}

// isFromForeignFleet reports whether a heartbeat comes from a core that has committed a term of
// another fleet than this core has.
func (e *Election) isFromForeignFleet(h Heartbeat) bool {
	differ := e.vote.Fleet != "" && h.Fleet != "" && h.Fleet != e.vote.Fleet
	return differ && !e.vote.Committed.IsZero() && !h.Vote.Committed.IsZero()
}

// handleDuplicateIdentity stops this daemon if its data folder is a copy of another daemon's: two
// voters with the same identity count as one voter, but could grant the same term to two candidates.
func (e *Election) handleDuplicateIdentity(h Heartbeat) {
	if h.Core.Peer == e.contacts.self.Peer || h.Incarnation > e.contacts.incarnation {
		return
	}
	e.effects.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "start with an empty data folder; the other cores then make it a voter",
		"another core with the same identity runs at %s: this data folder is a copy", h.Core.Peer)})
}

// handleForeignFleet ignores a core of another fleet. If this core has heard no core of its own
// fleet and is no primary, its seeds are wrong and the daemon stops.
func (e *Election) handleForeignFleet(h Heartbeat) {
	if len(e.contacts.byID) == 0 && !e.group().IsPrimary() {
		e.effects.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "correct -seeds, or start with an empty data folder to join the fleet at the seeds",
			"this core belongs to fleet %s, but the cores at its seeds belong to fleet %s", e.vote.Fleet, h.Fleet)})
		return
	}
	e.effects.Emit(machine.LogEvent{Event: ForeignCoreIgnored{Peer: h.Core.Peer, Fleet: h.Fleet}})
}

// learnCommitted adopts the committed term of another voter if it is newer than this core's, or
// records that this core's is committed by all.
func (e *Election) learnCommitted(other Vote, now clock.Micros) {
	if e.vote.Fleet == "" || other.Fleet != e.vote.Fleet {
		return
	}
	committed := e.vote.Committed.Epoch
	isCertain := other.CommittedByAll || other.Committed.Epoch >= e.vote.Term
	switch {
	case other.Committed.Epoch == committed && other.CommittedByAll && !e.vote.CommittedByAll:
		e.vote.CommittedByAll = true
	case other.Committed.Epoch > committed && isCertain:
		e.adoptCommitted(other)
	default:
		return
	}
	e.persistVote(nil)
	e.releaseStaleRole(now)
}

// adoptCommitted adopts a committed term. It also replaces a lower term that was granted here.
func (e *Election) adoptCommitted(other Vote) {
	e.wantsTermSince = 0
	e.vote.Committed = other.Committed
	e.vote.Voters = other.Voters
	e.vote.OldVoters = other.OldVoters
	e.vote.CommittedByAll = other.CommittedByAll
	if other.Committed.Epoch >= e.vote.Term {
		e.vote.Term = other.Committed.Epoch
		e.vote.Pending = other.Committed
		e.vote.PendingVoters = other.Voters
	}
}

// releaseStaleRole releases this core's role in a group that a higher committed term has ended.
func (e *Election) releaseStaleRole(now clock.Micros) {
	if group := e.group(); e.vote.Committed.Epoch > group.Epoch {
		e.groups.StepDown(GroupUnit, group.Epoch, now)
	}
}
