package control

import (
	"slices"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// This file is how a core becomes primary, and how the primary makes its group anew
// (DESIGN §5.1 to §5.3): a campaign asks the voters for a term.

const (
	// campaignTries is how long a campaign waits for its votes.
	campaignTries = 900 * clock.Millisecond
	// campaignStep is how much longer each successor waits than the one before it.
	campaignStep = 250 * clock.Millisecond
	// campaignPatience is how long somebody else's term may take to become complete.
	campaignPatience = 4 * clock.Second
	// grantPatience is how long a grant holds its voter back from a campaign of its own
	// although nothing is heard of whoever it was granted to.
	grantPatience = clock.Second
)

// proposal is a term that a core wants: the group and the voters under it.
type proposal struct {
	assignment replication.Assignment
	voters     []CoreRef
	reason     string
}

// campaign is a proposal on its way.
type campaign struct {
	request     VoteRequest
	electorates [][]CoreRef
	oldVoters   []CoreRef
	unanimous   bool // a founding: every founder has to agree
	yes         map[string]bool
	at          clock.Micros
	won         bool
}

func (c *campaign) wins() bool {
	if !c.unanimous {
		return agreed(c.electorates, c.yes)
	}
	for _, ref := range c.request.Voters {
		if !c.yes[ref.ID] {
			return false
		}
	}
	return true
}

// stand works out whether this core should campaign, and drives a campaign on.
func (s *Core) stand(now clock.Micros) {
	if s.campaign != nil {
		if now-s.campaign.at < campaignTries {
			return
		}
		s.campaign = nil
	}
	if s.vote.Committed.Zero() {
		s.found(now)
		return
	}
	wanted, ok := s.wanted(now)
	if !ok {
		s.unwell = 0
		return
	}
	if s.unwell == 0 {
		s.unwell = now
	}
	if now-s.unwell < clock.Micros(1+s.rank(now))*campaignStep {
		return
	}
	s.unwell = now
	s.run(wanted, now)
}

// rank is this core's place among the members of the group that live.
func (s *Core) rank(now clock.Micros) int {
	rank := 0
	for _, id := range s.vote.Committed.IDs() {
		if id == s.self.ID {
			break
		}
		if _, living := s.lifeOf(id, now); living {
			rank++
		}
	}
	return rank
}

// run begins a campaign under a term above all that are known.
func (s *Core) run(wanted proposal, now clock.Micros) {
	epoch := max(wanted.assignment.Epoch, s.vote.Term+1)
	for _, heard := range s.cores {
		if heard.heartbeat.Fleet == s.vote.Fleet {
			epoch = max(epoch, heard.heartbeat.Vote.Term+1)
		}
	}
	wanted.assignment.Epoch = epoch
	s.Claims++
	s.Emit(machine.Explain{What: "campaign", Fields: map[string]any{"term": epoch, "member": s.self.ID, "reason": wanted.reason, "group": wanted.assignment.IDs(), "voters": voterIDs(wanted.voters)}})
	s.begin(&campaign{
		request:     VoteRequest{Fleet: s.vote.Fleet, Assignment: wanted.assignment, Voters: wanted.voters, Base: s.vote.Committed.Epoch, From: s.self},
		electorates: s.electorates(wanted.voters),
		oldVoters:   s.vote.oldVoters(wanted.voters),
	}, now)
}

// electorates are the sets of voters that a term with the next voters needs.
func (s *Core) electorates(next []CoreRef) [][]CoreRef {
	if s.SkipOldVoters {
		return [][]CoreRef{next}
	}
	return s.vote.electorates(next)
}

// begin asks the voters.
func (s *Core) begin(c *campaign, now clock.Micros) {
	c.at, c.yes = now, map[string]bool{s.self.ID: true}
	s.campaign = c
	for _, ref := range everybody(c.electorates) {
		if ref.ID != s.self.ID {
			s.Emit(machine.Send{To: ref.Peer, Body: c.request})
		}
	}
	s.tally(now)
}

// replied takes a voter's answer.
func (s *Core) replied(reply VoteReply, now clock.Micros) {
	if !reply.Yes {
		s.learn(reply.Vote, now)
	}
	c := s.campaign
	if c == nil || c.won || reply.Epoch != c.request.Assignment.Epoch || !reply.Yes {
		return
	}
	if reply.Vote.Committed.Epoch > c.request.Base {
		s.learn(reply.Vote, now)
		return
	}
	c.yes[reply.From] = true
	s.tally(now)
}

// tally ends a campaign that has its majorities: this core's own grant is written last.
func (s *Core) tally(now clock.Micros) {
	c := s.campaign
	if c.won || !c.wins() {
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
			s.lead(c, now)
		}
	})
}

// lead makes this core the primary of the term that it was granted.
func (s *Core) lead(c *campaign, now clock.Micros) {
	s.Takeovers++
	s.commit = nil
	s.won, s.wonAt = c, now
	assignment := c.request.Assignment
	var peers []string
	for _, member := range assignment.Replicas {
		i := slices.IndexFunc(c.request.Voters, func(ref CoreRef) bool { return ref.ID == member.ID })
		peers = append(peers, c.request.Voters[i].Peer)
	}
	former := s.vote.Committed.Primary
	if life, ok := s.lifeOf(former.ID, now); former.ID == s.self.ID || ok && life > former.Life {
		s.groups.Void(unitCore) // the life that may hold a lease is over
	}
	s.Emit(machine.Explain{What: "term won", Fields: map[string]any{"term": assignment.Epoch, "member": s.self.ID, "group": assignment.IDs()}})
	s.groups.Own(unitCore, assignment.Epoch, peers, now)
}

