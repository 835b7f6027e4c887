package token

import (
	"encoding/json"
	"maps"

	"tuliprudder/internal/machine"
)

// KnownPositions is what one reading daemon knows about all writers' positions, from their
// announcements and from the cluster map. It is not safe for concurrent use.
type KnownPositions struct {
	announcements map[int]Announcement
	versions      map[int]machine.Update // epoch and sequence number of each announcement
	// fromPages holds, by writer, the positions received with pages of results. They carry no
	// information about the writer's ownerships, so they apply only to reads within one shard.
	fromPages map[int]int64
	owners    map[int]Owner
	shards    int
	minEpochs map[int]uint64 // by shard: the epoch in the cluster map, whether or not its group is complete
}

// NewKnownPositions returns an empty KnownPositions.
func NewKnownPositions() *KnownPositions {
	return &KnownPositions{
		announcements: map[int]Announcement{},
		versions:      map[int]machine.Update{},
		fromPages:     map[int]int64{},
		owners:        map[int]Owner{},
		minEpochs:     map[int]uint64{},
	}
}

// SetShardEpochs sets the epochs of all shards in the cluster map. A shard's epoch never decreases.
func (v *KnownPositions) SetShardEpochs(epochs []uint64) {
	v.shards = len(epochs)
	for shard, epoch := range epochs {
		v.minEpochs[shard] = max(v.minEpochs[shard], epoch)
	}
}

// Receive handles a writer's announcement and reports whether it was accepted. An announcement
// that is not newer than the last one, or that can't be decoded, is ignored.
func (v *KnownPositions) Receive(update machine.Update) bool {
	var a Announcement
	if json.Unmarshal(update.Value, &a) != nil || a.Writer == 0 {
		return false
	}
	if version, ok := v.versions[a.Writer]; ok && !update.Newer(version) {
		return false
	}
	v.versions[a.Writer] = machine.Update{Epoch: update.Epoch, Seq: update.Seq}
	// The position never decreases: what was readable stays readable.
	a.PersistedUpTo = max(a.PersistedUpTo, v.announcements[a.Writer].PersistedUpTo)
	v.announcements[a.Writer] = a
	for _, owned := range a.Shards {
		if owner, ok := v.owners[owned.Shard]; !ok || owned.Epoch >= owner.Epoch {
			v.owners[owned.Shard] = Owner{Writer: a.Writer, Peer: a.Peer, OwnedShard: owned}
		}
	}
	return true
}

// Advance records a writer's persisted-up-to position that was received with a page of results, and
// reports whether it is higher than the known one. It is ignored before the writer's first
// announcement. It applies only to reads of one shard: over several shards, the order of a batch's
// results depends on the ownerships too, which only announcements carry.
func (v *KnownPositions) Advance(writer int, persistedUpTo int64) bool {
	if _, known := v.announcements[writer]; !known || persistedUpTo <= v.persistedUpTo(writer) {
		return false
	}
	v.fromPages[writer] = persistedUpTo
	return true
}

// persistedUpTo returns a writer's highest known persisted-up-to position.
func (v *KnownPositions) persistedUpTo(writer int) int64 {
	return max(v.announcements[writer].PersistedUpTo, v.fromPages[writer])
}

// Owner returns the owner of a shard under the highest epoch announced. It returns false if there
// is none, or while the cluster map has a higher epoch whose owner has not announced itself yet.
func (v *KnownPositions) Owner(shard int) (Owner, bool) {
	owner, ok := v.owners[shard]
	if !ok || owner.Epoch < v.minEpochs[shard] {
		return owner, false
	}
	return owner, true
}

// ReadableInShard returns the positions up to which a reader may read within one shard: the
// persisted-up-to position of its owner and, for former writers, everything that their
// successors have committed. It is empty if the shard has no known owner.
func (v *KnownPositions) ReadableInShard(shard int) Vector {
	owner, ok := v.Owner(shard)
	if !ok {
		return Vector{}
	}
	out := Vector{}
	maps.Copy(out, owner.LastPositions)
	// Results of the owner's own earlier ownership are all committed too, but may lie above a position
	// that is unfinished in another shard. What was readable under the owner in between must stay readable.
	out[owner.Writer] = max(out[owner.Writer], v.persistedUpTo(owner.Writer))
	return out
}

// ReadableUpTo returns the positions up to which a reader may read over all shards, and whether
// every shard has a known owner (docs/DESIGN.md §6.5).
//
// A writer that no longer owns any shard is read to its last position once all owners are
// known. A successor is limited to positions below its first one in a shard while some results
// of a former writer there are not readable yet. This preserves the order of a batch's results.
func (v *KnownPositions) ReadableUpTo() (upTo Vector, complete bool) {
	upTo = Vector{}
	for writer, announcement := range v.announcements {
		upTo[writer] = announcement.PersistedUpTo
	}
	formerWriters, complete := v.formerWriters()
	if complete {
		for writer, last := range formerWriters {
			upTo[writer] = max(upTo[writer], last)
		}
	}
	// Limiting one writer may limit others, so repeat until nothing changes.
	for v.limitSuccessors(upTo) {
	}
	return upTo, complete
}

// formerWriters returns the last position of each writer that no longer owns any shard, and
// whether every shard has a known owner.
func (v *KnownPositions) formerWriters() (last Vector, complete bool) {
	last = Vector{}
	complete = v.shards > 0
	owners := map[int]bool{}
	for shard := range v.shards {
		owner, ok := v.Owner(shard)
		if !ok {
			complete = false
			continue
		}
		owners[owner.Writer] = true
		for writer, position := range owner.LastPositions {
			last[writer] = max(last[writer], position)
		}
	}
	for writer := range owners {
		delete(last, writer)
	}
	return last, complete
}

// limitSuccessors limits each writer to positions below its first one in a shard while an
// earlier ownership span of that shard is not fully readable. It reports whether anything
// changed.
func (v *KnownPositions) limitSuccessors(upTo Vector) (changed bool) {
	for shard := range v.shards {
		owner, ok := v.Owner(shard)
		if !ok {
			continue
		}
		earlierUnread := false
		for _, ownership := range owner.Ownerships {
			if earlierUnread && upTo[ownership.Writer] >= ownership.First {
				upTo[ownership.Writer] = ownership.First - 1
				changed = true
			}
			earlierUnread = earlierUnread || upTo[ownership.Writer] < ownership.Last
		}
	}
	return changed
}
