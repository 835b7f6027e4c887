package replication

import "tuliprudder/internal/clock"

// Group is this daemon's membership in the replication group of one unit. Its fields are read by
// the daemon's machine and written by Groups only.
type Group struct {
	Unit  string
	Epoch uint64
	Role  Role
	// Seq is the number of the last entry that the primary appended or the replica applied.
	Seq uint64
	// SyncedSeq is the number of the last entry up to which this disk has the log without a gap.
	SyncedSeq uint64
	// stateEpoch is the epoch under which the state at Seq was written: two members with the same
	// stateEpoch and Seq have the same state. It is 0 where there is no state.
	stateEpoch uint64

	asPrimary primaryState
	asReplica replicaState
}

// primaryState is what the primary keeps about its group. It is meaningful in the primary's roles.
type primaryState struct {
	replicas []*replicaProgress
	log      unconfirmedLog
	snapshot outgoingSnapshot
	// adoptedLocally: this member's own record of the epoch is on disk.
	adoptedLocally bool
	// readyReportedAt is when StateMachine.GroupReady was last called again.
	readyReportedAt clock.Micros
	// formerLeaseEnd is when the lease that this member granted to the former primary ends.
	formerLeaseEnd clock.Micros
	servingSince   clock.Micros
	// leaseRequestedAt is when leases on this unit were last requested from any replica.
	leaseRequestedAt clock.Micros
}

// replicaProgress is what the primary knows of one replica.
type replicaProgress struct {
	peer string // address
	// syncedSeq is the last entry up to which the replica's disk has the log without a gap.
	syncedSeq uint64
	// snapshotInstalled: the epoch's snapshot is on the replica's disk.
	snapshotInstalled bool
	transfer          snapshotTransfer
	// leaseUntil is the end of the lease that the replica granted, on the primary's clock.
	leaseUntil clock.Micros
}

// replicaState is what a replica keeps about its group.
type replicaState struct {
	primary  string // address
	snapshot incomingSnapshot
	granted  grantedLease
	// reorderBuffer are entries that arrived before their predecessors, by number.
	reorderBuffer map[uint64]Append
}

// IsPrimary reports whether this member is the primary of its epoch, serving or not yet.
func (g *Group) IsPrimary() bool {
	return g.Role == SendingSnapshot || g.Role == AwaitingCommit || g.Role == Serving
}

// Peer is the address of the first replica at the primary, and of the primary at other members.
func (g *Group) Peer() string {
	if g.IsPrimary() && len(g.asPrimary.replicas) > 0 {
		return g.asPrimary.replicas[0].peer
	}
	return g.asReplica.primary
}

// Peers lists the addresses of the other members that this one knows: a replica knows its
// primary only.
func (g *Group) Peers() []string {
	if !g.IsPrimary() {
		return []string{g.asReplica.primary}
	}
	var out []string
	for _, replica := range g.asPrimary.replicas {
		out = append(out, replica.peer)
	}
	return out
}

// UnreachableReplicas lists the addresses of the replicas that have failed to answer this primary
// for a while, neither granting a lease nor acknowledging the snapshot.
func (g *Group) UnreachableReplicas(now clock.Micros) []string {
	var out []string
	for _, replica := range g.asPrimary.replicas {
		if g.isUnreachable(replica, now) {
			out = append(out, replica.peer)
		}
	}
	return out
}

func (g *Group) isUnreachable(replica *replicaProgress, now clock.Micros) bool {
	switch g.Role {
	case Serving:
		leaseOverdue := now > replica.leaseUntil+unreachableAfter
		hadTimeToGrant := now-g.asPrimary.servingSince > unreachableAfter
		return leaseOverdue && hadTimeToGrant
	case SendingSnapshot:
		return g.asPrimary.adoptedLocally && !replica.snapshotInstalled && replica.transfer.isStalled(now)
	}
	return false
}

// replicaAt finds a replica by its address; nil where there is none.
func (g *Group) replicaAt(peer string) *replicaProgress {
	for _, replica := range g.asPrimary.replicas {
		if replica.peer == peer {
			return replica
		}
	}
	return nil
}
