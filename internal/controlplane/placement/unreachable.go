package placement

import (
	"slices"

	"tuliprudder/internal/replication"
)

// replaceUnreachable finds other replicas for a primary that some do not answer although all
// live, or whose disk holds writes back. A primary that is alone again before its group
// was ever complete is replaced by another trusted store: it may be the one that nobody
// hears.
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

// reassignWithoutPrimary makes the first replica that can have a group the primary.
func (p *planner) reassignWithoutPrimary(a replication.Assignment) (replication.Assignment, bool) {
	for _, replica := range a.Replicas {
		if next, ok := replication.Reassign(a, p.clusterOfGroup(a), replica.ID, []string{a.Primary.ID}); ok {
			return next, true
		}
	}
	return a, false
}

// unreachableReplicas are the replicas that don't answer the primary of a shard, by its report.
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

// evacuatingReplicas are, in a group that was never complete, the replicas that have to give
// up their shards. Those of a complete group are up to moveOffDraining.
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

// recordPartitions has a store share no group with some others for a while.
func (p *planner) recordPartitions(id string, others []string) {
	for _, other := range others {
		p.state.PartitionedUntil[PairOf(id, other)] = p.cluster.Now + p.settings.PartitionCooldown
	}
}

// otherTrustedStore is a trusted store other than the primary that may lead; "" when there is none.
func (p *planner) otherTrustedStore(a replication.Assignment) string {
	for _, id := range a.Trusted {
		if id != a.Primary.ID && p.cluster.isLive(id) && !p.cluster.mustEvacuate(id) {
			return id
		}
	}
	return ""
}
