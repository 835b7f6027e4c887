package modelcheck

import (
	"encoding/json"
	"slices"

	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/machine"
)

// voteUnit is the unit of a core's vote record on its disk (part of the stored format).
const voteUnit = "oath"

// recordVotes adds the votes among the records of a synced write to the history.
func (w *World) recordVotes(p *process, records []machine.Record) {
	for _, record := range records {
		var vote election.Vote
		if record.Unit != voteUnit || json.Unmarshal(record.Body, &vote) != nil || vote.Pending.IsZero() {
			continue
		}
		if vote.Committed.Epoch >= vote.Term {
			continue // records a commit made by others, not a vote
		}
		recorded := grant{vote.Term, p.id(), vote.Pending.Primary.ID}
		for _, other := range w.history.grants {
			sameVoter := other.term == recorded.term && other.voter == recorded.voter
			if sameVoter && other.candidate != recorded.candidate {
				w.addViolation(OneVote, "%s voted for %s and for %s in term %d", recorded.voter, other.candidate, recorded.candidate, recorded.term)
			}
		}
		if !slices.Contains(w.history.grants, recorded) {
			w.history.grants = append(w.history.grants, recorded)
		}
	}
}

// checkElection checks that a leader's term was granted by majorities of both the previous voters
// and the voters that the term introduces.
func (w *World) checkElection(p *process) {
	vote := p.machine(w.config).Vote()
	if vote.Term != p.epoch || vote.Committed.Epoch >= p.epoch {
		return // no longer the leader, or its term is committed
	}
	for _, voters := range [][]election.CoreRef{vote.Voters, vote.PendingVoters} {
		granted := 0
		for _, voter := range voters {
			if slices.Contains(w.history.grants, grant{p.epoch, voter.ID, p.id()}) {
				granted++
			}
		}
		if 2*granted <= len(voters) && len(voters) > 0 {
			w.addViolation(Majority, "%s leads in epoch %d with %d of %d votes", p.name, p.epoch, granted, len(voters))
		}
	}
}

// checkSender checks that no message is sent under an identity whose disk was wiped.
func (w *World) checkSender(m message) {
	from := ""
	switch body := m.body.(type) {
	case election.VoteResponse:
		from = body.From
	case election.CommitAck:
		from = body.From
	}
	if from != "" && slices.Contains(w.history.wiped, from) {
		w.addViolation(OldIdentity, "%s answers a %s as %s, whose disk was wiped", m.from, m.kind(), from)
	}
}

// recordVoters records the fleet's ID and the voters added after the bootstrap.
func (w *World) recordVoters(leader *process) {
	vote := leader.machine(w.config).Vote()
	if w.history.fleet != "" && vote.Fleet != w.history.fleet {
		w.addViolation(OneFleet, "%s leads fleet %s; fleet %s was bootstrapped", leader.name, vote.Fleet, w.history.fleet)
	}
	w.history.fleet = vote.Fleet
	for _, voter := range vote.Voters {
		first := slices.ContainsFunc(w.processes[:w.config.Voters], func(p *process) bool { return initialID(p.name) == voter.ID })
		if !first && !slices.Contains(w.history.newVoters, voter.ID) {
			w.history.newVoters = append(w.history.newVoters, voter.ID)
		}
	}
}

// clearReplacedLosses clears the list of lost identities once the fleet depends on none of them:
// neither the leader's last committed group nor its voters include one.
func (w *World) clearReplacedLosses(leader *process) {
	if len(w.history.lost) == 0 {
		return
	}
	for _, id := range w.countedIdentities(leader) {
		if slices.Contains(w.history.lost, id) {
			return
		}
	}
	w.history.lost = nil
}

// countedIdentities returns the identities in a leader's last committed group and among its
// voters.
func (w *World) countedIdentities(leader *process) []string {
	vote := leader.machine(w.config).Vote()
	ids := vote.Committed.IDs()
	for _, voter := range vote.Voters {
		ids = append(ids, voter.ID)
	}
	return ids
}
