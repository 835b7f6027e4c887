package election

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// A campaign requests the votes for a term (DESIGN §5.1 to §5.3). A core becomes primary by winning
// one; the primary runs one to change the members of its group or the voters.

const (
	// voteTimeout is how long a campaign waits for votes before it is abandoned.
	voteTimeout = 900 * clock.Millisecond
	// candidateStagger is how much longer each member of the group waits than the member before
	// it, so that two members seldom campaign against each other.
	candidateStagger = 250 * clock.Millisecond
	// termCommitTimeout is the time within which a term that was won should be committed; after
	// that another campaign may start.
	termCommitTimeout = 4 * clock.Second
	// grantTimeout is how long a voter that granted a term does not campaign itself, even if it
	// receives nothing from the candidate.
	grantTimeout = clock.Second
)

// campaign is this core's request to the voters for one term.
type campaign struct {
	request        VoteRequest
	quorums        quorums
	previousVoters []CoreRef       // must agree in addition to the request's voters
	unanimous      bool            // bootstrap: every founder must agree
	granted        map[string]bool // by voter ID
	startedAt      clock.Micros
	won            bool // the required votes were granted
}

// hasRequiredVotes reports whether the votes granted so far are enough to win the term.
func (c *campaign) hasRequiredVotes() bool {
	if !c.unanimous {
		return c.quorums.haveMajorities(c.granted)
	}
	return !slices.ContainsFunc(c.request.Voters, func(ref CoreRef) bool { return !c.granted[ref.ID] })
}

// maybeCampaign starts a campaign if this core has wanted another term for long enough, and
// abandons one whose votes did not arrive in time.
func (e *Election) maybeCampaign(now clock.Micros) {
	if e.campaign != nil {
		if now-e.campaign.startedAt < voteTimeout {
			return
		}
		e.campaign = nil
	}
	if e.vote.Committed.IsZero() {
		e.maybeBootstrap(now)
		return
	}
	proposal, ok := e.proposeTerm(now)
	if !ok {
		e.wantsTermSince = 0
		return
	}
	if e.wantsTermSince == 0 {
		e.wantsTermSince = now
	}
	if now-e.wantsTermSince < clock.Micros(1+e.rank(now))*candidateStagger {
		return
	}
	e.wantsTermSince = now
	e.startCampaign(proposal, now)
}

// rank returns this core's index among the reachable members of the committed group.
func (e *Election) rank(now clock.Micros) int {
	rank := 0
	for _, id := range e.vote.Committed.IDs() {
		if id == e.contacts.self.ID {
			break
		}
		if _, heard := e.contacts.incarnationOf(id, now); heard {
			rank++
		}
	}
	return rank
}

// startCampaign starts a campaign for the proposal under a term above all known ones.
func (e *Election) startCampaign(proposed proposal, now clock.Micros) {
	proposed.assignment.Epoch = e.nextTerm(proposed.assignment.Epoch)
	e.CampaignsStarted++
	e.effects.Emit(machine.LogEvent{Event: CampaignStarted{
		Term:   proposed.assignment.Epoch,
		Member: e.contacts.self.ID,
		Reason: proposed.reason,
		Group:  proposed.assignment.IDs(),
		Voters: voterIDs(proposed.voters),
	}})
	e.requestVotes(&campaign{
		request: VoteRequest{
			Fleet:      e.vote.Fleet,
			Assignment: proposed.assignment,
			Voters:     proposed.voters,
			Base:       e.vote.Committed.Epoch,
			Candidate:  e.contacts.self,
		},
		quorums:        e.quorumsFor(proposed.voters),
		previousVoters: e.vote.previousVoters(proposed.voters),
	}, now)
}

// nextTerm returns a term above all that are known to be granted, and at least the proposed one.
func (e *Election) nextTerm(proposed uint64) uint64 {
	epoch := max(proposed, e.vote.Term+1)
	for _, heard := range e.contacts.byID {
		if heard.heartbeat.Fleet == e.vote.Fleet {
			epoch = max(epoch, heard.heartbeat.Vote.Term+1)
		}
	}
	return epoch
}

// quorumsFor returns the sets of voters that must agree to a term with the next voters.
func (e *Election) quorumsFor(next []CoreRef) quorums {
	if e.faults.SkipOldVoters {
		return quorums{next}
	}
	return e.vote.quorumsFor(next)
}

// requestVotes starts a campaign: it sends its vote request to the voters.
func (e *Election) requestVotes(c *campaign, now clock.Micros) {
	self := e.contacts.self.ID
	c.startedAt = now
	c.granted = map[string]bool{self: true}
	e.campaign = c
	for _, ref := range c.quorums.voters() {
		if ref.ID != self {
			e.effects.Emit(machine.Send{To: ref.Peer, Body: c.request})
		}
	}
	e.countVotes(now)
}

// handleVoteResponse counts a granted vote, or adopts a newer committed term from a refusal.
func (e *Election) handleVoteResponse(response VoteResponse, now clock.Micros) {
	if !response.Granted {
		e.learnCommitted(response.Vote, now)
	}
	c := e.campaign
	isOpen := c != nil && !c.won && response.Epoch == c.request.Assignment.Epoch
	if !isOpen || !response.Granted {
		return
	}
	if response.Vote.Committed.Epoch > c.request.Base {
		e.learnCommitted(response.Vote, now)
		return
	}
	c.granted[response.From] = true
	e.countVotes(now)
}

// countVotes concludes a campaign that has the required votes. This core's own grant is persisted
// last: until then it may still grant another candidate's term.
func (e *Election) countVotes(now clock.Micros) {
	c := e.campaign
	if c.won || !c.hasRequiredVotes() {
		return
	}
	epoch := c.request.Assignment.Epoch
	if e.vote.Term >= epoch || e.vote.Committed.Epoch > c.request.Base {
		e.campaign = nil // another term was granted or committed meanwhile
		return
	}
	c.won = true
	e.grantVote(c.request, now, func(now clock.Micros) {
		if e.campaign == c {
			e.campaign = nil
		}
		if e.vote.Term == epoch {
			e.becomePrimary(c, now)
		}
	})
}

// becomePrimary makes this core the primary of the term that it won. It serves once the term is
// committed.
func (e *Election) becomePrimary(c *campaign, now clock.Micros) {
	e.TermsWon++
	e.pendingCommit = nil
	e.wonCampaign = c
	e.wonTermAt = now
	assignment := c.request.Assignment
	var peers []string
	for _, member := range assignment.Replicas {
		i := slices.IndexFunc(c.request.Voters, func(ref CoreRef) bool { return ref.ID == member.ID })
		peers = append(peers, c.request.Voters[i].Peer)
	}
	if e.formerPrimaryRestarted(now) {
		e.groups.VoidGrantedLease(GroupUnit)
	}
	e.effects.Emit(machine.LogEvent{Event: TermWon{
		Term:   assignment.Epoch,
		Member: e.contacts.self.ID,
		Group:  assignment.IDs(),
	}})
	e.groups.BecomePrimary(GroupUnit, assignment.Epoch, peers, now)
}

// formerPrimaryRestarted reports whether the incarnation that may hold a lease granted by this core
// has ended: the former primary is this core, or it now runs in a later incarnation.
func (e *Election) formerPrimaryRestarted(now clock.Micros) bool {
	former := e.vote.Committed.Primary
	if former.ID == e.contacts.self.ID {
		return true
	}
	incarnation, heard := e.contacts.incarnationOf(former.ID, now)
	return heard && incarnation > former.Incarnation
}
