package control

import (
	"slices"

	"tuliprudder/kernel/clock"
)

// This file is how the voters change (DESIGN §5.3): one at a time, under a term of its
// own that majorities of the old and of the new voters grant and commit. Only a
// primary whose group is whole and whose term all majorities have settled begins one.

const (
	// joinAfter is how long a core without a vote is heard until it is given one.
	joinAfter = clock.Second
	// mostVoters bounds the voters; further cores stand by.
	mostVoters = 9
)

// changeVoters swaps a voter that is gone for a core without a vote, gives a further
// core a vote, or takes the vote of one that is gone or about to go.
func (s *Core) changeVoters(now clock.Micros) (proposal, bool) {
	for _, change := range []func(clock.Micros) ([]CoreRef, string){s.withoutLeaving, s.withSuccessor, s.withNewcomer, s.withoutGone} {
		voters, reason := change(now)
		if voters == nil {
			continue
		}
		next := s.vote.Committed
		next.Epoch++
		next.Complete, next.Trusted = false, next.IDs()
		return proposal{next, voters, reason}, true
	}
	return proposal{}, false
}

// least is how few voters there may be: so many that they bear the losses of the
// deployment and one voter's restart leaves a majority.
func (s *Core) least() int { return max(3, 2*s.set.Tolerance+1) }

// withoutLeaving takes the vote of a core that is about to go, where enough remain. A
// member of the group is first replaced there.
func (s *Core) withoutLeaving(clock.Micros) ([]CoreRef, string) {
	leaving := s.leavingVoter()
	if leaving == "" || len(s.vote.Voters) <= s.least() {
		return nil, ""
	}
	return without(s.vote.Voters, leaving), "a core leaves: " + leaving
}

// leavingVoter is a voter that is about to go and no member of the group; "" when there
// is none.
func (s *Core) leavingVoter() string {
	for _, ref := range s.vote.Voters {
		if ref.ID != s.self.ID && s.leavingCore(ref.ID) && !slices.Contains(s.vote.Committed.IDs(), ref.ID) {
			return ref.ID
		}
	}
	return ""
}

// withSuccessor gives the vote of a core that is gone to one that has none. An empty
// one is given it sooner than one that had a vote before: nobody waits for it.
func (s *Core) withSuccessor(now clock.Micros) ([]CoreRef, string) {
	wait, heir := s.set.ReplaceAfter, CoreRef{}
	for _, heard := range s.candidates(now) {
		empty := heard.heartbeat.Vote.Committed.Zero()
		soon := max(s.set.ReplaceSoon, s.set.CoreSilent)
		if empty && s.set.ReplaceSoon > 0 && soon < wait {
			wait, heir = soon, heard.heartbeat.Core
		} else if heir.ID == "" {
			heir = heard.heartbeat.Core
		}
	}
	gone := s.leavingVoter()
	if gone == "" {
		gone = s.gone(wait, now)
	}
	if heir.ID == "" || gone == "" {
		return nil, ""
	}
	return append(without(s.vote.Voters, gone), heir), "voter " + gone + " is gone; its vote passes to " + heir.ID
}

// withNewcomer gives a core a vote where all that have one live.
func (s *Core) withNewcomer(now clock.Micros) ([]CoreRef, string) {
	if len(s.vote.Voters) >= mostVoters || s.silentVoter(now) {
		return nil, ""
	}
	for _, heard := range s.candidates(now) {
		if now-heard.first >= joinAfter {
			ref := heard.heartbeat.Core
			return append(slices.Clone(s.vote.Voters), ref), "a core joins: " + ref.ID
		}
	}
	return nil, ""
}

// withoutGone takes the vote of a core that is gone, where enough remain.
func (s *Core) withoutGone(now clock.Micros) ([]CoreRef, string) {
	gone := s.gone(s.set.ReplaceAfter, now)
	if gone == "" || len(s.vote.Voters) <= s.least() {
		return nil, ""
	}
	return without(s.vote.Voters, gone), "voter " + gone + " is gone"
}

// candidates are the living cores without a vote, in the order of their ids.
func (s *Core) candidates(now clock.Micros) []heardCore {
	var out []heardCore
	for _, id := range sortedIDs(s.cores) {
		heard := s.cores[id]
		if isVoter(s.vote.Voters, id) || heard.heartbeat.Leaving || !s.reachesCore(id, now) {
			continue
		}
		out = append(out, heard)
	}
	return out
}

// gone finds a voter that has been silent for as long as this primary listens and
// longer than the wait, and that is no member of the group; "" when there is none.
func (s *Core) gone(wait, now clock.Micros) string {
	if now-s.heardSince <= wait {
		return ""
	}
	for _, ref := range s.vote.Voters {
		heard, ok := s.cores[ref.ID]
		silent := !ok || now-heard.at > wait
		if silent && !slices.Contains(s.vote.Committed.IDs(), ref.ID) {
			return ref.ID
		}
	}
	return ""
}

// silentVoter tells whether a voter missed its latest heartbeats or is about to go: a
// further voter beside one that is gone would only raise the majority.
func (s *Core) silentVoter(now clock.Micros) bool {
	return slices.ContainsFunc(s.vote.Voters, func(ref CoreRef) bool {
		heard, ok := s.cores[ref.ID]
		missed := !ok || now-heard.at > 3*s.set.HeartbeatEvery || heard.heartbeat.Leaving
		return ref.ID != s.self.ID && missed
	})
}

func without(voters []CoreRef, id string) []CoreRef {
	return slices.DeleteFunc(slices.Clone(voters), func(ref CoreRef) bool { return ref.ID == id })
}
