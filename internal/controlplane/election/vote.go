package election

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Vote is the state that a core keeps as a voter. It is persisted before any message that depends on
// it is sent, so that a restart never revokes a grant or commit that others rely on. The JSON keys
// are stored on disk and must never change.
type Vote struct {
	Fleet string `json:"fleet"`
	// Term is the highest epoch that this voter has granted, Pending the assignment that it granted
	// it for, and PendingVoters the voters under that assignment.
	Term          uint64                 `json:"granted"`
	Pending       replication.Assignment `json:"grant"`
	PendingVoters []CoreRef              `json:"cores"`
	// Committed is the newest assignment that this voter knows to be complete, and Voters the voters
	// under it.
	Committed replication.Assignment `json:"done"`
	Voters    []CoreRef              `json:"sworn"`
	// OldVoters are the voters before a change of voters. Until CommittedByAll says that majorities
	// of both sets have committed the change, majorities of both must agree to every later term.
	OldVoters      []CoreRef `json:"old_voters,omitempty"`
	CommittedByAll bool      `json:"settled,omitempty"`
}

// quorumsFor returns the sets of voters that must agree to a term that builds on the committed one
// and has the next voters.
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

// needsOldVoters reports whether the voters before the committed term must still agree, because it is
// not known that majorities of both sets have committed it.
func (v Vote) needsOldVoters() bool { return !v.CommittedByAll && len(v.OldVoters) > 0 }

// previousVoters returns the voters that must agree in addition to the next ones until a term with
// the next voters is committed by all; nil if there are none.
func (v Vote) previousVoters(next []CoreRef) []CoreRef {
	switch {
	case v.needsOldVoters():
		return v.OldVoters
	case !sameVoters(v.Voters, next):
		return v.Voters
	}
	return nil
}

// isParticipant reports whether a core is a voter of the committed term, or was one before its change
// of voters.
func (v Vote) isParticipant(id string) bool {
	return isVoter(v.Voters, id) || isVoter(v.OldVoters, id)
}

// VoteRecord returns the record that stores the vote on disk.
func (e *Election) VoteRecord() machine.Record {
	body, _ := json.Marshal(e.vote)
	return machine.Record{Unit: unitVote, Kind: kindVote, Epoch: e.vote.Term, Body: body}
}

// RestoreVote loads the vote from a record. It returns false if the record does not store a vote. A
// damaged vote is an error: a core that lost its vote could grant a term twice.
func (e *Election) RestoreVote(record machine.Record) (bool, error) {
	if record.Unit != unitVote {
		return false, nil
	}
	if err := json.Unmarshal(record.Body, &e.vote); err != nil {
		return true, errs.New(errs.Corrupt, "move the whole data folder away and start with an empty one; the other cores then make it a voter",
			"the stored vote of this core can't be decoded: %v", err)
	}
	return true, nil
}

// persistVote writes the vote to disk and calls done once it is there.
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

// grantVote grants a term and persists the vote; done is called once it is on disk.
func (e *Election) grantVote(request VoteRequest, now clock.Micros, done func(now clock.Micros)) {
	e.vote.Fleet = request.Fleet
	e.vote.Term = request.Assignment.Epoch
	e.vote.Pending = request.Assignment
	e.vote.PendingVoters = request.Voters
	e.termGrantedAt = now
	e.wantsTermSince = 0
	e.persistVote(done)
}

// voteRefusalReason returns why this voter refuses a term, or "" if it grants it. It refuses stale
// terms: those that are not above the highest granted one.
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
		return "" // this core is empty; the cores that hold the control state make it a voter
	}
	return e.successorRefusalReason(request, now)
}

// hasGranted reports whether the requested term is the one that this voter granted last.
func (e *Election) hasGranted(request VoteRequest) bool {
	isSameTerm := request.Assignment.Epoch == e.vote.Term && request.Assignment.Equal(e.vote.Pending)
	return isSameTerm && request.Fleet == e.vote.Fleet
}

// successorRefusalReason returns why a voter that has committed a term refuses a higher one, or "" if
// it grants it. While the primary holds its lease, only the primary itself is granted a term.
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
