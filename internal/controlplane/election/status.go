package election

import "tuliprudder/internal/clock"

// Status describes the state of the election to operators.
type Status struct {
	Term              uint64
	CampaignsStarted  int64
	TermsWon          int64
	Voters            int
	UnreachableVoters int
	ReplicasMissing   int // replicas of the control state that the committed group lacks
}

// Status returns the state of the election.
func (e *Election) Status(now clock.Micros) Status {
	return Status{
		Term:              e.vote.Term,
		CampaignsStarted:  e.CampaignsStarted,
		TermsWon:          e.TermsWon,
		Voters:            len(e.vote.Voters),
		UnreachableVoters: e.unreachableVoters(now),
		ReplicasMissing:   max(0, e.replicasFor(len(e.vote.Voters))-len(e.vote.Committed.Members())),
	}
}

// unreachableVoters counts the voters without recent heartbeats.
func (e *Election) unreachableVoters(now clock.Micros) int {
	unreachable := 0
	for _, ref := range e.vote.Voters {
		if _, heard := e.contacts.incarnationOf(ref.ID, now); !heard {
			unreachable++
		}
	}
	return unreachable
}
