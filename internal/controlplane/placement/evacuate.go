package placement

import (
	"slices"

	"tuliprudder/internal/replication"
)

// evacuate moves a shard off stores that are retiring, draining or stalled. Such a store must
// keep its copy until the new group is complete without it, so that no copy is dropped before
// another one has replaced it.
func (p *planner) evacuate(a replication.Assignment) (replication.Assignment, string, bool) {
	if !a.Complete {
		return a, "", false
	}
	evacuating := p.evacuatingMembers(a)
	if len(evacuating) == 0 {
		return a, "", false
	}
	primary, reason := a.Primary.ID, "a replica's store is draining"
	if slices.Contains(evacuating, primary) {
		primary, reason = firstReplicaNotIn(a, evacuating), "the primary's store is draining"
	}
	if primary == "" || primary == a.Primary.ID && p.hasDrainingReplica(a) {
		return a, "", false // a draining replica is replaced once its process has exited
	}
	next, ok := replication.Reassign(a, p.clusterOfGroup(a), primary, evacuating)
	if ok && len(next.Members()) < len(a.Members()) && !p.mayShrink(evacuating) {
		return a, "", false
	}
	return next, reason, ok
}

// evacuatingMembers returns the members of a group whose stores must give up their shards.
func (p *planner) evacuatingMembers(a replication.Assignment) []string {
	return slices.DeleteFunc(a.IDs(), func(id string) bool { return !p.cluster.mustEvacuate(id) })
}

// hasDrainingReplica reports whether the process of a replica's store is about to exit.
func (p *planner) hasDrainingReplica(a replication.Assignment) bool {
	return slices.ContainsFunc(a.Replicas, func(m replication.Member) bool { return p.cluster.Stores[m.ID].Draining })
}

// firstReplicaNotIn returns the first replica that is not excluded, or "".
func firstReplicaNotIn(a replication.Assignment, excluded []string) string {
	for _, replica := range a.Replicas {
		if !slices.Contains(excluded, replica.ID) {
			return replica.ID
		}
	}
	return ""
}

// mayShrink reports whether evacuating members may leave the group without being replaced. Members
// that an operator is retiring may not: they keep running until their copies are elsewhere.
func (p *planner) mayShrink(evacuating []string) bool {
	return !slices.ContainsFunc(evacuating, func(id string) bool { return p.cluster.Stores[id].Retiring })
}