// wanted is the term that this core should ask for, or none.
func (s *Core) wanted(now clock.Micros) (proposal, bool) {
	committed := s.vote.Committed
	if !slices.Contains(committed.IDs(), s.self.ID) && !s.SkipWhole || !isVoter(s.vote.Voters, s.self.ID) {
		return proposal{}, false // it does not hold the whole state
	}
	if s.leaving {
		return proposal{}, false
	}
	if s.Serving() && s.group().Epoch == committed.Epoch {
		return s.wantedByPrimary(now)
	}
	if s.primaryLeads(now, s.set.CoreSilent) || s.othersTerm(now) {
		return proposal{}, false
	}
	var shunned []string
	if s.group().Leads() {
		// A term that was won and does not become complete.
		if shunned = s.silentReplicas(now); len(shunned) == 0 && now-s.wonAt < campaignPatience {
			return proposal{}, false
		}
	}
	next, ok := replication.Reassign(committed, s.scene(now), s.self.ID, shunned)
	return proposal{next, s.vote.Voters, "the primary does not lead"}, ok
}

// othersTerm tells whether somebody else won a term and may be on the way to complete it.
func (s *Core) othersTerm(now clock.Micros) bool {
	if s.vote.Term <= s.vote.Committed.Epoch || s.vote.Pending.Primary.ID == s.self.ID || s.termAt == 0 {
		return false
	}
	since := now - s.termAt
	heard, ok := s.cores[s.vote.Pending.Primary.ID]
	working := ok && now-heard.at <= s.set.CoreSilent && heard.heartbeat.Life == s.vote.Pending.Primary.Life &&
		heard.heartbeat.Vote.Term == s.vote.Term && heard.heartbeat.Vote.Pending.Equal(s.vote.Pending)
	return since < grantPatience || working && since < campaignPatience
}

// wantedByPrimary keeps the primary's group whole and then its voters.
func (s *Core) wantedByPrimary(now clock.Micros) (proposal, bool) {
	committed, scene := s.vote.Committed, s.scene(now)
	if shunned := s.silentReplicas(now); len(shunned) > 0 {
		next, ok := replication.Reassign(committed, scene, s.self.ID, shunned)
		if ok {
			return proposal{next, s.vote.Voters, "a replica does not answer"}, true
		}
	}
	if next, reason, ok := replication.Next(committed, scene); ok && next.Primary.ID == s.self.ID {
		return proposal{next, s.vote.Voters, reason}, true
	}
	if len(committed.IDs()) < scene.Copies || !s.vote.Settled || !s.Leading(now) {
		return proposal{}, false // voters change only under a whole group that all know of
	}
	if next, ok := s.betterSpread(now); ok {
		return next, true
	}
	return s.changeVoters(now)
}

// copies is how many cores hold the control state: more than may be lost at once, and
// so many that every majority of the voters has one.
func (s *Core) copies(voters int) int {
	return min(voters, max(s.set.Tolerance+1, coveringCopies(voters)))
}

// coveringCopies is how many copies it takes so that every majority has one.
func coveringCopies(voters int) int { return voters - majority(voters) + 1 }

// scene is what this core sees of the voters.
func (s *Core) scene(now clock.Micros) replication.Scene {
	voters := s.vote.Voters
	return replication.Scene{
		Copies: s.copies(len(voters)),
		Enough: func(members []string) bool { return len(members) >= coveringCopies(len(voters)) },
		Life: func(id string) (uint64, bool) {
			if !isVoter(voters, id) || s.leavingCore(id) && id != s.self.ID || !s.reachesCore(id, now) {
				return 0, false
			}
			return s.lifeOf(id, now)
		},
		Spare: func(members, shunned []string) string { return s.spareCore(members, shunned, now) },
	}
}

// spareCore picks a voter that is no member yet, in a zone of its own if there is one.
func (s *Core) spareCore(members, shunned []string, now clock.Micros) string {
	best, bestShared := "", true
	for _, id := range voterIDs(s.vote.Voters) {
		if slices.Contains(members, id) || slices.Contains(shunned, id) || s.leavingCore(id) {
			continue
		}
		if !s.reachesCore(id, now) {
			continue
		}
		shared := slices.ContainsFunc(members, func(other string) bool { return s.zoneOf(other) == s.zoneOf(id) })
		if best == "" || bestShared && !shared {
			best, bestShared = id, shared
		}
	}
	return best
}

// betterSpread moves a replica out of a zone that another member is in.
func (s *Core) betterSpread(now clock.Micros) (proposal, bool) {
	committed := s.vote.Committed
	zones := map[string]bool{s.self.Zone: true}
	for _, member := range committed.Replicas {
		zone := s.zoneOf(member.ID)
		if !zones[zone] {
			zones[zone] = true
			continue
		}
		others := slices.DeleteFunc(committed.IDs(), func(id string) bool { return id == member.ID })
		spare := s.spareCore(others, []string{member.ID}, now)
		if spare == "" || s.shares(others, spare) {
			continue
		}
		next, ok := replication.Reassign(committed, s.scene(now), s.self.ID, []string{member.ID})
		return proposal{next, s.vote.Voters, "two copies share a zone"}, ok
	}
	return proposal{}, false
}

// shares tells whether a core is in the zone of one of the members.
func (s *Core) shares(members []string, id string) bool {
	return slices.ContainsFunc(members, func(other string) bool { return s.zoneOf(other) == s.zoneOf(id) })
}

// silentReplicas are the members of this core's group that don't answer it.
func (s *Core) silentReplicas(now clock.Micros) []string {
	var out []string
	silent := s.group().Silent(now)
	for _, refs := range [][]CoreRef{s.vote.Voters, s.vote.PendingVoters} {
		for _, ref := range refs {
			if slices.Contains(silent, ref.Peer) && !slices.Contains(out, ref.ID) {
				out = append(out, ref.ID)
			}
		}
	}
	return out
}
