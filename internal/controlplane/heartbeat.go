package controlplane

import (
	"slices"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is how the cores know each other: heartbeats that carry their votes.

type coreContact struct {
	heartbeat    Heartbeat
	heardAt      clock.Micros
	firstHeardAt clock.Micros // since when this life is heard
}

func (s *Core) heartbeat(now clock.Micros) Heartbeat {
	return Heartbeat{Core: s.self, Incarnation: s.incarnation, Fleet: s.vote.Fleet, Vote: s.vote, Role: s.group().Role.String(), HoldsLease: s.HoldsLease(now), Draining: s.draining, Bootstrap: s.set.Bootstrap, HeardCores: s.heardCores(now)}
}

// heardCores lists the cores that are heard: a link may carry messages in one direction only.
func (s *Core) heardCores(now clock.Micros) []string {
	var out []string
	for _, id := range sortedIDs(s.cores) {
		if _, ok := s.incarnationOf(id, now); ok {
			out = append(out, id)
		}
	}
	return out
}

// hasTwoWayContact tells whether a core is heard and hears this one.
func (s *Core) hasTwoWayContact(id string, now clock.Micros) bool {
	_, heard := s.incarnationOf(id, now)
	return heard && (id == s.self.ID || slices.Contains(s.cores[id].heartbeat.HeardCores, s.self.ID))
}

// sendHeartbeats tells the other cores that this one lives.
func (s *Core) sendHeartbeats(now clock.Micros) {
	heartbeat := s.heartbeat(now)
	s.announcedLease = heartbeat.HoldsLease
	notified := map[string]bool{s.self.Peer: true}
	notify := func(peer string) {
		if peer != "" && !notified[peer] {
			notified[peer] = true
			s.Emit(machine.Send{To: peer, Body: heartbeat})
		}
	}
	for _, seed := range s.seeds {
		notify(seed)
	}
	for _, voters := range [][]CoreRef{s.vote.Voters, s.vote.PendingVoters, s.vote.OldVoters} {
		for _, ref := range voters {
			notify(ref.Peer)
		}
	}
	for _, id := range sortedIDs(s.cores) {
		notify(s.cores[id].heartbeat.Core.Peer)
	}
}

// CorePeers tells the core of others that the membership has heard of.
type CorePeers struct{ Peers []string }

// Apply sends them a heartbeat; their own makes them known.
func (c CorePeers) Apply(s *Core, now clock.Micros) {
	for _, peer := range c.Peers {
		if peer != s.self.Peer {
			s.Emit(machine.Send{To: peer, Body: s.heartbeat(now)})
		}
	}
}

// handleHeartbeat takes a heartbeat.
func (s *Core) handleHeartbeat(h Heartbeat, now clock.Micros) {
	if h.Core.ID == s.self.ID {
		s.handleOwnIdentity(h)
		return
	}
	if s.vote.Fleet != "" && h.Fleet != "" && h.Fleet != s.vote.Fleet && !s.vote.Committed.IsZero() && !h.Vote.Committed.IsZero() {
		s.handleForeignFleet(h)
		return
	}
	// An empty machine at an old address is a new identity: the old one is gone.
	for id, other := range s.cores {
		if id != h.Core.ID && other.heartbeat.Core.Peer == h.Core.Peer && other.heardAt < now {
			delete(s.cores, id)
		}
	}
	first := now
	if known, ok := s.cores[h.Core.ID]; ok && known.heartbeat.Incarnation == h.Incarnation && now-known.heardAt <= s.set.CoreTimeout {
		first = known.firstHeardAt
	}
	s.cores[h.Core.ID] = coreContact{heartbeat: h, heardAt: now, firstHeardAt: first}
	if !h.Vote.Committed.IsZero() {
		s.clusterExists = true
	}
	s.learnCommitted(h.Vote, now)
}

// handleOwnIdentity ends a daemon whose data folder is a copy of another's.
func (s *Core) handleOwnIdentity(h Heartbeat) {
	if h.Core.Peer == s.self.Peer || h.Incarnation > s.incarnation {
		return
	}
	s.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "start with an empty data folder; the cores give it a vote", "a core of the same identity lives at %s: this data folder is a copy", h.Core.Peer)})
}

// handleForeignFleet passes a core of another fleet over; one that hears nobody else has
// wrong seeds.
func (s *Core) handleForeignFleet(h Heartbeat) {
	if len(s.cores) == 0 && !s.group().IsPrimary() {
		s.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "correct -seeds, or start with an empty data folder to be given a vote here", "this core is of fleet %s; at its seeds is fleet %s", s.vote.Fleet, h.Fleet)})
		return
	}
	s.Emit(machine.LogEvent{Event: ForeignCoreIgnored{Peer: h.Core.Peer, Fleet: h.Fleet}})
}

// learnCommitted takes over what another voter knows to be committed.
func (s *Core) learnCommitted(other Vote, now clock.Micros) {
	if s.vote.Fleet == "" || other.Fleet != s.vote.Fleet {
		return
	}
	switch {
	case other.Committed.Epoch == s.vote.Committed.Epoch && other.CommittedByAll && !s.vote.CommittedByAll:
		s.vote.CommittedByAll = true
	case other.Committed.Epoch > s.vote.Committed.Epoch && (other.CommittedByAll || other.Committed.Epoch >= s.vote.Term):
		s.adoptCommitted(other)
	default:
		return
	}
	s.persistVote(nil)
	s.releaseStaleRole(now)
}

// adoptCommitted takes over what is committed.
func (s *Core) adoptCommitted(other Vote) {
	s.unhealthySince = 0
	s.vote.Committed, s.vote.Voters, s.vote.OldVoters, s.vote.CommittedByAll = other.Committed, other.Voters, other.OldVoters, other.CommittedByAll
	if other.Committed.Epoch >= s.vote.Term {
		s.vote.Term, s.vote.Pending, s.vote.PendingVoters = other.Committed.Epoch, other.Committed, other.Voters
	}
}

// releaseStaleRole gives up a role that a higher term ended.
func (s *Core) releaseStaleRole(now clock.Micros) {
	if group := s.group(); s.vote.Committed.Epoch > group.Epoch {
		s.groups.Release(unitCore, group.Epoch, now)
	}
}

// incarnationOf is the life that a core is living now; false when it is silent.
func (s *Core) incarnationOf(id string, now clock.Micros) (uint64, bool) {
	if id == s.self.ID {
		return s.incarnation, true
	}
	heard, ok := s.cores[id]
	if !ok || now-heard.heardAt > s.set.CoreTimeout {
		return 0, false
	}
	return heard.heartbeat.Incarnation, true
}

// isDrainingCore tells whether a core said that it is about to go.
func (s *Core) isDrainingCore(id string) bool {
	if id == s.self.ID {
		return s.draining
	}
	return s.cores[id].heartbeat.Draining
}

func (s *Core) zoneOf(id string) string {
	if id == s.self.ID {
		return s.self.Zone
	}
	if heard, ok := s.cores[id]; ok {
		return heard.heartbeat.Core.Zone
	}
	for _, ref := range s.vote.Voters {
		if ref.ID == id {
			return ref.Zone
		}
	}
	return ""
}

// liveMember is a core in the life it is living.
func (s *Core) liveMember(id string, now clock.Micros) (replication.Member, bool) {
	incarnation, ok := s.incarnationOf(id, now)
	return replication.Member{ID: id, Incarnation: incarnation}, ok
}
