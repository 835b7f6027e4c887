package control

import (
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// This file is how a term becomes complete: once every member of the group holds the
// state, majorities of all electorates write it down, and only then the primary serves.

// commitRound is a term whose completion is being written down.
type commitRound struct {
	message     Commit
	electorates [][]CoreRef
	yes         map[string]bool
}

// Ready has the voters write down that the group is complete; it is said again until
// they have.
func (s *Core) Ready(_ string, epoch uint64, _ clock.Micros) {
	if s.won == nil || s.won.request.Assignment.Epoch != epoch {
		return
	}
	if s.commit == nil || s.commit.message.Assignment.Epoch != epoch {
		request := s.won.request
		s.commit = &commitRound{electorates: s.won.electorates, yes: map[string]bool{},
			message: Commit{Fleet: request.Fleet, Assignment: request.Assignment.Completed(), Voters: request.Voters, OldVoters: s.won.oldVoters}}
	}
	round := s.commit
	for _, ref := range everybody(round.electorates) {
		switch {
		case round.yes[ref.ID]:
		case ref.ID == s.self.ID:
			s.takeCommit(round.message, "")
		default:
			s.Emit(machine.Send{To: ref.Peer, Body: round.message})
		}
	}
}

// takeCommit is the voter's part of writing a complete group down.
func (s *Core) takeCommit(m Commit, from string) {
	epoch := m.Assignment.Epoch
	strange := s.vote.Fleet != "" && m.Fleet != s.vote.Fleet && !s.vote.Committed.Zero()
	if strange || epoch < s.vote.Term || epoch < s.vote.Committed.Epoch {
		return
	}
	if !isVoter(m.Voters, s.self.ID) && !isVoter(m.OldVoters, s.self.ID) {
		return
	}
	s.vote.Fleet, s.unwell = m.Fleet, 0
	s.vote.Settled = m.Settled || s.vote.Settled && epoch == s.vote.Committed.Epoch
	s.vote.Committed, s.vote.Voters, s.vote.OldVoters = m.Assignment, m.Voters, m.OldVoters
	s.vote.Term, s.vote.Pending, s.vote.PendingVoters = epoch, m.Assignment, m.Voters
	s.keepVote(func(now clock.Micros) {
		if from == "" {
			s.committedBy(s.self.ID, epoch, now)
			return
		}
		s.Emit(machine.Send{To: from, Body: CommitAck{Epoch: epoch, From: s.self.ID}})
	})
}

// committedBy counts those that wrote the term down; with the majorities this core
// serves.
func (s *Core) committedBy(id string, epoch uint64, now clock.Micros) {
	round := s.commit
	if round == nil || round.message.Assignment.Epoch != epoch || s.group().Epoch != epoch {
		return
	}
	round.yes[id] = true
	if !agreed(round.electorates, round.yes) || !s.groups.Complete(unitCore, epoch, now) {
		return
	}
	s.serving, s.next.beat = now, now
	s.vote.Settled = true
	s.keepVote(nil)
	s.Emit(machine.Explain{What: "primary", Fields: map[string]any{"term": epoch, "member": s.self.ID, "group": s.vote.Committed.IDs(), "voters": voterIDs(s.vote.Voters)}})
	settled := round.message
	settled.Settled = true
	for _, ref := range everybody(round.electorates) {
		if ref.ID != s.self.ID {
			s.Emit(machine.Send{To: ref.Peer, Body: settled})
		}
	}
	if s.state.Fleet == "" {
		s.propose(change{entry: state.Found{Fleet: s.vote.Fleet, Slots: s.set.Slots}}, now)
	}
	s.publish()
	s.advance(now)
}

// Leading tells whether this core is the primary and holds its lease: only then it
// confirms, reads configurations back and assigns.
func (s *Core) Leading(now clock.Micros) bool {
	return s.group().Role == replication.Serving && (s.group().LeaseUntil() > now || s.SkipLease)
}
