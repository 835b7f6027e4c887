package election

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is how a fleet is bootstrapped (DESIGN §5.1): once, only where the settings say that
// it is the first start, by the cores at the seeds, and only if every one of them
// agrees. All other cores, and every core that lost its disk, are given a vote later.

// maybeBootstrap bootstraps a fleet if this core is the one to do it.
func (e *Election) maybeBootstrap(now clock.Micros) {
	self := e.contacts.self
	if !e.settings.Bootstrap || e.clusterExists || !slices.Contains(e.seeds, self.Peer) {
		return
	}
	if e.group().IsPrimary() && now-e.wonTermAt < termCommitTimeout {
		return // the bootstrap is won and about to be committed
	}
	founders := e.founders(now)
	if founders == nil || e.bootstrapCandidate(founders) != self.ID {
		return
	}
	assignment := e.bootstrapAssignment(founders, now)
	e.effects.Emit(machine.LogEvent{Event: BootstrapStarted{
		Term:   assignment.Epoch,
		Member: self.ID,
		Group:  assignment.IDs(),
		Voters: voterIDs(founders),
	}})
	e.requestVotes(&campaign{
		request: VoteRequest{
			Fleet:      "f-" + self.ID,
			Assignment: assignment,
			Voters:     founders,
			Candidate:  self,
			Bootstrap:  true,
		},
		quorums:   quorums{founders},
		unanimous: true,
	}, now)
}

// founders are the empty cores at the seeds; nil unless all of them are heard.
func (e *Election) founders(now clock.Micros) []CoreRef {
	refs := []CoreRef{e.contacts.self}
	for _, id := range e.contacts.ids() {
		heard := e.contacts.byID[id]
		if slices.Contains(e.seeds, heard.heartbeat.Core.Peer) && now-heard.heardAt <= e.settings.CoreTimeout {
			refs = append(refs, heard.heartbeat.Core)
		}
	}
	wanted := e.settings.Founders
	if wanted == 0 {
		wanted = len(e.seeds)
	}
	if len(refs) != wanted {
		return nil
	}
	return refs
}

// bootstrapCandidate is the one that asks the others: the first in the order of ids of those
// whose settings say that it is the first start.
func (e *Election) bootstrapCandidate(founders []CoreRef) string {
	first := e.contacts.self.ID
	for _, ref := range founders {
		if ref.ID < first && e.contacts.byID[ref.ID].heartbeat.Bootstrap {
			first = ref.ID
		}
	}
	return first
}

// bootstrapAssignment is the first group, under a term above all that the founders granted.
func (e *Election) bootstrapAssignment(founders []CoreRef, now clock.Micros) replication.Assignment {
	self := e.contacts.self.ID
	epoch := e.vote.Term + 1
	for _, ref := range founders {
		epoch = max(epoch, e.contacts.byID[ref.ID].heartbeat.Vote.Term+1)
	}
	return replication.Assignment{
		Epoch:    epoch,
		Primary:  replication.Member{ID: self, Incarnation: e.contacts.incarnation},
		Replicas: e.bootstrapReplicas(founders, now),
		Trusted:  []string{self},
	}
}

// bootstrapReplicas are the other members of the first group, those in zones of their own first.
func (e *Election) bootstrapReplicas(founders []CoreRef, now clock.Micros) []replication.Member {
	var replicas []replication.Member
	members := []string{e.contacts.self.ID}
	for _, mayShareZone := range []bool{false, true} {
		for _, ref := range founders {
			isComplete := len(members) == e.replicasFor(len(founders))
			if isComplete || slices.Contains(members, ref.ID) || !mayShareZone && e.sharesZone(members, ref.ID) {
				continue
			}
			if member, ok := e.contacts.liveMember(ref.ID, now); ok {
				members = append(members, ref.ID)
				replicas = append(replicas, member)
			}
		}
	}
	return replicas
}

// bootstrapRefusalReason is why a core does not agree to a bootstrap; "" when it does. What
// an unfinished bootstrap left behind binds nobody.
func (e *Election) bootstrapRefusalReason(request VoteRequest) string {
	if !e.vote.Committed.IsZero() || e.clusterExists {
		return "the fleet was bootstrapped before"
	}
	if !e.settings.Bootstrap {
		return ""
	}
	for _, ref := range request.Voters {
		if !slices.Contains(e.seeds, ref.Peer) {
			return "the seeds here name other founders"
		}
	}
	return ""
}
