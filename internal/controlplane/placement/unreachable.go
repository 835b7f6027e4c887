package placement

import (
	"slices"

	"tuliprudder/internal/replication"
)

// replaceUnreachable reassigns a shard whose primary reports replicas as unreachable although all
// members are live. In a group that was never complete it also replaces members that must be
// evacuated. If replicas of such a group are unreachable or its primary must be evacuated, another
// trusted store becomes the primary if there is one, because the primary itself may be the member
// that no other can reach.
func (p *planner) replaceUnreachable(shard int, a replication.Assignment) (replication.Assignment, bool) {
	unreachable := p.unreachableReplicas(shard, a)
	evacuatePrimary := !a.Complete && p.cluster.mustEvacuate(a.Primary.ID)
	excluded := append(slices.Clone(unreachable), p.evacuatingReplicas(a)...)
	if len(excluded) == 0 && !evacuatePrimary {
		return a, false
	}
	p.recordPartitions(a.Primary.ID, unreachable)
	primary := a.Primary.ID
	if !a.Complete && (evacuatePrimary || len(unreachable) > 0) {
		if other := p.otherTrustedStore(a); other != "" {
			primary, excluded = other, []string{a.Primary.ID}
		}
	}
	if next, ok := replication.Reassign(a, p.clusterOfGroup(a), primary, excluded); ok || !a.Complete {
		return next, ok
	}
	return p.reassignWithoutPrimary(a)
}

// reassignWithoutPrimary makes the first replica for which a group can be formed the primary.
func (p *planner) reassignWithoutPrimary(a replication.Assignment) (replication.Assignment, bool) {
	for _, replica := range a.Replicas {
		if next, ok := replication.Reassign(a, p.clusterOfGroup(a), replica.ID, []string{a.Primary.ID}); ok {
			return next, true
		}
	}
	return a, false
}

// unreachableReplicas returns the replicas that the primary of a shard reports as unreachable. A
// report of another epoch is ignored.
func (p *planner) unreachableReplicas(shard int, a replication.Assignment) []string {
	report, ok := p.cluster.Stores[a.Primary.ID].Unreachable[shard]
	if !ok || report.Epoch != a.Epoch {
		return nil
	}
	var out []string
	for _, replica := range a.Replicas {
		if slices.Contains(report.Peers, p.cluster.Stores[replica.ID].Peer) {
			out = append(out, replica.ID)
		}
	}
	return out
}

// evacuatingReplicas returns the replicas of a group that was never complete whose stores must
// give up their shards. For a complete group, evacuate handles them.
func (p *planner) evacuatingReplicas(a replication.Assignment) []string {
	if a.Complete {
		return nil
	}
	var out []string
	for _, replica := range a.Replicas {
		if p.cluster.mustEvacuate(replica.ID) {
			out = append(out, replica.ID)
		}
	}
	return out
}

// recordPartitions keeps a store out of groups with the given others for PartitionCooldown.
func (p *planner) recordPartitions(id string, others []string) {
	for _, other := range others {
		p.state.PartitionedUntil[PairOf(id, other)] = p.cluster.Now + p.settings.PartitionCooldown
	}
}

// otherTrustedStore returns a trusted store, other than the primary, that can be the primary, or
// "".
func (p *planner) otherTrustedStore(a replication.Assignment) string {
	for _, id := range a.Trusted {
		if id != a.Primary.ID && p.cluster.isLive(id) && !p.cluster.mustEvacuate(id) {
			return id
		}
	}
	return ""
}
