package election

import (
	"slices"

	"tuliprudder/internal/clock"
)

// This file is how the voters change (DESIGN §5.3): one at a time, under a term of its
// own that majorities of the old and of the new voters grant and commit. Only a
// primary whose group is complete and whose term all majorities have committed begins one.

const (
	// joinDelay is how long a core without a vote is heard until it is given one.
	joinDelay = clock.Second
	// maxVoters bounds the voters; further cores stand by.
	maxVoters = 9
	// absoluteMinVoters is how few voters there may be at any tolerance: the restart of one leaves
	// a majority.
	absoluteMinVoters = 3
	// missedHeartbeats is after how many heartbeats that did not come no voter is added.
	missedHeartbeats = 3
)

// voterChange is a change of the voters and its reason; voters is nil where there is none.
type voterChange struct {
	voters []CoreRef
	reason string
}

// proposeVoterChange replaces a voter that is lost by a core without a vote, gives a further
// core a vote, or takes the vote of one that is lost or draining.
func (e *Election) proposeVoterChange(now clock.Micros) (proposal, bool) {
	for _, change := range []func(clock.Micros) voterChange{
		e.removeDrainingVoter,
		e.replaceLostVoter,
		e.addVoter,
		e.removeLostVoter,
	} {
		changed := change(now)
		if changed.voters == nil {
			continue
		}
		next := e.vote.Committed
		next.Epoch++
		next.Complete = false
		next.Trusted = next.IDs()
		return proposal{next, changed.voters, changed.reason}, true
	}
	return proposal{}, false
}

// minVoters is how few voters there may be: so many that they bear the losses of the
// deployment and one voter's restart leaves a majority.
func (e *Election) minVoters() int { return max(absoluteMinVoters, 2*e.settings.Tolerance+1) }

// removeDrainingVoter takes the vote of a core that is about to stop, where enough remain. A
// member of the group is first replaced there.
func (e *Election) removeDrainingVoter(clock.Micros) voterChange {
	draining := e.drainingVoter()
	if draining == "" || len(e.vote.Voters) <= e.minVoters() {
		return voterChange{}
	}
	return voterChange{withoutVoter(e.vote.Voters, draining), "a core is draining: " + draining}
}

// drainingVoter is a voter that is about to stop and no member of the group; "" when there
// is none.
func (e *Election) drainingVoter() string {
	for _, ref := range e.vote.Voters {
		isOther := ref.ID != e.contacts.self.ID
		if isOther && e.contacts.isDraining(ref.ID) && !slices.Contains(e.vote.Committed.IDs(), ref.ID) {
			return ref.ID
		}
	}
	return ""
}

// replaceLostVoter gives the vote of a core that is lost or draining to one that has none.
func (e *Election) replaceLostVoter(now clock.Micros) voterChange {
	replacement, timeout := e.chooseReplacementVoter(now)
	lost := e.drainingVoter()
	if lost == "" {
		lost = e.lostVoter(timeout, now)
	}
	if replacement.ID == "" || lost == "" {
		return voterChange{}
	}
	voters := append(withoutVoter(e.vote.Voters, lost), replacement)
	return voterChange{voters, "voter " + lost + " is lost; its vote passes to " + replacement.ID}
}

// chooseReplacementVoter is the core that is given a lost core's vote, and how long that one has to
// be lost. An empty core is given it sooner than one that had a vote before: nobody waits for
// an empty one, while the other may still be needed with its own copy.
func (e *Election) chooseReplacementVoter(now clock.Micros) (CoreRef, clock.Micros) {
	timeout, replacement := e.settings.ReplaceAfter, CoreRef{}
	emptyCoreTimeout := max(e.settings.ReplaceSoonAfter, e.settings.CoreTimeout)
	for _, heard := range e.voterCandidates(now) {
		isEmpty := heard.heartbeat.Vote.Committed.IsZero()
		switch {
		case isEmpty && e.settings.ReplaceSoonAfter > 0 && emptyCoreTimeout < timeout:
			timeout, replacement = emptyCoreTimeout, heard.heartbeat.Core
		case replacement.ID == "":
			replacement = heard.heartbeat.Core
		}
	}
	return replacement, timeout
}

// addVoter gives a core a vote where all that have one are heard.
func (e *Election) addVoter(now clock.Micros) voterChange {
	if len(e.vote.Voters) >= maxVoters || e.hasUnreachableVoter(now) {
		return voterChange{}
	}
	for _, heard := range e.voterCandidates(now) {
		if now-heard.firstHeardAt >= joinDelay {
			ref := heard.heartbeat.Core
			return voterChange{append(slices.Clone(e.vote.Voters), ref), "a core joins: " + ref.ID}
		}
	}
	return voterChange{}
}

// removeLostVoter takes the vote of a core that is lost, where enough remain.
func (e *Election) removeLostVoter(now clock.Micros) voterChange {
	lost := e.lostVoter(e.settings.ReplaceAfter, now)
	if lost == "" || len(e.vote.Voters) <= e.minVoters() {
		return voterChange{}
	}
	return voterChange{withoutVoter(e.vote.Voters, lost), "voter " + lost + " is lost"}
}

// voterCandidates are the cores without a vote that are heard, in the order of their ids.
func (e *Election) voterCandidates(now clock.Micros) []contact {
	var out []contact
	for _, id := range e.contacts.ids() {
		heard := e.contacts.byID[id]
		if isVoter(e.vote.Voters, id) || heard.heartbeat.Draining || !e.contacts.hasTwoWayContact(id, now) {
			continue
		}
		out = append(out, heard)
	}
	return out
}

// lostVoter finds a voter that was not heard for longer than the timeout, nor for as long as this
// primary listens, and that is no member of the group; "" when there is none.
func (e *Election) lostVoter(timeout, now clock.Micros) string {
	if now-e.runningSince <= timeout {
		return ""
	}
	for _, ref := range e.vote.Voters {
		heard, ok := e.contacts.byID[ref.ID]
		isLost := !ok || now-heard.heardAt > timeout
		if isLost && !slices.Contains(e.vote.Committed.IDs(), ref.ID) {
			return ref.ID
		}
	}
	return ""
}

// hasUnreachableVoter tells whether a voter missed its latest heartbeats or is about to stop: a
// further voter beside one that is lost would only raise the majority.
func (e *Election) hasUnreachableVoter(now clock.Micros) bool {
	limit := missedHeartbeats * e.settings.HeartbeatInterval
	return slices.ContainsFunc(e.vote.Voters, func(ref CoreRef) bool {
		heard, ok := e.contacts.byID[ref.ID]
		missed := !ok || now-heard.heardAt > limit || heard.heartbeat.Draining
		return ref.ID != e.contacts.self.ID && missed
	})
}
