package election

import (
	"slices"

	"tuliprudder/internal/clock"
)

// Changes of the voters (DESIGN §5.3). Voters change one at a time, each under a term of its own that
// majorities of the old and of the new voters grant and commit. Only a primary whose group is
// complete and whose term is committed by majorities of all quorums starts a change.

const (
	// joinDelay is how long a core without a vote must send heartbeats before it becomes a voter.
	joinDelay = clock.Second
	// maxVoters is the maximum number of voters; further cores are spares.
	maxVoters = 9
	// absoluteMinVoters is the minimum number of voters at any tolerance: with three, a majority
	// remains while one restarts.
	absoluteMinVoters = 3
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat from a voter after
	// which no voter is added.
	missedHeartbeats = 3
)

// voterChange is a change of the voters and its reason; voters is nil if there is no change.
type voterChange struct {
	voters []CoreRef
	reason string
}

// proposeVoterChange proposes the first change that is due: remove a draining voter, replace a lost
// or draining one by a core without a vote, add a voter, or remove a lost one.
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

// minVoters returns the minimum number of voters: a majority must remain after as many losses as the
// deployment tolerates, and while one voter restarts.
func (e *Election) minVoters() int { return max(absoluteMinVoters, 2*e.settings.Tolerance+1) }

// removeDrainingVoter removes a voter that is about to stop if enough voters remain. A member of the
// group is first replaced in the group.
func (e *Election) removeDrainingVoter(clock.Micros) voterChange {
	draining := e.drainingVoter()
	if draining == "" || len(e.vote.Voters) <= e.minVoters() {
		return voterChange{}
	}
	return voterChange{withoutVoter(e.vote.Voters, draining), "a core is draining: " + draining}
}

// drainingVoter returns a voter that is about to stop and not a member of the group; "" if there is
// none.
func (e *Election) drainingVoter() string {
	for _, ref := range e.vote.Voters {
		isOther := ref.ID != e.contacts.self.ID
		if isOther && e.contacts.isDraining(ref.ID) && !slices.Contains(e.vote.Committed.IDs(), ref.ID) {
			return ref.ID
		}
	}
	return ""
}

// replaceLostVoter replaces a voter that is lost or draining by a core without a vote.
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
	return voterChange{voters, "voter " + lost + " is lost; it is replaced by " + replacement.ID}
}

// chooseReplacementVoter returns the core that replaces a lost voter, and for how long that voter
// must be lost. An empty core replaces it sooner than one that had a vote before: no one waits for
// an empty core, while the other may still be needed for its own copy of the state.
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

// addVoter adds a voter if all current voters are reachable.
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

// removeLostVoter removes a lost voter if enough voters remain.
func (e *Election) removeLostVoter(now clock.Micros) voterChange {
	lost := e.lostVoter(e.settings.ReplaceAfter, now)
	if lost == "" || len(e.vote.Voters) <= e.minVoters() {
		return voterChange{}
	}
	return voterChange{withoutVoter(e.vote.Voters, lost), "voter " + lost + " is lost"}
}

// voterCandidates returns the reachable cores that could become voters, ordered by ID.
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

// lostVoter returns a voter outside the group without heartbeats for longer than the timeout; "" if
// there is none. No voter counts as lost until this primary has run that long without a pause.
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

// hasUnreachableVoter reports whether a voter missed its latest heartbeats or is about to stop.
// Adding a voter while another is lost would only raise the number of votes needed for a majority.
func (e *Election) hasUnreachableVoter(now clock.Micros) bool {
	limit := missedHeartbeats * e.settings.HeartbeatInterval
	return slices.ContainsFunc(e.vote.Voters, func(ref CoreRef) bool {
		heard, ok := e.contacts.byID[ref.ID]
		missed := !ok || now-heard.heardAt > limit || heard.heartbeat.Draining
		return ref.ID != e.contacts.self.ID && missed
	})
}
