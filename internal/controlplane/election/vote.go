package election

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Vote is what a core keeps as a voter. It is durable before any message that follows
// from it, so that a voter that restarts never takes back what others built on. The keys are
// on disk; they never change.
type Vote struct {
	Fleet string `json:"fleet"`
	// Term is the highest epoch this voter has granted, Pending the assignment it was
	// granted for and PendingVoters the voters under it.
	Term          uint64                 `json:"granted"`
	Pending       replication.Assignment `json:"grant"`
	PendingVoters []CoreRef              `json:"cores"`
	// Committed is the newest assignment that this voter knows to be complete, Voters
	// are the voters under it.
	Committed replication.Assignment `json:"done"`
	Voters    []CoreRef              `json:"sworn"`
	// OldVoters are those before a change of voters. Until CommittedByAll tells that
	// majorities of both have committed it, both have to agree to whatever follows.
	OldVoters      []CoreRef `json:"old_voters,omitempty"`
	CommittedByAll bool      `json:"settled,omitempty"`
}

// quorumsFor are the sets of voters of each of which a majority has to agree to a
// term that builds on what is committed here and has the next voters.
func (v Vote) quorumsFor(next []CoreRef) quorums {
	sets := quorums{v.Voters}
	if v.needsOldVoters() {
		sets = append(sets, v.OldVoters)
	}
	if !sameVoters(v.Voters, next) {
		sets = append(sets, next)
	}
	return sets
}

// needsOldVoters tells whether the voters before the committed term still have to agree: it
// is not known that majorities of both sets committed it.
func (v Vote) needsOldVoters() bool { return !v.CommittedByAll && len(v.OldVoters) > 0 }

// previousVoters are the voters that have to agree besides the next ones until a term with
// the next voters is committed by all; nil when there are none.
func (v Vote) previousVoters(next []CoreRef) []CoreRef {
	switch {
	case v.needsOldVoters():
		return v.OldVoters
	case !sameVoters(v.Voters, next):
		return v.Voters
	}
	return nil
}

// isParticipant tells whether a core is a voter of the committed term, or of the one before it.
func (v Vote) isParticipant(id string) bool {
	return isVoter(v.Voters, id) || isVoter(v.OldVoters, id)
}

// VoteRecord is the vote as it is kept on disk.
func (e *Election) VoteRecord() machine.Record {
	body, _ := json.Marshal(e.vote)
	return machine.Record{Unit: unitVote, Kind: kindVote, Epoch: e.vote.Term, Body: body}
}

// RestoreVote reads the vote back from a record; false when the record is none of a vote.
// A damaged one is an error: a core that forgot its vote could grant a term twice.
func (e *Election) RestoreVote(record machine.Record) (bool, error) {
	if record.Unit != unitVote {
		return false, nil
	}
	if err := json.Unmarshal(record.Body, &e.vote); err != nil {
		return true, errs.New(errs.Corrupt, "move the whole data folder away and start empty: the cores give it a vote",
			"the vote of this core can't be read: %v", err)
	}
	return true, nil
}

// persistVote writes the vote; what may follow from it is done once it is on disk.
func (e *Election) persistVote(done func(now clock.Micros)) {
	e.groups.Persist([]machine.Record{e.VoteRecord()}, done)
}

// handleVoteRequest grants or refuses a term to a candidate.
func (e *Election) handleVoteRequest(from string, request VoteRequest, now clock.Micros) {
	response := VoteResponse{Epoch: request.Assignment.Epoch, From: e.contacts.self.ID}
	response.Reason = e.voteRefusalReason(request, now)
	response.Granted = response.Reason == ""
	if !response.Granted {
		response.Vote = e.vote
		e.effects.Emit(machine.Send{To: from, Body: response})
		return
	}
	e.grantVote(request, now, func(clock.Micros) {
		response.Vote = e.vote
		e.effects.Emit(machine.Send{To: from, Body: response})
	})
}

// grantVote persists that a term is granted; done runs once it is on disk.
func (e *Election) grantVote(request VoteRequest, now clock.Micros, done func(now clock.Micros)) {
	e.vote.Fleet = request.Fleet
	e.vote.Term = request.Assignment.Epoch
	e.vote.Pending = request.Assignment
	e.vote.PendingVoters = request.Voters
	e.termGrantedAt = now
	e.wantsTermSince = 0
	e.persistVote(done)
}

// voteRefusalReason is why a voter does not grant a term; "" when it does. A stale term, one
// that is not above the highest granted, is refused here.
func (e *Election) voteRefusalReason(request VoteRequest, now clock.Micros) string {
	epoch, self := request.Assignment.Epoch, e.contacts.self.ID
	switch {
	case !isVoter(request.Voters, self) && !e.vote.isParticipant(self):
		return "not a voter of this term"
	case e.hasGranted(request):
		return "" // the request was repeated
	case epoch <= e.vote.Term:
		return "a term as high is granted"
	case request.Bootstrap:
		return e.bootstrapRefusalReason(request)
	case e.vote.Committed.IsZero():
		return "" // an empty core: those that hold the control state give it a vote
	}
	return e.successorRefusalReason(request, now)
}

// hasGranted tells whether this very term is the last one that was granted.
func (e *Election) hasGranted(request VoteRequest) bool {
	isSameTerm := request.Assignment.Epoch == e.vote.Term && request.Assignment.Equal(e.vote.Pending)
	return isSameTerm && request.Fleet == e.vote.Fleet
}

// successorRefusalReason is why a voter that has committed a term does not grant a higher one;
// "" when it does. A primary that leads is not disturbed, except by itself.
func (e *Election) successorRefusalReason(request VoteRequest, now clock.Micros) string {
	switch {
	case e.vote.Fleet != request.Fleet:
		return "another fleet"
	case request.Base < e.vote.Committed.Epoch:
		return "a later term is committed"
	case request.Candidate.ID == e.vote.Committed.Primary.ID:
		return ""
	case e.HoldsLease(now) && !e.contacts.draining:
		return "this core is primary and holds its lease"
	case e.primaryReportsLease(now, e.settings.CoreTimeout/2):
		return "the primary is heard here and holds its lease"
	}
	return ""
}
