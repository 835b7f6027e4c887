package token

import (
	"encoding/json"
	"fmt"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/machine"
)

// OwnedShard is a shard that a writer serves, as it announces it.
type OwnedShard struct {
	Shard         int           `json:"slot"`
	Epoch         uint64        `json:"epoch"`
	LastPositions map[int]int64 `json:"last"` // where each former writer's rows end
	// Ownerships are the shard's newest runs of rows, writer by writer.
	Ownerships []shard.Ownership `json:"tenures,omitempty"`
}

// Announcement is a writer's own word: its persisted-up-to position and the
// shards it serves. It is complete each time, so a lost one is mended by the
// next or by a digest.
type Announcement struct {
	Writer        int          `json:"writer"`
	Store         string       `json:"store"`
	Peer          string       `json:"peer"`
	PersistedUpTo int64        `json:"up_to"`
	Shards        []OwnedShard `json:"slots"`
}

// Key is the updates key of a writer.
func Key(writer int) string { return fmt.Sprintf(KeyPrefix+"%d", writer) }

// Owner is who serves a shard by the highest epoch announced.
type Owner struct {
	Writer int
	Peer   string
	OwnedShard
}

// PositionView is what one reading daemon knows of the writers.
type PositionView struct {
	announcements map[int]Announcement
	versions      map[int]machine.Update
	owners        map[int]Owner
	shards        int
	minEpochs     map[int]uint64 // epochs the map told of, whether complete or not
}

// NewPositionView is an empty view.
func NewPositionView() *PositionView {
	return &PositionView{announcements: map[int]Announcement{}, versions: map[int]machine.Update{}, owners: map[int]Owner{}, minEpochs: map[int]uint64{}}
}

// SetMap tells the view how many shards there are and their epochs.
func (v *PositionView) SetMap(epochs []uint64) {
	v.shards = len(epochs)
	for shard, epoch := range epochs {
		v.minEpochs[shard] = max(v.minEpochs[shard], epoch)
	}
}

// Receive takes a writer's announcement; an older one changes nothing. It tells
// whether anything changed.
func (v *PositionView) Receive(update machine.Update) bool {
	var a Announcement
	if json.Unmarshal(update.Value, &a) != nil || a.Writer == 0 {
		return false
	}
	if version, ok := v.versions[a.Writer]; ok && !update.Newer(version) {
		return false
	}
	v.versions[a.Writer] = machine.Update{Epoch: update.Epoch, Seq: update.Seq}
	if old := v.announcements[a.Writer]; old.PersistedUpTo > a.PersistedUpTo {
		a.PersistedUpTo = old.PersistedUpTo
	}
	v.announcements[a.Writer] = a
	for _, owned := range a.Shards {
		if owner, ok := v.owners[owned.Shard]; !ok || owned.Epoch >= owner.Epoch {
			v.owners[owned.Shard] = Owner{Writer: a.Writer, Peer: a.Peer, OwnedShard: owned}
		}
	}
	return true
}

// Owner is who serves a shard; false while it is in passage.
func (v *PositionView) Owner(shard int) (Owner, bool) {
	owner, ok := v.owners[shard]
	if !ok || owner.Epoch < v.minEpochs[shard] {
		return owner, false
	}
	return owner, true
}

// ReadableInShard is how far a reader may read a writer's rows within one shard: the
// writer's own word while it serves the shard; all that its successor settled
// once the shard has passed on.
func (v *PositionView) ReadableInShard(shard int) Vector {
	owner, ok := v.Owner(shard)
	if !ok {
		return Vector{}
	}
	out := Vector{}
	for writer, last := range owner.LastPositions {
		out[writer] = last
	}
	out[owner.Writer] = v.announcements[owner.Writer].PersistedUpTo
	return out
}

// ReadableUpTo is the vector for reading over all shards. A writer that serves none any
// more is read to its end once every shard has settled. A successor is held
// below its first row in a shard only while a former writer's rows there can't be
// read yet: so no batch's order is turned round. It tells whether every shard
// has an owner to ask.
func (v *PositionView) ReadableUpTo() (Vector, bool) {
	complete := v.shards > 0
	serving := map[int]bool{}
	ends := Vector{}
	for shard := 0; shard < v.shards; shard++ {
		owner, ok := v.Owner(shard)
		if !ok {
			complete = false
			continue
		}
		serving[owner.Writer] = true
		for writer, last := range owner.LastPositions {
			ends[writer] = max(ends[writer], last)
		}
	}
	out := Vector{}
	for writer, announcement := range v.announcements {
		out[writer] = announcement.PersistedUpTo
	}
	if complete {
		for writer, last := range ends {
			if !serving[writer] {
				out[writer] = max(out[writer], last)
			}
		}
	}
	for v.holdBack(out) {
	}
	return out, complete
}

// holdBack keeps each writer below its first row in a shard while an earlier run of
// that shard can't be read to its end; it tells whether anything changed. Holding
// one may hold others, so it is repeated until nothing changes.
func (v *PositionView) holdBack(out Vector) bool {
	changed := false
	for shard := 0; shard < v.shards; shard++ {
		owner, ok := v.Owner(shard)
		if !ok {
			continue
		}
		unread := false
		for _, ownership := range owner.Ownerships {
			if unread && out[ownership.Writer] >= ownership.First {
				out[ownership.Writer] = ownership.First - 1
				changed = true
			}
			unread = unread || out[ownership.Writer] < ownership.Last
		}
	}
	return changed
}
