package election

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// A term is committed once every member of its group holds the complete state and majorities of all
// quorums have then persisted the commit. Only after that does the primary serve.

// pendingCommit is a term that is being committed.
type pendingCommit struct {
	message   Commit
	quorums   quorums
	committed map[string]bool // voters that have persisted the commit
}

// GroupReady is called when every member of the group holds the complete state. It asks the voters
// to commit the term, and is called again until they have.
func (e *Election) GroupReady(epoch uint64) {
	if e.wonCampaign == nil || e.wonCampaign.request.Assignment.Epoch != epoch {
		return
	}
	if e.pendingCommit == nil || e.pendingCommit.message.Assignment.Epoch != epoch {
		e.pendingCommit = newPendingCommit(e.wonCampaign)
	}
	pending := e.pendingCommit
	for _, ref := range pending.quorums.voters() {
		switch {
		case pending.committed[ref.ID]:
		case ref.ID == e.contacts.self.ID:
			e.handleCommit(pending.message, "")
		default:
			e.effects.Emit(machine.Send{To: ref.Peer, Body: pending.message})
		}
	}
}

func newPendingCommit(won *campaign) *pendingCommit {
	return &pendingCommit{
		quorums:   won.quorums,
		committed: map[string]bool{},
		message: Commit{
			Fleet:      won.request.Fleet,
			Assignment: won.request.Assignment.Completed(),
			Voters:     won.request.Voters,
			OldVoters:  won.previousVoters,
		},
	}
}

// handleCommit persists that the group of a term is complete. from is "" if this core is itself the
// primary of the term.
func (e *Election) handleCommit(m Commit, from string) {
	if !e.mayCommit(m) {
		return
	}
	epoch := m.Assignment.Epoch
	e.wantsTermSince = 0
	e.vote.Fleet = m.Fleet
	e.vote.CommittedByAll = m.CommittedByAll || e.vote.CommittedByAll && epoch == e.vote.Committed.Epoch
	e.vote.Committed = m.Assignment
	e.vote.Voters = m.Voters
	e.vote.OldVoters = m.OldVoters
	e.vote.Term = epoch
	e.vote.Pending = m.Assignment
	e.vote.PendingVoters = m.Voters
	self := e.contacts.self.ID
	e.persistVote(func(now clock.Micros) {
		if from == "" {
			e.handleCommitAck(self, epoch, now)
			return
		}
		e.effects.Emit(machine.Send{To: from, Body: CommitAck{Epoch: epoch, From: self}})
	})
}

// mayCommit reports whether this voter accepts a commit: the term must not be stale, must be of its
// own fleet, and must have this core among its voters or the voters before them. Refusing a term
// below the highest granted one is one of the two rules that keep the committed terms in a single
// sequence (docs/CONTROL.md).
func (e *Election) mayCommit(m Commit) bool {
	epoch := m.Assignment.Epoch
	isForeign := e.vote.Fleet != "" && m.Fleet != e.vote.Fleet && !e.vote.Committed.IsZero()
	isStale := epoch < e.vote.Term || epoch < e.vote.Committed.Epoch
	if isForeign || isStale {
		return false
	}
	self := e.contacts.self.ID
	return isVoter(m.Voters, self) || isVoter(m.OldVoters, self)
}

// handleCommitAck counts the voters that committed the term. Once majorities of all quorums have,
// this core serves.
func (e *Election) handleCommitAck(id string, epoch uint64, now clock.Micros) {
	pending := e.pendingCommit
	if pending == nil || pending.message.Assignment.Epoch != epoch || e.group().Epoch != epoch {
		return
	}
	pending.committed[id] = true
	if !pending.quorums.haveMajorities(pending.committed) || !e.groups.CommitGroup(GroupUnit, epoch, now) {
		return
	}
	e.nextHeartbeatAt = now
	e.vote.CommittedByAll = true
	e.persistVote(nil)
	e.effects.Emit(machine.LogEvent{Event: BecamePrimary{
		Term:   epoch,
		Member: e.contacts.self.ID,
		Group:  e.vote.Committed.IDs(),
		Voters: voterIDs(e.vote.Voters),
	}})
	e.announceCommitted(pending)
	e.startedServing(now)
}

// announceCommitted tells the voters that majorities of all quorums have committed the term. From
// then on the previous voters need not agree any more.
func (e *Election) announceCommitted(pending *pendingCommit) {
	message := pending.message
	message.CommittedByAll = true
	for _, ref := range pending.quorums.voters() {
		if ref.ID != e.contacts.self.ID {
			e.effects.Emit(machine.Send{To: ref.Peer, Body: message})
		}
	}
}
