package replication

import "tuliprudder/internal/clock"

// Group is this daemon's membership in the replication group of one unit. The daemon's machine
// reads its fields; only Groups writes them.
type Group struct {
	Unit  string
	Epoch uint64
	Role  Role
	// Seq is the sequence number of the last entry that the primary appended or the replica
	// applied.
	Seq uint64
	// SyncedSeq is the sequence number up to which this daemon's disk has the log without a gap.
	SyncedSeq uint64
	// stateEpoch is the epoch under which the state at Seq was written: two members with the same
	// stateEpoch and Seq have the same state. It is 0 if there is no state.
	stateEpoch uint64

	asPrimary primaryState
	asReplica replicaState
}

// primaryState is the part of a Group that only a primary uses.
type primaryState struct {
	replicas []*replicaProgress
	log      unconfirmedLog
	snapshot outgoingSnapshot
	// adoptedLocally reports whether this member's adopt record of the epoch is on disk.
	adoptedLocally bool
	// readyReportedAt is when StateMachine.GroupReady was last called as a repetition.
	readyReportedAt clock.Micros
	// formerLeaseEnd is when the lease that this member granted to the former primary expires.
	formerLeaseEnd clock.Micros
	servingSince   clock.Micros
	// leaseRequestedAt is when leases on this unit were last requested from any replica.
	leaseRequestedAt clock.Micros
}

// replicaProgress is what the primary knows about one replica.
type replicaProgress struct {
	peer string // address
	// syncedSeq is the sequence number up to which the replica's disk has the log without a gap.
	syncedSeq uint64
	// snapshotInstalled reports whether the epoch's snapshot is on the replica's disk.
	snapshotInstalled bool
	transfer          snapshotTransfer
	// leaseUntil is when the lease that the replica granted expires, on the primary's clock.
	leaseUntil clock.Micros
}

// replicaState is the part of a Group that only a replica uses.
type replicaState struct {
	primary  string // address
	snapshot incomingSnapshot
	granted  grantedLease
	// reorderBuffer holds entries that arrived before their predecessors, by sequence number.
	reorderBuffer map[uint64]Append
}

// IsPrimary reports whether this member is the primary of its epoch, even if it is not serving yet.
func (g *Group) IsPrimary() bool {
	return g.Role == SendingSnapshot || g.Role == AwaitingCommit || g.Role == Serving
}

// Peer returns the address of the first replica on a primary, and that of the primary on other
// members.
func (g *Group) Peer() string {
	if g.IsPrimary() && len(g.asPrimary.replicas) > 0 {
		return g.asPrimary.replicas[0].peer
	}
	return g.asReplica.primary
}

// Peers returns the addresses of the other members that this one knows. A replica knows only its
// primary.
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

// UnreachableReplicas returns the addresses of the replicas that have timed out: while serving, those
// that granted no new lease; while sending the snapshot, those that acknowledged no further chunk.
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

// replicaAt returns the replica with the given address, or nil.
func (g *Group) replicaAt(peer string) *replicaProgress {
	for _, replica := range g.asPrimary.replicas {
		if replica.peer == peer {
			return replica
		}
	}
	return nil
}
