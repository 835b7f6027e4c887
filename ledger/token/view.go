package token

import (
	"encoding/json"
	"fmt"

	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
)

// Claimed is a slot that a writer serves, as it announces it.
type Claimed struct {
	Slot  int           `json:"slot"`
	Epoch uint64        `json:"epoch"`
	Last  map[int]int64 `json:"last"` // where each former writer's rows end
	// Tenures are the slot's newest runs of rows, writer by writer.
	Tenures []shard.Tenure `json:"tenures,omitempty"`
}

// Announcement is a writer's own word: its persisted-up-to position and the
// slots it serves. It is complete each time, so a lost one is mended by the
// next or by a digest.
type Announcement struct {
	Writer int       `json:"writer"`
	Store  string    `json:"store"`
	Peer   string    `json:"peer"`
	UpTo   int64     `json:"up_to"`
	Slots  []Claimed `json:"slots"`
}

// Key is the news key of a writer.
func Key(writer int) string { return fmt.Sprintf(KeyPrefix+"%d", writer) }

// Owner is who serves a slot by the highest epoch announced.
type Owner struct {
	Writer int
	Peer   string
	Claimed
}

// View is what one reading daemon knows of the writers.
type View struct {
	said   map[int]Announcement
	marks  map[int]machine.Update
	owners map[int]Owner
	slots  int
	floor  map[int]uint64 // epochs the map told of, whether complete or not
}

// NewView is an empty view.
func NewView() *View {
	return &View{said: map[int]Announcement{}, marks: map[int]machine.Update{}, owners: map[int]Owner{}, floor: map[int]uint64{}}
}

// SetMap tells the view how many slots there are and their epochs.
func (v *View) SetMap(epochs []uint64) {
	v.slots = len(epochs)
	for slot, epoch := range epochs {
		v.floor[slot] = max(v.floor[slot], epoch)
	}
}

// Hear takes a writer's announcement; an older one changes nothing. It tells
// whether anything changed.
func (v *View) Hear(rumour machine.Update) bool {
	var a Announcement
	if json.Unmarshal(rumour.Value, &a) != nil || a.Writer == 0 {
		return false
	}
	if mark, ok := v.marks[a.Writer]; ok && !rumour.Newer(mark) {
		return false
	}
	v.marks[a.Writer] = machine.Update{Epoch: rumour.Epoch, Seq: rumour.Seq}
	if old := v.said[a.Writer]; old.UpTo > a.UpTo {
		a.UpTo = old.UpTo
	}
	v.said[a.Writer] = a
	for _, claimed := range a.Slots {
		if owner, ok := v.owners[claimed.Slot]; !ok || claimed.Epoch >= owner.Epoch {
			v.owners[claimed.Slot] = Owner{Writer: a.Writer, Peer: a.Peer, Claimed: claimed}
		}
	}
	return true
}

// Owner is who serves a slot; false while it is in passage.
func (v *View) Owner(slot int) (Owner, bool) {
	owner, ok := v.owners[slot]
	if !ok || owner.Epoch < v.floor[slot] {
		return owner, false
	}
	return owner, true
}

// Effective is how far a reader may read a writer's rows within one slot: the
// writer's own word while it serves the slot; all that its successor settled
// once the slot has passed on.
func (v *View) Effective(slot int) Vector {
	owner, ok := v.Owner(slot)
	if !ok {
		return Vector{}
	}
	out := Vector{}
	for writer, last := range owner.Last {
		out[writer] = last
	}
	out[owner.Writer] = v.said[owner.Writer].UpTo
	return out
}

// UpTo is the vector for reading over all slots. A writer that serves none any
// more is read to its end once every slot has settled. A successor is held
// below its first row in a slot only while a former writer's rows there can't be
// read yet: so no bundle's order is turned round. It tells whether every slot
// has an owner to ask.
func (v *View) UpTo() (Vector, bool) {
	whole := v.slots > 0
	serving := map[int]bool{}
	ends := Vector{}
	for slot := 0; slot < v.slots; slot++ {
		owner, ok := v.Owner(slot)
		if !ok {
			whole = false
			continue
		}
		serving[owner.Writer] = true
		for writer, last := range owner.Last {
			ends[writer] = max(ends[writer], last)
		}
	}
	out := Vector{}
	for writer, said := range v.said {
		out[writer] = said.UpTo
	}
	if whole {
		for writer, last := range ends {
			if !serving[writer] {
				out[writer] = max(out[writer], last)
			}
		}
	}
	for v.hold(out) {
	}
	return out, whole
}

// hold keeps each writer below its first row in a slot while an earlier run of
// that slot can't be read to its end; it tells whether anything changed. Holding
// one may hold others, so it is repeated until nothing changes.
func (v *View) hold(out Vector) bool {
	changed := false
	for slot := 0; slot < v.slots; slot++ {
		owner, ok := v.Owner(slot)
		if !ok {
			continue
		}
		unread := false
		for _, run := range owner.Tenures {
			if unread && out[run.Writer] >= run.First {
				out[run.Writer] = run.First - 1
				changed = true
			}
			unread = unread || out[run.Writer] < run.Last
		}
	}
	return changed
}
