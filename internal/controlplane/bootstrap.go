package controlplane

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is how a fleet begins (DESIGN §5.1): once, only where the settings say that
// it is the first start, by the cores at the seeds, and only if every one of them
// agrees. All other cores, and every core that lost its disk, are given a vote later.

// maybeBootstrap begins a fleet if this core is the one to do it.
func (s *Core) maybeBootstrap(now clock.Micros) {
	if !s.set.Bootstrap || s.clusterExists || !slices.Contains(s.seeds, s.self.Peer) {
		return
	}
	if s.group().IsPrimary() && now-s.wonTermAt < termCommitTimeout {
		return // the founding is won and on its way to be complete
	}
	founders := s.bootstrapCores(now)
	if founders == nil || s.bootstrapCandidate(founders) != s.self.ID {
		return
	}
	epoch := s.vote.Term + 1
	for _, ref := range founders {
		epoch = max(epoch, s.cores[ref.ID].heartbeat.Vote.Term+1)
	}
	assignment := replication.Assignment{Epoch: epoch, Primary: replication.Member{ID: s.self.ID, Incarnation: s.incarnation}}
	assignment.Replicas = s.bootstrapReplicas(founders, now)
	assignment.Trusted = []string{s.self.ID}
	s.Emit(machine.LogEvent{Event: BootstrapStarted{
		Term:   epoch,
		Member: s.self.ID,
		Group:  assignment.IDs(),
		Voters: voterIDs(founders),
	}})
	s.requestVotes(&campaign{
		request:   VoteRequest{Fleet: "f-" + s.self.ID, Assignment: assignment, Voters: founders, Candidate: s.self, Bootstrap: true},
		quorums:   [][]CoreRef{founders},
		unanimous: true,
	}, now)
}

// bootstrapCores are the empty cores at the seeds; nil unless all of them are heard.
func (s *Core) bootstrapCores(now clock.Micros) []CoreRef {
	refs := []CoreRef{s.self}
	for _, id := range sortedIDs(s.cores) {
		heard := s.cores[id]
		if slices.Contains(s.seeds, heard.heartbeat.Core.Peer) && now-heard.heardAt <= s.set.CoreTimeout {
			refs = append(refs, heard.heartbeat.Core)
		}
	}
	proposal := s.set.Founders
	if proposal == 0 {
		proposal = len(s.seeds)
	}
	if len(refs) != proposal {
		return nil
	}
	return refs
}

// bootstrapCandidate is the one that asks the others: the first in the order of ids of those
// whose settings say that it is the first start.
func (s *Core) bootstrapCandidate(founders []CoreRef) string {
	first := s.self.ID
	for _, ref := range founders {
		if ref.ID < first && s.cores[ref.ID].heartbeat.Bootstrap {
			first = ref.ID
		}
	}
	return first
}

// bootstrapReplicas are the other members of the first group, zones of their own first.
func (s *Core) bootstrapReplicas(founders []CoreRef, now clock.Micros) []replication.Member {
	var replicas []replication.Member
	members := []string{s.self.ID}
	for _, mayShareZone := range []bool{false, true} {
		for _, ref := range founders {
			if len(members) == s.copiesFor(len(founders)) || slices.Contains(members, ref.ID) || !mayShareZone && s.sharesZone(members, ref.ID) {
				continue
			}
			if member, ok := s.liveMember(ref.ID, now); ok {
				members, replicas = append(members, ref.ID), append(replicas, member)
			}
		}
	}
	return replicas
}

// bootstrapObjection is why a core does not agree to a founding; "" when it does. What
// an unfinished founding left behind binds nobody.
func (s *Core) bootstrapObjection(request VoteRequest) string {
	if !s.vote.Committed.IsZero() || s.clusterExists {
		return "the fleet was founded before"
	}
	if !s.set.Bootstrap {
		return ""
	}
	for _, ref := range request.Voters {
		if !slices.Contains(s.seeds, ref.Peer) {
			return "the seeds here name other founders"
		}
	}
	return ""
}
