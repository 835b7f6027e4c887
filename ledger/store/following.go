package store

import (
	"encoding/json"
	"strings"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/token"
)

// This file follows the map: which shards this store leads or replicates (DESIGN §6.1, §6.6).

// Stored is the disk's word.
type Stored struct{ Token uint64 }

// Apply passes the word on to the pair.
func (s Stored) Apply(k *Store, now clock.Micros) {
	delete(k.writes, s.Token)
	k.groups.Stored(s.Token, now)
	k.flush(now)
}

// Letter is a message that came in.
type Letter struct {
	From string
	Body any
}

// Apply takes the pair's messages and the core's welcome.
func (l Letter) Apply(k *Store, now clock.Micros) {
	if k.leftUntaken(l.Body) || k.groups.Take(l.From, l.Body, now) {
		return
	}
	if no, ok := l.Body.(Unwelcome); ok && no.ID == k.self.ID && no.Life == k.self.Life {
		k.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "start with an empty data folder, which the fleet fills from the pairs, or correct -seeds", "this data folder does not belong here: %s", no.Why)})
		return
	}
	if welcome, ok := l.Body.(Welcome); ok && welcome.Writer > 0 {
		if k.fleet != "" && k.fleet != welcome.Fleet {
			k.Emit(machine.Explain{What: "a core of another fleet spoke; its word is passed over; check -seeds", Fields: map[string]any{"fleet": welcome.Fleet, "from": l.From}})
			return
		}
		if k.writer == 0 {
			k.fleet, k.writer = welcome.Fleet, welcome.Writer
			body, _ := json.Marshal(identity{k.fleet, k.writer})
			k.groups.Store([]machine.Record{{Unit: unitSelf, Kind: kindWriter, Body: body}}, nil)
			k.reserve()
			k.dirty = true
		}
	}
}

func (k *Store) reserve() {
	wanted := k.positions.Wanted()
	if wanted == 0 || k.asking || k.writer == 0 {
		return
	}
	k.asking = true
	k.groups.Store([]machine.Record{{Unit: unitSelf, Kind: kindReserved, Seq: uint64(wanted)}}, func(now clock.Micros) {
		k.asking = false
		k.positions.Reserved(wanted)
		k.flush(now)
	})
}

// Cores tells the keeper the cores' addresses.
type Cores struct{ Peers []string }

// Apply notes them.
func (c Cores) Apply(k *Store, _ clock.Micros) { k.cores = c.Peers }

// News is a rumour from the acquaintance.
type News struct{ Rumour machine.Update }

// Apply takes a new map, and the announcements that settle orphans.
func (n News) Apply(k *Store, now clock.Micros) {
	if n.Rumour.Key == state.MapKey {
		var m state.Map
		if json.Unmarshal(n.Rumour.Value, &m) == nil && m.Seq > k.placement.Seq && (k.fleet == "" || m.Fleet == k.fleet) {
			was := k.placement
			k.placement = m
			k.free(was)
			k.follow(now)
		}
		return
	}
	var a token.Announcement
	if strings.HasPrefix(n.Rumour.Key, token.KeyPrefix) && len(k.orphans) > 0 && json.Unmarshal(n.Rumour.Value, &a) == nil {
		for _, claimed := range a.Slots {
			k.settleOrphans(claimed.Slot, claimed.Epoch)
		}
	}
}

func (k *Store) settleOrphans(slot int, epoch uint64) {
	kept := k.orphans[:0]
	for _, o := range k.orphans {
		if o.slot == slot && epoch > o.epoch {
			for _, position := range o.positions {
				k.positions.Finish(position)
			}
			k.dirty = true
			continue
		}
		kept = append(kept, o)
	}
	k.orphans = kept
}

// free gives up the leases granted to lives that have ended: a store that has started
// again is another life, and the one before starts nothing more (DESIGN §4.4).
func (k *Store) free(was state.Map) {
	for slot, pairing := range was.Slots {
		group := k.groups.Group(Unit(slot))
		if pairing.Epoch == group.Epoch && pairing.Primary.ID != k.self.ID && k.placement.Stores[pairing.Primary.ID].Life > pairing.Primary.Life {
			k.groups.Void(group.Unit)
		}
	}
}

// follow works out the difference between the map and what this keeper does.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (k *Store) follow(now clock.Micros) {
	me := replication.Member{ID: k.self.ID, Life: k.self.Life}
	for slot, pairing := range k.placement.Slots {
		unit := Unit(slot)
		group := k.groups.Group(unit)
		switch {
		case pairing.Epoch < group.Epoch || pairing.Zero():
		case pairing.Epoch == group.Epoch:
			if pairing.Primary == me && pairing.Complete && k.groups.Complete(unit, pairing.Epoch, now) {
				k.serve(unit, now)
			}
			if pairing.Complete && !pairing.Holds(k.self.ID) && group.Seq > 0 {
				k.groups.Drop(unit, pairing.Epoch, now)
			}
		case pairing.Primary == me:
			k.Takeovers++
			k.Emit(machine.Explain{What: "owning a slot", Fields: map[string]any{"slot": slot, "epoch": pairing.Epoch, "replicas": pairing.IDs()[1:], "from_role": group.Role.String()}})
			k.groups.Own(unit, pairing.Epoch, k.peers(pairing.Replicas), now)
			k.dirty = true
		case pairing.Replicates(me):
			k.groups.Back(unit, pairing.Epoch, k.placement.Stores[pairing.Primary.ID].Peer, now)
			k.dirty = true
		case pairing.Holds(k.self.ID):
			k.groups.Release(unit, pairing.Epoch, now)
		case pairing.Complete:
			k.groups.Drop(unit, pairing.Epoch, now)
		default:
			k.groups.Release(unit, pairing.Epoch, now)
		}
	}
}

// peers are the addresses of members of a group.
func (k *Store) peers(members []replication.Member) []string {
	var out []string
	for _, member := range members {
		out = append(out, k.placement.Stores[member.ID].Peer)
	}
	return out
}

// serve begins to confirm, list and start work under a complete pair.
func (k *Store) serve(unit string, now clock.Micros) {
	p := k.place(unit)
	k.positions.Raise(p.state.Top())
	k.reserve()
	k.settleOrphans(p.slot, k.groups.Group(unit).Epoch)
	k.dirty = true
	for _, id := range sortedBundles(p.state) {
		k.start(unit, id)
	}
	k.Emit(machine.Explain{What: "serving a slot", Fields: map[string]any{"slot": p.slot, "epoch": k.groups.Group(unit).Epoch, "first_position": k.positions.Next()}})
	k.flush(now)
}
