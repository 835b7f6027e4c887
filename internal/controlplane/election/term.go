package election

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// This file determines the term that a core should campaign for: the members of the group that holds
// the control state, and the voters.

// proposal is a term that a core wants: the group and the voters under that term.
type proposal struct {
	assignment replication.Assignment
	voters     []CoreRef
	reason     string
}

// proposeTerm returns the term that this core should campaign for; false if there is none. Only
// members of the last committed group campaign, because only they hold the complete state.
func (e *Election) proposeTerm(now clock.Micros) (proposal, bool) {
	committed, self := e.vote.Committed, e.contacts.self.ID
	holdsState := slices.Contains(committed.IDs(), self) || e.faults.SkipStateCheck
	if !holdsState || !isVoter(e.vote.Voters, self) || e.contacts.draining {
		return proposal{}, false
	}
	if e.IsServing() && e.group().Epoch == committed.Epoch {
		return e.proposeTermAsPrimary(now)
	}
	if e.primaryReportsLease(now, e.settings.CoreTimeout) || e.otherTermPending(now) {
		return proposal{}, false
	}
	var excluded []string
	if e.group().IsPrimary() {
		// This core has won a term that is not committed yet.
		excluded = e.unreachableReplicas(now)
		if len(excluded) == 0 && now-e.wonTermAt < termCommitTimeout {
			return proposal{}, false
		}
	}
	next, ok := replication.Reassign(committed, e.clusterOfGroup(now), self, excluded)
	return proposal{next, e.vote.Voters, "the primary does not report a valid lease"}, ok
}

// otherTermPending reports whether another core may have won a term that it is about to commit.
func (e *Election) otherTermPending(now clock.Micros) bool {
	pending := e.vote.Pending
	if e.vote.Term <= e.vote.Committed.Epoch || pending.Primary.ID == e.contacts.self.ID || e.termGrantedAt == 0 {
		return false
	}
	since := now - e.termGrantedAt
	return since < grantTimeout || since < termCommitTimeout && e.pendingPrimaryIsActive(pending, now)
}

// pendingPrimaryIsActive reports whether the primary of a pending term is reachable, runs in the
// assigned incarnation, and has granted that term itself.
func (e *Election) pendingPrimaryIsActive(pending replication.Assignment, now clock.Micros) bool {
	heard, ok := e.contacts.byID[pending.Primary.ID]
	if !ok || now-heard.heardAt > e.settings.CoreTimeout {
		return false
	}
	heartbeat := heard.heartbeat
	isSameTerm := heartbeat.Vote.Term == e.vote.Term && heartbeat.Vote.Pending.Equal(pending)
	return isSameTerm && heartbeat.Incarnation == pending.Primary.Incarnation
}

// proposeTermAsPrimary proposes changes of the group until it is complete, and then changes of the
// voters.
func (e *Election) proposeTermAsPrimary(now clock.Micros) (proposal, bool) {
	committed, cluster, self := e.vote.Committed, e.clusterOfGroup(now), e.contacts.self.ID
	if excluded := e.unreachableReplicas(now); len(excluded) > 0 {
		next, ok := replication.Reassign(committed, cluster, self, excluded)
		if ok {
			return proposal{next, e.vote.Voters, "a replica does not answer"}, true
		}
	}
	if next, reason, ok := replication.Next(committed, cluster); ok && next.Primary.ID == self {
		return proposal{next, e.vote.Voters, reason}, true
	}
	// Voters change only while the group is complete and committed by majorities of all quorums.
	if len(committed.IDs()) < cluster.GroupSize || !e.vote.CommittedByAll || !e.HoldsLease(now) {
		return proposal{}, false
	}
	if next, ok := e.proposeZoneSpread(now); ok {
		return next, true
	}
	return e.proposeVoterChange(now)
}

// replicasFor returns how many cores hold the control state: more than may be lost at the same time,
// and enough that every majority of the voters includes one.
func (e *Election) replicasFor(voters int) int {
	return min(voters, max(e.settings.Tolerance+1, coveringReplicas(voters)))
}

// clusterOfGroup describes the voters to package replication, which plans the group from it.
func (e *Election) clusterOfGroup(now clock.Micros) replication.ClusterView {
	voters := e.vote.Voters
	return replication.ClusterView{
		GroupSize:         e.replicasFor(len(voters)),
		AllowsDegraded:    func(members []string) bool { return len(members) >= coveringReplicas(len(voters)) },
		Incarnation:       func(id string) (uint64, bool) { return e.memberIncarnation(id, now) },
		ChooseReplacement: func(members, excluded []string) string { return e.chooseReplacement(members, excluded, now) },
	}
}

// memberIncarnation returns the incarnation of a voter that may be a member of the group; false if it
// may not.
func (e *Election) memberIncarnation(id string, now clock.Micros) (uint64, bool) {
	departs := e.contacts.isDraining(id) && id != e.contacts.self.ID
	if !isVoter(e.vote.Voters, id) || departs || !e.contacts.hasTwoWayContact(id, now) {
		return 0, false
	}
	return e.contacts.incarnationOf(id, now)
}

// chooseReplacement returns a voter that is not a member yet, preferably one in a zone without a
// member; "" if there is none.
func (e *Election) chooseReplacement(members, excluded []string, now clock.Micros) string {
	best, bestShared := "", true
	for _, id := range voterIDs(e.vote.Voters) {
		if slices.Contains(members, id) || slices.Contains(excluded, id) || e.contacts.isDraining(id) {
			continue
		}
		if !e.contacts.hasTwoWayContact(id, now) {
			continue
		}
		shared := e.sharesZone(members, id)
		if best == "" || bestShared && !shared {
			best, bestShared = id, shared
		}
	}
	return best
}

// proposeZoneSpread proposes to move a replica out of a zone that it shares with another member.
func (e *Election) proposeZoneSpread(now clock.Micros) (proposal, bool) {
	committed := e.vote.Committed
	zones := map[string]bool{e.contacts.self.Zone: true}
	for _, member := range committed.Replicas {
		zone := e.zoneOf(member.ID)
		if !zones[zone] {
			zones[zone] = true
			continue
		}
		others := slices.DeleteFunc(committed.IDs(), func(id string) bool { return id == member.ID })
		replacement := e.chooseReplacement(others, []string{member.ID}, now)
		if replacement == "" || e.sharesZone(others, replacement) {
			continue
		}
		next, ok := replication.Reassign(committed, e.clusterOfGroup(now), e.contacts.self.ID, []string{member.ID})
		return proposal{next, e.vote.Voters, "two replicas share a zone"}, ok
	}
	return proposal{}, false
}

func (e *Election) zoneOf(id string) string { return e.contacts.zoneOf(id, e.vote.Voters) }

// sharesZone reports whether a core is in the same zone as one of the members.
func (e *Election) sharesZone(members []string, id string) bool {
	return slices.ContainsFunc(members, func(other string) bool { return e.zoneOf(other) == e.zoneOf(id) })
}

// unreachableReplicas returns the IDs of the members of this core's group that do not answer it.
func (e *Election) unreachableReplicas(now clock.Micros) []string {
	var out []string
	unreachable := e.group().UnreachableReplicas(now)
	for _, refs := range [][]CoreRef{e.vote.Voters, e.vote.PendingVoters} {
		for _, ref := range refs {
			if slices.Contains(unreachable, ref.Peer) && !slices.Contains(out, ref.ID) {
				out = append(out, ref.ID)
			}
		}
	}
	return out
}
