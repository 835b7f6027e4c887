package simulator

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// extraSyncTime is how much longer one replica's disk takes while the others are lost: an
// acknowledgement that does not wait for the last replica is given in that time.
const extraSyncTime = 300 * clock.Millisecond

// slowDownDisk makes a daemon's disk slow until it is healed.
func slowDownDisk(n *Node) (heal func()) {
	n.disk.extraSyncTime = extraSyncTime
	n.world.Tracef("%s: every sync takes %d ms longer", n.Name, extraSyncTime/clock.Millisecond)
	return func() { n.disk.extraSyncTime, n.lastFaultAt = 0, n.world.Now }
}

// acknowledgementScenarios wipe every replica but the slowest, as far as the fleet tolerates
// it, at the moment in which a caller or an operator receives its acknowledgement.
func acknowledgementScenarios(shape Shape) []Fault {
	const duration = 1500 * clock.Millisecond
	faults := []Fault{{Name: familySecondLoss + "all copies of a slot but the slowest right after an acknowledgement", Duration: duration, ReducesRedundancy: true, Inject: func(w *World) func() {
		return w.wipeAtBatchAck(w.Random.Intn(shape.Shards))
	}}}
	if shape.Cores > 1 {
		faults = append(faults, Fault{Name: familySecondLoss + "all copies of the control state but the slowest right after an acknowledgement", Duration: duration, ReducesRedundancy: true, Inject: (*World).wipeAtConfigurationAck})
	}
	return faults
}

// wipeAtConfigurationAck puts configurations until one is confirmed, and wipes then the
// members of the control state's group but the slowest.
func (w *World) wipeAtConfigurationAck() func() {
	primary := w.primary()
	var members []*Node
	for _, id := range primary.Core.Vote().Committed.IDs() {
		if n := w.nodeByID(id); n != nil && n.up {
			members = append(members, n)
		}
	}
	if len(members) < 2 {
		return nil
	}
	slowest := members[len(members)-1]
	heal := slowDownDisk(slowest)
	var boot func()
	for attempt := 0; attempt < 5 && boot == nil; attempt++ {
		finished := false
		w.Workload.SendConfiguration(primary, w.Workload.newConfigurationChange(0, 0), false, func(p *ConfigurationPut) {
			finished = true
			if p != nil && p.Version > 0 {
				boot = wipeAll(members[:min(w.Shape.tolerance(), len(members)-1)], w.Shape.Shards)
			}
		})
		w.RunUntil(operatorTimeout+clock.Second, func() bool { return finished })
	}
	return func() {
		heal()
		if boot != nil {
			boot()
		}
	}
}

// wipeAtBatchAck submits batches until one of a shard is accepted, and wipes then the shard's
// replicas but the slowest.
func (w *World) wipeAtBatchAck(shardNumber int) func() {
	replicas := w.replicasOf(shardNumber)
	if len(replicas) < 2 {
		return nil
	}
	heal := slowDownDisk(replicas[len(replicas)-1])
	var boot func()
	w.Workload.OnAcknowledgement = func(b *Batch, owner string) {
		primary := replicas[0]
		isOfShard := owner == primary.ID && shard.ShardOf(b.ID, w.shardCount()) == shardNumber
		if boot == nil && isOfShard && primary.up {
			w.Tracef("the replicas of shard %d but the slowest are lost right after the acknowledgement of %s", shardNumber, b.ID)
			boot = wipeAll(replicas[:min(w.Shape.tolerance(), len(replicas)-1)], w.Shape.Shards)
		}
	}
	for range 4 * w.Shape.Shards {
		w.Workload.SubmitBatch(1, 200)
	}
	w.RunUntil(4*clock.Second, func() bool { return boot != nil })
	w.Workload.OnAcknowledgement = nil
	return func() {
		heal()
		if boot != nil {
			boot()
		}
	}
}
