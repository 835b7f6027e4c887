package election

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Bootstrap of a fleet (DESIGN §5.1). It happens once, only if the settings mark this as the first
// start, is done by the cores at the seeds, and needs the agreement of every one of them. All
// other cores, and every core that lost its disk, become voters later.

// maybeBootstrap starts the bootstrap of the fleet if this core is the bootstrap candidate.
func (e *Election) maybeBootstrap(now clock.Micros) {
	self := e.contacts.self
	if !e.settings.Bootstrap || e.clusterExists || !slices.Contains(e.seeds, self.Peer) {
		return
	}
	if e.group().IsPrimary() && now-e.wonTermAt < termCommitTimeout {
		return // the bootstrap term was won and is being committed
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

// founders returns the cores at the seeds, this one included; nil unless recent heartbeats of all
// of them were received. None has a committed term: otherwise clusterExists would be set.
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

// bootstrapCandidate returns the ID of the founder that requests the votes: the lowest of those
// whose settings mark this as the first start.
func (e *Election) bootstrapCandidate(founders []CoreRef) string {
	first := e.contacts.self.ID
	for _, ref := range founders {
		if ref.ID < first && e.contacts.byID[ref.ID].heartbeat.Bootstrap {
			first = ref.ID
		}
	}
	return first
}

// bootstrapAssignment returns the first group, under a term above every term that a founder has
// granted.
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

// bootstrapReplicas returns the other members of the first group. Founders in zones without another
// member are preferred.
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

// bootstrapRefusalReason returns why this core refuses a bootstrap, or "" if it agrees. Votes
// granted in an unfinished bootstrap are no reason to refuse.
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
