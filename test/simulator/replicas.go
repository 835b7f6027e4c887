package simulator

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/membership"
)

// FullyReplicated says whether every shard and the control state have all their replicas, as
// many as the tolerance requires, and all of them live.
func (w *World) FullyReplicated() bool {
	core := w.servingCore()
	if core == nil || len(core.State().Shards) == 0 {
		return false
	}
	for _, assignment := range core.State().Shards {
		if !assignment.Complete || !w.areLive(assignment.IDs(), w.Shape.replicas(w.Shape.Stores)) {
			return false
		}
	}
	vote := core.Vote()
	var voters []string
	for _, voter := range vote.Voters {
		voters = append(voters, voter.ID)
	}
	return len(vote.Committed.IDs()) >= w.Shape.replicas(w.Shape.Cores) && w.areLive(voters, 0)
}

// servingCore is the core that serves; nil where none does.
func (w *World) servingCore() *controlplane.Core {
	for _, n := range w.nodes(membership.Core) {
		if n.up && !n.frozen && n.Core.IsServing() {
			return n.Core
		}
	}
	return nil
}

// areLive says whether these are at least so many daemons, and all live.
func (w *World) areLive(ids []string, minCount int) bool {
	isDead := func(id string) bool { return !w.isLive(id) }
	return len(ids) >= minCount && !slices.ContainsFunc(ids, isDead)
}

// replicasOf are the daemons that hold a replica of a shard, as the primary core has it.
func (w *World) replicasOf(shardNumber int) []*Node {
	primary := w.primary()
	if !primary.up || primary.Core == nil || shardNumber >= len(primary.Core.State().Shards) {
		return nil
	}
	var out []*Node
	for _, id := range primary.Core.State().Shards[shardNumber].IDs() {
		if n := w.nodeByID(id); n != nil {
			out = append(out, n)
		}
	}
	return out
}

func (w *World) isLive(id string) bool {
	n := w.nodeByID(id)
	return n != nil && n.up && !n.frozen
}

// Describe describes the control state and the shards that lack a replica, for a violation.
func (w *World) Describe() string {
	var out []string
	for _, n := range w.nodes(membership.Core) {
		if !n.up {
			out = append(out, n.Name+" down")
			continue
		}
		vote := n.Core.Vote()
		out = append(out, fmt.Sprintf("%s(%s) %s term %d pending %v committed %d %v", n.Name, n.ID, n.Core.Groups().Group("core").Role, vote.Term, vote.Pending.IDs(), vote.Committed.Epoch, vote.Committed.IDs()))
		if !n.Core.IsServing() {
			continue
		}
		for shardNumber, assignment := range n.Core.State().Shards {
			if !assignment.Complete || !w.areLive(assignment.IDs(), 0) {
				out = append(out, fmt.Sprintf("shard %d %+v", shardNumber, assignment))
			}
		}
	}
	return strings.Join(out, "; ")
}

// shardCount is the number of shards, as an edge knows it.
func (w *World) shardCount() int {
	for _, name := range w.Names(membership.Edge) {
		if n := w.Nodes[name]; n.edge != nil && len(n.edge.Reader.ShardMap().Shards) > 0 {
			return len(n.edge.Reader.ShardMap().Shards)
		}
	}
	return 1
}
