package store

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
)

// What waits of the requests that are passed on is counted from the ledger itself
// (DESIGN §11.3, §12.5): what was accepted counts at its slot's owner from the
// moment it is written, through restarts and passages, until it is listed or ended.

// lingerFor is how long a slot that passed on still counts here: its new owner has
// told by then.
const lingerFor = clock.Second

type lingering struct {
	until  clock.Micros
	counts map[string]int
}

// Waiting is what the requests that wait or run here count for, by customer.
func (k *Store) Waiting(now clock.Micros) map[string]int {
	out := map[string]int{}
	for _, group := range k.groups.All() {
		if k.counts(group) {
			add(out, waitingOf(k.place(group.Unit).state))
		}
	}
	for _, left := range k.left {
		if now < left.until {
			add(out, left.counts)
		}
	}
	return out
}

// counts tells whether a slot's work counts here: at its owner, and at one that
// was its owner in an earlier life until another is.
func (k *Store) counts(group *replication.Group) bool {
	if group.Leads() {
		return true
	}
	slot := slotOf(group.Unit)
	return group.Role == replication.Cold && slot < len(k.placement.Slots) && k.placement.Slots[slot].Primary.ID == k.self.ID
}

// leave keeps what a slot counted for in mind for a while.
func (k *Store) leave(unit string, now clock.Micros) {
	kept := k.left[:0]
	for _, left := range k.left {
		if now < left.until {
			kept = append(kept, left)
		}
	}
	k.left = append(kept, lingering{until: now + lingerFor, counts: waitingOf(k.place(unit).state)})
}

func add(to, from map[string]int) {
	for customer, count := range from {
		to[customer] += count
	}
}

// waitingOf counts a slot's requests that are not listed.
func waitingOf(state *shard.Slot) map[string]int {
	out := map[string]int{}
	for _, bundle := range state.Bundles {
		if bundle.State != shard.Open {
			continue
		}
		for i, item := range bundle.Items {
			if item.Request != nil && !bundle.Listed(i) {
				out[bundle.Customer] += item.Request.Weight()
			}
		}
	}
	return out
}

// Mapped tells whether the keeper knows which slots are its own.
func (k *Store) Mapped() bool { return k.placement.Seq > 0 }
