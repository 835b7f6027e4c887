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

// sendHeartbeats tells the other cores that this one lives: those at the seeds, the voters,
// and all that were heard.
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

// Greet sends a heartbeat to cores that the membership has found; their own heartbeats then
// make them known here.
func (e *Election) Greet(peers []string, now clock.Micros) {
	for _, peer := range peers {
		if peer != e.contacts.self.Peer {
			e.effects.Emit(machine.Send{To: peer, Body: e.heartbeat(now)})
		}
	}
}

func (e *Election) handleHeartbeat(h Heartbeat, now clock.Micros) {
	if h.Core.ID == e.contacts.self.ID {
		e.handleOwnIdentity(h)
		return
	}
	if e.isOfForeignFleet(h) {
		e.handleForeignFleet(h)
		return
	}
	e.contacts.record(h, now)
	if !h.Vote.Committed.IsZero() {
		e.clusterExists = true
	}
	e.learnCommitted(h.Vote, now)
}

// isOfForeignFleet tells whether a core has committed a term of another fleet than this one has.
func (e *Election) isOfForeignFleet(h Heartbeat) bool {
	differ := e.vote.Fleet != "" && h.Fleet != "" && h.Fleet != e.vote.Fleet
	return differ && !e.vote.Committed.IsZero() && !h.Vote.Committed.IsZero()
}

// handleOwnIdentity ends a daemon whose data folder is a copy of another's: two voters with
// one identity would count as one and decide as two.
func (e *Election) handleOwnIdentity(h Heartbeat) {
	if h.Core.Peer == e.contacts.self.Peer || h.Incarnation > e.contacts.incarnation {
		return
	}
	e.effects.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "start with an empty data folder; the cores give it a vote",
		"a core of the same identity runs at %s: this data folder is a copy", h.Core.Peer)})
}

// handleForeignFleet ignores a core of another fleet. A core that hears no other has
// wrong seeds, and ends.
func (e *Election) handleForeignFleet(h Heartbeat) {
	if len(e.contacts.byID) == 0 && !e.group().IsPrimary() {
		e.effects.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "correct -seeds, or start with an empty data folder to be given a vote here",
			"this core is of fleet %s; at its seeds is fleet %s", e.vote.Fleet, h.Fleet)})
		return
	}
	e.effects.Emit(machine.LogEvent{Event: ForeignCoreIgnored{Peer: h.Core.Peer, Fleet: h.Fleet}})
}

// learnCommitted takes over what another voter knows to be committed.
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

// adoptCommitted takes over a committed term. It also ends a lower term that was granted here.
func (e *Election) adoptCommitted(other Vote) {
	e.unhealthySince = 0
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

// releaseStaleRole gives up a role that a higher term ended.
func (e *Election) releaseStaleRole(now clock.Micros) {
	if group := e.group(); e.vote.Committed.Epoch > group.Epoch {
		e.groups.StepDown(GroupUnit, group.Epoch, now)
	}
}
