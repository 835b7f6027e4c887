package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is how a term becomes complete: once every member of the group holds the
// state, majorities of all electorates write it down, and only then the primary serves.

// commitRound is a term whose completion is being written down.
type commitRound struct {
	message   Commit
	quorums   [][]CoreRef
	committed map[string]bool
}

// GroupReady has the voters write down that the group is complete; it is said again until
// they have.
func (s *Core) GroupReady(_ string, epoch uint64, _ clock.Micros) {
	if s.wonCampaign == nil || s.wonCampaign.request.Assignment.Epoch != epoch {
		return
	}
	if s.commitRound == nil || s.commitRound.message.Assignment.Epoch != epoch {
		request := s.wonCampaign.request
		s.commitRound = &commitRound{quorums: s.wonCampaign.quorums, committed: map[string]bool{},
			message: Commit{Fleet: request.Fleet, Assignment: request.Assignment.Completed(), Voters: request.Voters, OldVoters: s.wonCampaign.oldVoters}}
	}
	round := s.commitRound
	for _, ref := range allVoters(round.quorums) {
		switch {
		case round.committed[ref.ID]:
		case ref.ID == s.self.ID:
			s.handleCommit(round.message, "")
		default:
			s.Emit(machine.Send{To: ref.Peer, Body: round.message})
		}
	}
}

// handleCommit is the voter's part of writing a complete group down.
func (s *Core) handleCommit(m Commit, from string) {
	epoch := m.Assignment.Epoch
	strange := s.vote.Fleet != "" && m.Fleet != s.vote.Fleet && !s.vote.Committed.IsZero()
	if strange || epoch < s.vote.Term || epoch < s.vote.Committed.Epoch {
		return
	}
	if !isVoter(m.Voters, s.self.ID) && !isVoter(m.OldVoters, s.self.ID) {
		return
	}
	s.vote.Fleet, s.unhealthySince = m.Fleet, 0
	s.vote.CommittedByAll = m.CommittedByAll || s.vote.CommittedByAll && epoch == s.vote.Committed.Epoch
	s.vote.Committed, s.vote.Voters, s.vote.OldVoters = m.Assignment, m.Voters, m.OldVoters
	s.vote.Term, s.vote.Pending, s.vote.PendingVoters = epoch, m.Assignment, m.Voters
	s.persistVote(func(now clock.Micros) {
		if from == "" {
			s.handleCommitAck(s.self.ID, epoch, now)
			return
		}
		s.Emit(machine.Send{To: from, Body: CommitAck{Epoch: epoch, From: s.self.ID}})
	})
}

// handleCommitAck counts those that wrote the term down; with the majorities this core
// serves.
func (s *Core) handleCommitAck(id string, epoch uint64, now clock.Micros) {
	round := s.commitRound
	if round == nil || round.message.Assignment.Epoch != epoch || s.group().Epoch != epoch {
		return
	}
	round.committed[id] = true
	if !haveMajorities(round.quorums, round.committed) || !s.groups.CommitGroup(unitCore, epoch, now) {
		return
	}
	s.servingSince, s.next.sendHeartbeats = now, now
	s.vote.CommittedByAll = true
	s.persistVote(nil)
	s.Emit(machine.LogEvent{Event: BecamePrimary{
		Term:   epoch,
		Member: s.self.ID,
		Group:  s.vote.Committed.IDs(),
		Voters: voterIDs(s.vote.Voters),
	}})
	message := round.message
	message.CommittedByAll = true
	for _, ref := range allVoters(round.quorums) {
		if ref.ID != s.self.ID {
			s.Emit(machine.Send{To: ref.Peer, Body: message})
		}
	}
	if s.state.Fleet == "" {
		s.propose(change{entry: state.Bootstrap{Fleet: s.vote.Fleet, Shards: s.set.Shards}}, now)
	}
	s.publish()
	s.processQueue(now)
}

// HoldsLease tells whether this core is the primary and holds its lease: only then it
// confirms, reads configurations back and assigns.
func (s *Core) HoldsLease(now clock.Micros) bool {
	return s.group().Role == replication.Serving && (s.group().LeaseUntil() > now || s.SkipLease)
}
