package controlplane

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is how a core becomes primary, and how the primary makes its group anew
// (DESIGN §5.1 to §5.3): a campaign asks the voters for a term.

const (
	// voteTimeout is how long a campaign waits for its votes.
	voteTimeout = 900 * clock.Millisecond
	// candidateStagger is how much longer each successor waits than the one before it.
	candidateStagger = 250 * clock.Millisecond
	// termCommitTimeout is how long somebody else's term may take to become complete.
	termCommitTimeout = 4 * clock.Second
	// grantTimeout is how long a grant holds its voter back from a campaign of its own
	// although nothing is heard of whoever it was granted to.
	grantTimeout = clock.Second
)

// proposal is a term that a core wants: the group and the voters under it.
type proposal struct {
	assignment replication.Assignment
	voters     []CoreRef
	reason     string
}

// campaign is a proposal on its way.
type campaign struct {
	request   VoteRequest
	quorums   [][]CoreRef
	oldVoters []CoreRef
	unanimous bool // a founding: every founder has to agree
	granted   map[string]bool
	startedAt clock.Micros
	won       bool
}

func (c *campaign) hasWon() bool {
	if !c.unanimous {
		return haveMajorities(c.quorums, c.granted)
	}
	for _, ref := range c.request.Voters {
		if !c.granted[ref.ID] {
			return false
		}
	}
	return true
}

// maybeCampaign works out whether this core should campaign, and drives a campaign on.
func (s *Core) maybeCampaign(now clock.Micros) {
	if s.campaign != nil {
		if now-s.campaign.startedAt < voteTimeout {
			return
		}
		s.campaign = nil
	}
	if s.vote.Committed.IsZero() {
		s.maybeBootstrap(now)
		return
	}
	proposal, ok := s.proposeTerm(now)
	if !ok {
		s.unhealthySince = 0
		return
	}
	if s.unhealthySince == 0 {
		s.unhealthySince = now
	}
	if now-s.unhealthySince < clock.Micros(1+s.rank(now))*candidateStagger {
		return
	}
	s.unhealthySince = now
	s.startCampaign(proposal, now)
}

// rank is this core's place among the members of the group that live.
func (s *Core) rank(now clock.Micros) int {
	rank := 0
	for _, id := range s.vote.Committed.IDs() {
		if id == s.self.ID {
			break
		}
		if _, living := s.incarnationOf(id, now); living {
			rank++
		}
	}
	return rank
}

// startCampaign begins a campaign under a term above all that are known.
func (s *Core) startCampaign(wanted proposal, now clock.Micros) {
	epoch := max(wanted.assignment.Epoch, s.vote.Term+1)
	for _, heard := range s.cores {
		if heard.heartbeat.Fleet == s.vote.Fleet {
			epoch = max(epoch, heard.heartbeat.Vote.Term+1)
		}
	}
	wanted.assignment.Epoch = epoch
	s.CampaignsStarted++
	s.Emit(machine.LogEvent{Event: CampaignStarted{
		Term:   epoch,
		Member: s.self.ID,
		Reason: wanted.reason,
		Group:  wanted.assignment.IDs(),
		Voters: voterIDs(wanted.voters),
	}})
	s.requestVotes(&campaign{
		request:   VoteRequest{Fleet: s.vote.Fleet, Assignment: wanted.assignment, Voters: wanted.voters, Base: s.vote.Committed.Epoch, Candidate: s.self},
		quorums:   s.quorumsFor(wanted.voters),
		oldVoters: s.vote.oldVoters(wanted.voters),
	}, now)
}

// quorumsFor are the sets of voters that a term with the next voters needs.
func (s *Core) quorumsFor(next []CoreRef) [][]CoreRef {
	if s.SkipOldVoters {
		return [][]CoreRef{next}
	}
	return s.vote.quorumsFor(next)
}

// requestVotes asks the voters.
func (s *Core) requestVotes(c *campaign, now clock.Micros) {
	c.startedAt, c.granted = now, map[string]bool{s.self.ID: true}
	s.campaign = c
	for _, ref := range allVoters(c.quorums) {
		if ref.ID != s.self.ID {
			s.Emit(machine.Send{To: ref.Peer, Body: c.request})
		}
	}
	s.countVotes(now)
}

