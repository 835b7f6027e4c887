package token

import (
	"encoding/json"
	"maps"

	"tuliprudder/internal/machine"
)

// KnownPositions is what one reading daemon knows of all writers' positions, from their
// announcements and from the cluster map. It has no lock; its caller serializes the calls.
type KnownPositions struct {
	announcements map[int]Announcement
	versions      map[int]machine.Update // epoch and sequence number of each announcement
	// fromPages are, by writer, the positions that came with pages of results. They say nothing of the
	// writer's ownerships, so they count within a shard alone.
	fromPages map[int]int64
	owners    map[int]Owner
	shards    int
	minEpochs map[int]uint64 // by shard: the epoch in the map, whether its group is complete or not
}

// NewKnownPositions knows no positions yet.
func NewKnownPositions() *KnownPositions {
	return &KnownPositions{
		announcements: map[int]Announcement{},
		versions:      map[int]machine.Update{},
		fromPages:     map[int]int64{},
		owners:        map[int]Owner{},
		minEpochs:     map[int]uint64{},
	}
}

// SetShardEpochs takes the epochs of all shards from the cluster map.
func (v *KnownPositions) SetShardEpochs(epochs []uint64) {
	v.shards = len(epochs)
	for shard, epoch := range epochs {
		v.minEpochs[shard] = max(v.minEpochs[shard], epoch)
	}
}

// Receive takes a writer's announcement and tells whether anything changed: one that is
// older than the last, or can't be read, changes nothing.
func (v *KnownPositions) Receive(update machine.Update) bool {
	var a Announcement
	if json.Unmarshal(update.Value, &a) != nil || a.Writer == 0 {
		return false
	}
	if version, ok := v.versions[a.Writer]; ok && !update.Newer(version) {
		return false
	}
	v.versions[a.Writer] = machine.Update{Epoch: update.Epoch, Seq: update.Seq}
	// It never falls: what was readable stays readable.
	a.PersistedUpTo = max(a.PersistedUpTo, v.announcements[a.Writer].PersistedUpTo)
	v.announcements[a.Writer] = a
	for _, owned := range a.Shards {
		if owner, ok := v.owners[owned.Shard]; !ok || owned.Epoch >= owner.Epoch {
			v.owners[owned.Shard] = Owner{Writer: a.Writer, Peer: a.Peer, OwnedShard: owned}
		}
	}
	return true
}

// Advance takes a position that a writer has told with a page of results, and tells whether it is a
// later one than was known. It is ignored before the writer's first announcement. It counts for reads
// of one shard: over shards the order of a batch's results needs the ownerships too, and these come
// with the announcements of the same position.
func (v *KnownPositions) Advance(writer int, persistedUpTo int64) bool {
	if _, known := v.announcements[writer]; !known || persistedUpTo <= v.persistedUpTo(writer) {
		return false
	}
	v.fromPages[writer] = persistedUpTo
	return true
}

// persistedUpTo is a writer's latest known position.
func (v *KnownPositions) persistedUpTo(writer int) int64 {
	return max(v.announcements[writer].PersistedUpTo, v.fromPages[writer])
}

// Owner is the owner of a shard, by the highest epoch announced; false while the map has a
// higher epoch whose owner has not announced itself yet.
func (v *KnownPositions) Owner(shard int) (Owner, bool) {
	owner, ok := v.owners[shard]
	if !ok || owner.Epoch < v.minEpochs[shard] {
		return owner, false
	}
	return owner, true
}

// ReadableInShard is up to which positions a reader may read within one shard: the
// persisted-up-to position of its owner, and of former writers everything that their
// successors have committed. Without an owner it is empty.
func (v *KnownPositions) ReadableInShard(shard int) Vector {
	owner, ok := v.Owner(shard)
	if !ok {
		return Vector{}
	}
	out := Vector{}
	maps.Copy(out, owner.LastPositions)
	// Of an earlier ownership of its own everything is committed, too, and may lie above a position that
	// is unfinished in another shard. What was read under the owner in between has to stay readable.
	out[owner.Writer] = max(out[owner.Writer], v.persistedUpTo(owner.Writer))
	return out
}

// ReadableUpTo is up to which positions a reader may read over all shards, and whether
// every shard has an owner that can be asked (docs/DESIGN.md §6.5).
//
// A writer that owns no shard any more is read to its end once all owners are known. A
// successor is limited to positions below its first one in a shard only while a former
// writer's results there can't all be read: so the order of a batch's results stays.
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
	// Limiting one writer may limit others.
	for v.limitSuccessors(upTo) {
	}
	return upTo, complete
}

// formerWriters is the last position of each writer that owns no shard any more, and whether
// every shard has an owner.
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
// earlier ownership of that shard can't be read to its end. It tells whether anything
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
