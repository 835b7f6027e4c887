package election

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// This file works out which term a core should ask for: which members the group of the
// control state should have, and which voters.

// proposal is a term that a core wants: the group and the voters under it.
type proposal struct {
	assignment replication.Assignment
	voters     []CoreRef
	reason     string
}

// proposeTerm is the term that this core should ask for, or none. Only a member of the last
// committed group asks for one, as it alone holds the whole state.
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
		// A term that was won and is not committed.
		excluded = e.unreachableReplicas(now)
		if len(excluded) == 0 && now-e.wonTermAt < termCommitTimeout {
			return proposal{}, false
		}
	}
	next, ok := replication.Reassign(committed, e.clusterOfGroup(now), self, excluded)
	return proposal{next, e.vote.Voters, "the primary does not lead"}, ok
}

// otherTermPending tells whether another core won a term and may be about to commit it.
func (e *Election) otherTermPending(now clock.Micros) bool {
	pending := e.vote.Pending
	if e.vote.Term <= e.vote.Committed.Epoch || pending.Primary.ID == e.contacts.self.ID || e.termGrantedAt == 0 {
		return false
	}
	since := now - e.termGrantedAt
	return since < grantTimeout || since < termCommitTimeout && e.pendingPrimaryIsActive(pending, now)
}

// pendingPrimaryIsActive tells whether the primary of a pending term is heard, and granted it itself.
func (e *Election) pendingPrimaryIsActive(pending replication.Assignment, now clock.Micros) bool {
	heard, ok := e.contacts.byID[pending.Primary.ID]
	if !ok || now-heard.heardAt > e.settings.CoreTimeout {
		return false
	}
	heartbeat := heard.heartbeat
	isSameTerm := heartbeat.Vote.Term == e.vote.Term && heartbeat.Vote.Pending.Equal(pending)
	return isSameTerm && heartbeat.Incarnation == pending.Primary.Incarnation
}

// proposeTermAsPrimary keeps the primary's group complete, and then its voters.
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
	// Voters change only under a complete group that all know of.
	if len(committed.IDs()) < cluster.GroupSize || !e.vote.CommittedByAll || !e.HoldsLease(now) {
		return proposal{}, false
	}
	if next, ok := e.proposeZoneSpread(now); ok {
		return next, true
	}
	return e.proposeVoterChange(now)
}

// replicasFor is how many cores hold the control state: more than may be lost at once, and
// so many that every majority of the voters has a copy.
func (e *Election) replicasFor(voters int) int {
	return min(voters, max(e.settings.Tolerance+1, coveringReplicas(voters)))
}

// clusterOfGroup is what the replication package has to know of the voters for the group.
func (e *Election) clusterOfGroup(now clock.Micros) replication.ClusterView {
	voters := e.vote.Voters
	return replication.ClusterView{
		GroupSize:         e.replicasFor(len(voters)),
		AllowsDegraded:    func(members []string) bool { return len(members) >= coveringReplicas(len(voters)) },
		Incarnation:       func(id string) (uint64, bool) { return e.memberIncarnation(id, now) },
		ChooseReplacement: func(members, excluded []string) string { return e.chooseReplacement(members, excluded, now) },
	}
}

// memberIncarnation is the incarnation of a voter that may be a member of the group; false
// when it may not.
func (e *Election) memberIncarnation(id string, now clock.Micros) (uint64, bool) {
	departs := e.contacts.isDraining(id) && id != e.contacts.self.ID
	if !isVoter(e.vote.Voters, id) || departs || !e.contacts.hasTwoWayContact(id, now) {
		return 0, false
	}
	return e.contacts.incarnationOf(id, now)
}

// chooseReplacement picks a voter that is no member yet, in a zone of its own if there is one.
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

// proposeZoneSpread moves a replica out of a zone that another member is in.
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
		return proposal{next, e.vote.Voters, "two copies share a zone"}, ok
	}
	return proposal{}, false
}

func (e *Election) zoneOf(id string) string { return e.contacts.zoneOf(id, e.vote.Voters) }

// sharesZone tells whether a core is in the zone of one of the members.
func (e *Election) sharesZone(members []string, id string) bool {
	return slices.ContainsFunc(members, func(other string) bool { return e.zoneOf(other) == e.zoneOf(id) })
}

// unreachableReplicas are the members of this core's group that don't answer it.
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
