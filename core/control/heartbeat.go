package control

import (
	"slices"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// This file is how the cores know each other: heartbeats that carry their votes.

type heardCore struct {
	heartbeat Heartbeat
	at        clock.Micros
	first     clock.Micros // since when this life is heard
}

func (s *Core) heartbeat(now clock.Micros) Heartbeat {
	return Heartbeat{Core: s.self, Life: s.life, Fleet: s.vote.Fleet, Vote: s.vote, Role: s.group().Role.String(), Leading: s.Leading(now), Leaving: s.leaving, Bootstrap: s.set.Bootstrap, Hears: s.hears(now)}
}

// hears lists the cores that are heard: a link may carry messages in one direction only.
func (s *Core) hears(now clock.Micros) []string {
	var out []string
	for _, id := range sortedIDs(s.cores) {
		if _, ok := s.lifeOf(id, now); ok {
			out = append(out, id)
		}
	}
	return out
}

// reachesCore tells whether a core is heard and hears this one.
func (s *Core) reachesCore(id string, now clock.Micros) bool {
	_, heard := s.lifeOf(id, now)
	return heard && (id == s.self.ID || slices.Contains(s.cores[id].heartbeat.Hears, s.self.ID))
}

// beat tells the other cores that this one lives.
func (s *Core) beat(now clock.Micros) {
	heartbeat := s.heartbeat(now)
	s.toldLeading = heartbeat.Leading
	told := map[string]bool{s.self.Peer: true}
	tell := func(peer string) {
		if peer != "" && !told[peer] {
			told[peer] = true
			s.Emit(machine.Send{To: peer, Body: heartbeat})
		}
	}
	for _, seed := range s.seeds {
		tell(seed)
	}
	for _, voters := range [][]CoreRef{s.vote.Voters, s.vote.PendingVoters, s.vote.OldVoters} {
		for _, ref := range voters {
			tell(ref.Peer)
		}
	}
	for _, id := range sortedIDs(s.cores) {
		tell(s.cores[id].heartbeat.Core.Peer)
	}
}

// Cores tells the core of others that the membership has heard of.
type Cores struct{ Peers []string }

// Apply sends them a heartbeat; their own makes them known.
func (c Cores) Apply(s *Core, now clock.Micros) {
	for _, peer := range c.Peers {
		if peer != s.self.Peer {
			s.Emit(machine.Send{To: peer, Body: s.heartbeat(now)})
		}
	}
}

// heard takes a heartbeat.
func (s *Core) heard(h Heartbeat, now clock.Micros) {
	if h.Core.ID == s.self.ID {
		s.heardOneself(h)
		return
	}
	if s.vote.Fleet != "" && h.Fleet != "" && h.Fleet != s.vote.Fleet && !s.vote.Committed.Zero() && !h.Vote.Committed.Zero() {
		s.heardStranger(h)
		return
	}
	// An empty machine at an old address is a new identity: the old one is gone.
	for id, other := range s.cores {
		if id != h.Core.ID && other.heartbeat.Core.Peer == h.Core.Peer && other.at < now {
			delete(s.cores, id)
		}
	}
	first := now
	if known, ok := s.cores[h.Core.ID]; ok && known.heartbeat.Life == h.Life && now-known.at <= s.set.CoreSilent {
		first = known.first
	}
	s.cores[h.Core.ID] = heardCore{heartbeat: h, at: now, first: first}
	if !h.Vote.Committed.Zero() {
		s.foundedElsewhere = true
	}
	s.learn(h.Vote, now)
}

// heardOneself ends a daemon whose data folder is a copy of another's.
func (s *Core) heardOneself(h Heartbeat) {
	if h.Core.Peer == s.self.Peer || h.Life > s.life {
		return
	}
	s.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "start with an empty data folder; the cores give it a vote", "a core of the same identity lives at %s: this data folder is a copy", h.Core.Peer)})
}

// heardStranger passes a core of another fleet over; one that hears nobody else has
// wrong seeds.
func (s *Core) heardStranger(h Heartbeat) {
	if len(s.cores) == 0 && !s.group().Leads() {
		s.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "correct -seeds, or start with an empty data folder to be given a vote here", "this core is of fleet %s; at its seeds is fleet %s", s.vote.Fleet, h.Fleet)})
		return
	}
	s.Emit(machine.Explain{What: "a core of another fleet was heard; it is passed over", Fields: map[string]any{"peer": h.Core.Peer, "fleet": h.Fleet}})
}

// learn takes over what another voter knows to be committed.
func (s *Core) learn(other Vote, now clock.Micros) {
	if s.vote.Fleet == "" || other.Fleet != s.vote.Fleet {
		return
	}
	switch {
	case other.Committed.Epoch == s.vote.Committed.Epoch && other.Settled && !s.vote.Settled:
		s.vote.Settled = true
	case other.Committed.Epoch > s.vote.Committed.Epoch && (other.Settled || other.Committed.Epoch >= s.vote.Term):
		s.adopt(other)
	default:
		return
	}
	s.keepVote(nil)
	s.align(now)
}

// adopt takes over what is committed.
func (s *Core) adopt(other Vote) {
	s.unwell = 0
	s.vote.Committed, s.vote.Voters, s.vote.OldVoters, s.vote.Settled = other.Committed, other.Voters, other.OldVoters, other.Settled
	if other.Committed.Epoch >= s.vote.Term {
		s.vote.Term, s.vote.Pending, s.vote.PendingVoters = other.Committed.Epoch, other.Committed, other.Voters
	}
}

// align gives up a role that a higher term ended.
func (s *Core) align(now clock.Micros) {
	if group := s.group(); s.vote.Committed.Epoch > group.Epoch {
		s.groups.Release(unitCore, group.Epoch, now)
	}
}

// lifeOf is the life that a core is living now; false when it is silent.
func (s *Core) lifeOf(id string, now clock.Micros) (uint64, bool) {
	if id == s.self.ID {
		return s.life, true
	}
	heard, ok := s.cores[id]
	if !ok || now-heard.at > s.set.CoreSilent {
		return 0, false
	}
	return heard.heartbeat.Life, true
}

// leavingCore tells whether a core said that it is about to go.
func (s *Core) leavingCore(id string) bool {
	if id == s.self.ID {
		return s.leaving
	}
	return s.cores[id].heartbeat.Leaving
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

// memberOf is a core in the life it is living.
func (s *Core) memberOf(id string, now clock.Micros) (replication.Member, bool) {
	life, ok := s.lifeOf(id, now)
	return replication.Member{ID: id, Life: life}, ok
}
