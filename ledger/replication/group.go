package replication

import (
	"math"

	"tuliprudder/kernel/clock"
)

// Role is what this member does in the current epoch.
type Role int

// The roles. Cold holds data of an earlier life or epoch and does nothing; Copying is
// a primary that fills its replicas; Copied waits for the word that the group is
// complete; Serving confirms; Filling and Backing are a replica's.
const (
	Cold Role = iota
	Copying
	Copied
	Serving
	Filling
	Backing
)

var roleNames = map[Role]string{Cold: "cold", Copying: "copying", Copied: "copied", Serving: "serving", Filling: "filling", Backing: "backing"}

// String names the role.
func (r Role) String() string { return roleNames[r] }

// entry is one that the primary gave and not every member has confirmed.
type entry struct {
	seq    uint64
	body   []byte
	local  bool // on the primary's own disk
	sentAt clock.Micros
	at     clock.Micros // when it was given
}

// replica is a replica as its primary knows it.
type replica struct {
	peer       string
	synced     uint64 // last entry on its disk
	copied     bool   // the epoch's copy is on its disk
	pieceSent  []clock.Micros
	pieceTook  []bool
	copyAt     clock.Micros // the first piece was last sent, or a piece last taken
	copyFirst  clock.Micros // when the copy began, or last made headway
	leaseUntil clock.Micros
}

// Group is this daemon's membership in the replication group of one unit.
type Group struct {
	Unit    string
	Epoch   uint64
	Role    Role
	Seq     uint64 // last entry given (primary) or taken (replica)
	Durable uint64 // last entry on this disk, in a row
	// stateEpoch is the epoch under which the state at Seq was written: two members
	// at the same stateEpoch and Seq hold the same state.
	stateEpoch uint64
	replicas   []*replica // primary's
	primary    string     // replica's: the primary's address
	open       []entry
	pieces     [][][]byte // primary: the copy, piece by piece
	copySeq    uint64
	copyBase   uint64 // primary: the stateEpoch that the copy continues
	copyLocal  bool
	copyAt     clock.Micros // when readiness was last told
	copyWait   clock.Micros // the lease granted to the former primary ends
	servedAt   clock.Micros
	gathered   map[int][][]byte // replica: pieces of the epoch's copy
	copyEpoch  uint64           // replica: epoch of the copy being gathered or written
	granted    clock.Micros     // replica: must not be primary before
	grantedAt  uint64           // replica: epoch of the lease it granted
	recovered  bool             // leases granted before the restart are not known
	beatAt     clock.Micros
	early      map[uint64]Append // replica: entries that came before their turn
}

// Peer is the primary's address at a replica, the first replica's at the primary.
func (r *Group) Peer() string {
	if r.Leads() && len(r.replicas) > 0 {
		return r.replicas[0].peer
	}
	return r.primary
}

// Peers lists the addresses of the other members that this one knows.
func (r *Group) Peers() []string {
	if !r.Leads() {
		return []string{r.primary}
	}
	var out []string
	for _, member := range r.replicas {
		out = append(out, member.peer)
	}
	return out
}

// Open is how many entries are not confirmed yet.
func (r *Group) Open() int { return len(r.open) }

// LeaseUntil is when the primary's lease ends: the earliest of those that all of its
// replicas granted. It is zero for other roles.
func (r *Group) LeaseUntil() clock.Micros {
	if r.Role != Serving {
		return 0
	}
	until := clock.Micros(math.MaxInt64)
	for _, member := range r.replicas {
		until = min(until, member.leaseUntil)
	}
	return until
}

// Oldest is how long the oldest entry that is not confirmed has waited.
func (r *Group) Oldest(now clock.Micros) clock.Micros {
	if len(r.open) == 0 {
		return 0
	}
	return now - r.open[0].at
}

// Silent lists the addresses of the replicas that have not answered this primary for
// a while, neither with a lease nor with the copy.
func (r *Group) Silent(now clock.Micros) []string {
	var out []string
	for _, member := range r.replicas {
		if r.silent(member, now) {
			out = append(out, member.peer)
		}
	}
	return out
}

func (r *Group) silent(member *replica, now clock.Micros) bool {
	switch r.Role {
	case Serving:
		return now > member.leaseUntil+silentAfter && now-r.servedAt > silentAfter
	case Copying:
		return r.copyLocal && !member.copied && member.copyFirst > 0 && now-member.copyFirst > copyPatience
	}
	return false
}

// CopyLeft is how many pieces of the copy the replicas of this primary still lack.
func (r *Group) CopyLeft() int {
	left := 0
	for _, member := range r.replicas {
		for _, took := range member.pieceTook {
			if !took && !member.copied {
				left++
			}
		}
	}
	return left
}

// Leads tells whether this member is the primary in its epoch, serving or not yet.
func (r *Group) Leads() bool { return r.Role == Copying || r.Role == Copied || r.Role == Serving }

// replica finds a replica by its address; nil for others.
func (r *Group) replica(peer string) *replica {
	for _, member := range r.replicas {
		if member.peer == peer {
			return member
		}
	}
	return nil
}

// synced is the last entry that is on the disk of every replica.
func (r *Group) synced() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, member := range r.replicas {
		lowest = min(lowest, member.synced)
	}
	return lowest
}

// syncedSomewhere is the last entry that is on the disk of at least one replica.
func (r *Group) syncedSomewhere() uint64 {
	highest := uint64(0)
	for _, member := range r.replicas {
		highest = max(highest, member.synced)
	}
	return highest
}
