package store

import (
	"encoding/json"
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/token"
)

// This file is what a store does as time passes: heartbeats, announcements, forgetting.

// ClockEvent lets the keeper do what is due.
type ClockEvent struct{}

// Apply does what is due.
func (ClockEvent) Apply(k *Store, now clock.Micros) {
	k.groups.ClockEvent(now)
	for _, unit := range sortedKeys(k.waits) {
		bySeq := k.waits[unit]
		for _, seq := range sortedKeys(bySeq) {
			waiters := bySeq[seq]
			kept := waiters[:0]
			for _, w := range waiters {
				if now >= w.expiry {
					k.unknown(w.call, "no second disk confirmed it in time")
				} else {
					kept = append(kept, w)
				}
			}
			if len(kept) == 0 {
				delete(k.waits[unit], seq)
			} else {
				bySeq[seq] = kept
			}
		}
	}
	if now >= k.next.beat {
		k.beat(now)
	}
	if k.dirty && now >= k.next.announce && k.writer > 0 {
		k.next.announce = now + k.set.AnnounceEvery
		k.announce()
	}
	if now >= k.next.resume {
		k.next.resume = now + 2*clock.Second
		k.resume()
		k.settleDown()
	}
	if now >= k.next.forget {
		k.next.forget = now + 60*clock.Second
		k.forget(now)
	}
}

func (k *Store) beat(now clock.Micros) {
	k.next.beat = now + k.set.BeatEvery
	ready, silent := map[int]uint64{}, map[int]SilentReplicas{}
	for _, group := range k.groups.All() {
		if peers := group.Silent(now); len(peers) > 0 {
			silent[slotOf(group.Unit)] = SilentReplicas{Epoch: group.Epoch, Peers: peers}
		}
		if group.Role == replication.Copied {
			ready[slotOf(group.Unit)] = group.Epoch
		}
	}
	var busy []int
	for _, group := range k.groups.All() {
		if group.Leads() && k.place(group.Unit).state.Open() {
			busy = append(busy, slotOf(group.Unit))
		}
	}
	for _, peer := range k.cores {
		k.Emit(machine.Send{To: peer, Body: Beat{Busy: busy, Fleet: k.fleet, ID: k.self.ID, Name: k.self.Name, Zone: k.self.Zone, Peer: k.self.Peer, Life: k.self.Life, Ready: ready, Silent: silent, Draining: k.drain, Stalled: k.Stalled(now)}})
	}
}

// resume hands open items to the path again: it passes over those it has, and
// takes up those it dropped while a lease was not fresh or its backlog full.
func (k *Store) resume() {
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving || group.Open() > 0 {
			continue
		}
		for _, id := range sortedBundles(k.place(group.Unit).state) {
			k.start(group.Unit, id)
		}
	}
}

// AtRisk counts what puts promises at risk here: owned slots without their
// second copy, and how long the oldest result has waited to be announced.
func (k *Store) AtRisk(now clock.Micros) (copies int64, oldest clock.Micros) {
	for _, group := range k.groups.All() {
		if group.Leads() && group.Role != replication.Serving {
			copies++
		}
		oldest = max(oldest, group.Oldest(now))
	}
	return copies, oldest
}

// announce tells the readers this writer's persisted-up-to position.
func (k *Store) announce() {
	k.dirty = false
	a := token.Announcement{Writer: k.writer, Store: k.self.ID, Peer: k.self.Peer, UpTo: k.positions.UpTo()}
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving {
			continue
		}
		p := k.place(group.Unit)
		claimed := token.Claimed{Slot: p.slot, Epoch: group.Epoch, Last: map[int]int64{}, Tenures: append([]shard.Tenure(nil), p.state.Tenures...)}
		for writer, last := range p.state.Last {
			if writer != k.writer {
				claimed.Last[writer] = last
			}
		}
		a.Slots = append(a.Slots, claimed)
	}
	k.seq++
	value, _ := json.Marshal(a)
	k.Emit(machine.Publish{Update: machine.Update{Key: token.Key(k.writer), Epoch: k.self.Life, Seq: k.seq, Value: value}})
}

// forget drops finished bundles and claims past their keeping.
func (k *Store) forget(now clock.Micros) {
	for _, group := range k.groups.All() {
		if group.Role != replication.Serving {
			continue
		}
		var old shard.Forget
		state := k.place(group.Unit).state
		for _, id := range sortedBundles(state) {
			if b := state.Bundles[id]; b.State != shard.Open && now-b.Enrolled > k.set.KeepDone {
				old.Bundles = append(old.Bundles, id)
			}
		}
		for id, claim := range state.Claims {
			if now-claim.At > k.set.KeepDone {
				old.Claims = append(old.Claims, id)
			}
		}
		if len(old.Bundles)+len(old.Claims) > 0 {
			sort.Strings(old.Claims)
			k.put(group.Unit, old, now)
		}
	}
	k.sweep(nil)
}

// Owned is how many slots this keeper owns in any role of an owner.
func (k *Store) Owned() int {
	count := 0
	for _, group := range k.groups.All() {
		if group.Leads() {
			count++
		}
	}
	return count
}

// Drain lets the store say that it is about to go.
type Drain struct{}

// Apply notes it; the next beat tells the cores.
func (Drain) Apply(k *Store, now clock.Micros) {
	k.drain = true
	k.beat(now)
}