// handleVoteResponse takes a voter's answer.
func (s *Core) handleVoteResponse(reply VoteResponse, now clock.Micros) {
	if !reply.Granted {
		s.learnCommitted(reply.Vote, now)
	}
	c := s.campaign
	if c == nil || c.won || reply.Epoch != c.request.Assignment.Epoch || !reply.Granted {
		return
	}
	if reply.Vote.Committed.Epoch > c.request.Base {
		s.learnCommitted(reply.Vote, now)
		return
	}
	c.granted[reply.From] = true
	s.countVotes(now)
}

// countVotes ends a campaign that has its majorities: this core's own grant is written last.
func (s *Core) countVotes(now clock.Micros) {
	c := s.campaign
	if c.won || !c.hasWon() {
		return
	}
	epoch := c.request.Assignment.Epoch
	if s.vote.Term >= epoch || s.vote.Committed.Epoch > c.request.Base {
		s.campaign = nil // another term was granted meanwhile
		return
	}
	c.won = true
	s.grantVote(c.request, now, func(now clock.Micros) {
		if s.campaign == c {
			s.campaign = nil
		}
		if s.vote.Term == epoch {
			s.becomePrimary(c, now)
		}
	})
}

// becomePrimary makes this core the primary of the term that it was granted.
func (s *Core) becomePrimary(c *campaign, now clock.Micros) {
	s.TermsWon++
	s.commitRound = nil
	s.wonCampaign, s.wonTermAt = c, now
	assignment := c.request.Assignment
	var peers []string
	for _, member := range assignment.Replicas {
		i := slices.IndexFunc(c.request.Voters, func(ref CoreRef) bool { return ref.ID == member.ID })
		peers = append(peers, c.request.Voters[i].Peer)
	}
	former := s.vote.Committed.Primary
	if incarnation, ok := s.incarnationOf(former.ID, now); former.ID == s.self.ID || ok && incarnation > former.Incarnation {
		s.groups.VoidGrantedLease(unitCore) // the life that may hold a lease is over
	}
	s.Emit(machine.LogEvent{Event: TermWon{Term: assignment.Epoch, Member: s.self.ID, Group: assignment.IDs()}})
	s.groups.BecomePrimary(unitCore, assignment.Epoch, peers, now)
}

// proposeTerm is the term that this core should ask for, or none.
func (s *Core) proposeTerm(now clock.Micros) (proposal, bool) {
	committed := s.vote.Committed
	if !slices.Contains(committed.IDs(), s.self.ID) && !s.SkipStateCheck || !isVoter(s.vote.Voters, s.self.ID) {
		return proposal{}, false // it does not hold the whole state
	}
	if s.draining {
		return proposal{}, false
	}
	if s.IsServing() && s.group().Epoch == committed.Epoch {
		return s.proposeTermAsPrimary(now)
	}
	if s.primaryLeads(now, s.set.CoreTimeout) || s.otherTermPending(now) {
		return proposal{}, false
	}
	var excluded []string
	if s.group().IsPrimary() {
		// A term that was won and does not become complete.
		if excluded = s.unreachableReplicas(now); len(excluded) == 0 && now-s.wonTermAt < termCommitTimeout {
			return proposal{}, false
		}
	}
	next, ok := replication.Reassign(committed, s.clusterView(now), s.self.ID, excluded)
	return proposal{next, s.vote.Voters, "the primary does not lead"}, ok
}

// otherTermPending tells whether somebody else won a term and may be on the way to complete it.
func (s *Core) otherTermPending(now clock.Micros) bool {
	if s.vote.Term <= s.vote.Committed.Epoch || s.vote.Pending.Primary.ID == s.self.ID || s.termGrantedAt == 0 {
		return false
	}
	since := now - s.termGrantedAt
	heard, ok := s.cores[s.vote.Pending.Primary.ID]
	working := ok && now-heard.heardAt <= s.set.CoreTimeout && heard.heartbeat.Incarnation == s.vote.Pending.Primary.Incarnation &&
		heard.heartbeat.Vote.Term == s.vote.Term && heard.heartbeat.Vote.Pending.Equal(s.vote.Pending)
	return since < grantTimeout || working && since < termCommitTimeout
}

// proposeTermAsPrimary keeps the primary's group whole and then its voters.
func (s *Core) proposeTermAsPrimary(now clock.Micros) (proposal, bool) {
	committed, view := s.vote.Committed, s.clusterView(now)
	if excluded := s.unreachableReplicas(now); len(excluded) > 0 {
		next, ok := replication.Reassign(committed, view, s.self.ID, excluded)
		if ok {
			return proposal{next, s.vote.Voters, "a replica does not answer"}, true
		}
	}
	if next, reason, ok := replication.Next(committed, view); ok && next.Primary.ID == s.self.ID {
		return proposal{next, s.vote.Voters, reason}, true
	}
	if len(committed.IDs()) < view.Copies || !s.vote.CommittedByAll || !s.HoldsLease(now) {
		return proposal{}, false // voters change only under a whole group that all know of
	}
	if next, ok := s.proposeBetterSpread(now); ok {
		return next, true
	}
	return s.proposeVoterChange(now)
}

// copiesFor is how many cores hold the control state: more than may be lost at once, and
// so many that every majority of the voters has one.
func (s *Core) copiesFor(voters int) int {
	return min(voters, max(s.set.Tolerance+1, coveringCopies(voters)))
}

// coveringCopies is how many copies it takes so that every majority has one.
func coveringCopies(voters int) int { return voters - majority(voters) + 1 }

// clusterView is what this core sees of the voters.
func (s *Core) clusterView(now clock.Micros) replication.ClusterView {
	voters := s.vote.Voters
	return replication.ClusterView{
		Copies:         s.copiesFor(len(voters)),
		AllowsDegraded: func(members []string) bool { return len(members) >= coveringCopies(len(voters)) },
		Incarnation: func(id string) (uint64, bool) {
			if !isVoter(voters, id) || s.isDrainingCore(id) && id != s.self.ID || !s.hasTwoWayContact(id, now) {
				return 0, false
			}
			return s.incarnationOf(id, now)
		},
		ChooseReplacement: func(members, excluded []string) string { return s.chooseReplacement(members, excluded, now) },
	}
}

// chooseReplacement picks a voter that is no member yet, in a zone of its own if there is one.
func (s *Core) chooseReplacement(members, excluded []string, now clock.Micros) string {
	best, bestShared := "", true
	for _, id := range voterIDs(s.vote.Voters) {
		if slices.Contains(members, id) || slices.Contains(excluded, id) || s.isDrainingCore(id) {
			continue
		}
		if !s.hasTwoWayContact(id, now) {
			continue
		}
		shared := slices.ContainsFunc(members, func(other string) bool { return s.zoneOf(other) == s.zoneOf(id) })
		if best == "" || bestShared && !shared {
			best, bestShared = id, shared
		}
	}
	return best
}

// proposeBetterSpread moves a replica out of a zone that another member is in.
func (s *Core) proposeBetterSpread(now clock.Micros) (proposal, bool) {
	committed := s.vote.Committed
	zones := map[string]bool{s.self.Zone: true}
	for _, member := range committed.Replicas {
		zone := s.zoneOf(member.ID)
		if !zones[zone] {
			zones[zone] = true
			continue
		}
		others := slices.DeleteFunc(committed.IDs(), func(id string) bool { return id == member.ID })
		replacement := s.chooseReplacement(others, []string{member.ID}, now)
		if replacement == "" || s.sharesZone(others, replacement) {
			continue
		}
		next, ok := replication.Reassign(committed, s.clusterView(now), s.self.ID, []string{member.ID})
		return proposal{next, s.vote.Voters, "two copies share a zone"}, ok
	}
	return proposal{}, false
}

// sharesZone tells whether a core is in the zone of one of the members.
func (s *Core) sharesZone(members []string, id string) bool {
	return slices.ContainsFunc(members, func(other string) bool { return s.zoneOf(other) == s.zoneOf(id) })
}

// unreachableReplicas are the members of this core's group that don't answer it.
func (s *Core) unreachableReplicas(now clock.Micros) []string {
	var out []string
	unreachable := s.group().UnreachableReplicas(now)
	for _, refs := range [][]CoreRef{s.vote.Voters, s.vote.PendingVoters} {
		for _, ref := range refs {
			if slices.Contains(unreachable, ref.Peer) && !slices.Contains(out, ref.ID) {
				out = append(out, ref.ID)
			}
		}
	}
	return out
}
