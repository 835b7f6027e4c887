package quota

import (
	"slices"

	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

// round is one asking of those who have not told what they hold.
type round struct {
	left int
	then []func(now clock.Micros)
}

// holder is the first live edge in the customer's agreed order.
func (q *Quota) holder(customer string) (id, peer string) {
	members := q.Members()
	id = registry.First("account/"+customer, members, identity.Edge)
	for _, member := range members {
		if member.ID == id {
			return id, member.Peer
		}
	}
	return "", ""
}

// Lend is the holder's part: it answers once it has asked those who have not
// told what they hold, or they had time enough.
func (q *Quota) Lend(ask LendRequest, now clock.Micros, back func(LendAnswer, clock.Micros)) {
	a := q.accounts[ask.Customer]
	if !q.mapped() {
		back(LendAnswer{Epoch: ask.Epoch, Granted: ask.Held}, now)
		return
	}
	if a == nil || ask.Epoch > a.Epoch {
		a = Open(ask.Epoch+1, q.holders(), now)
		a.SkipRebuild, a.HoldsItems = q.SkipRebuild, q.holdsItems
		q.accounts[ask.Customer] = a
		// This daemon's own share is known at once.
		own := q.share(ask.Customer)
		own.Fence(a.Epoch)
		a.Told(q.Self, q.held(own, ask.Customer), now)
	}
	a.Told(ask.Borrower, ask.Held, now)
	live := map[string]bool{}
	for _, id := range q.borrowers() {
		live[id] = true
	}
	for _, id := range a.Missing() {
		if !live[id] {
			a.StopWaiting(id, now)
		}
	}
	answer := func(now clock.Micros) {
		if terms := q.allowed[ask.Customer]; ask.Plan >= terms.Plan {
			q.allowed[ask.Customer] = ask
		}
		granted := a.Lend(ask.Borrower, ask.Held, ask.Want, q.allowed[ask.Customer].Allowance, now)
		q.Lent++
		back(LendAnswer{Epoch: a.Epoch, Granted: granted, Ready: a.Ready(now)}, now)
	}
	if a.Ready(now) {
		answer(now)
		return
	}
	q.rebuild(ask.Customer, a, answer)
}

// holdsItems tells whether a borrower is a store: one that is not known any more may
// have been.
func (q *Quota) holdsItems(borrower string) bool {
	for _, member := range q.Members() {
		if member.ID == borrower {
			return member.Kind == identity.Store
		}
	}
	return q.knownStores[borrower]
}

// mapped tells whether this daemon knows which stores there are.
func (q *Quota) mapped() bool {
	if q.Map == nil {
		return true
	}
	_, known := q.Map()
	return known
}

// holders are all that may hold work: the daemons that live, and the stores that
// count, whether this daemon has heard of them in this life or not.
func (q *Quota) holders() []string {
	out := q.borrowers()
	if q.Map == nil {
		return out
	}
	m, _ := q.Map()
	for _, id := range sorted(m.Stores) {
		if store := m.Stores[id]; !store.Struck && !store.Retired && !slices.Contains(out, id) && id != q.Self {
			out = append(out, id)
			q.knownStores[id] = true
		}
	}
	return out
}

// transferGrace is how long after a store's last slot has passed on its successors
// have had time to tell what they took over.
const transferGrace = 1500 * clock.Millisecond

// dropTransferred lets go of what is held for stores that are gone and own no slot any more:
// those that took their slots over tell it now.
func (q *Quota) dropTransferred(now clock.Micros) {
	if q.Map == nil {
		return
	}
	m, known := q.Map()
	if !known {
		return
	}
	owns := map[string]bool{}
	for _, pairing := range m.Slots {
		owns[pairing.Primary.ID] = true
		if !pairing.Complete {
			for _, id := range pairing.Trusted {
				owns[id] = true
			}
		}
	}
	for _, member := range q.Members() {
		if member.Status == identity.Alive {
			owns[member.ID] = true
		}
	}
	for _, a := range q.accounts {
		for _, id := range a.Borrowers() {
			if q.knownStores[id] && !owns[id] {
				a.TransferElapsed(id, now)
			}
		}
	}
}

// borrowers are all daemons that may hold shares.
func (q *Quota) borrowers() []string {
	var out []string
	for _, member := range q.Members() {
		if member.Kind == identity.Store {
			q.knownStores[member.ID] = true
		}
		if member.Kind != identity.Core && member.Status < identity.Dead && member.ID != q.Self {
			out = append(out, member.ID)
		}
	}
	return out
}

// rebuild asks those who have not told what they hold; who asks meanwhile waits
// for the same round.
func (q *Quota) rebuild(customer string, a *Account, then func(now clock.Micros)) {
	if r := q.rounds[customer]; r != nil {
		r.then = append(r.then, then)
		return
	}
	peers := map[string]string{}
	for _, member := range q.Members() {
		peers[member.ID] = member.Peer
	}
	missing := a.Missing()
	r := &round{left: len(missing), then: []func(clock.Micros){then}}
	q.rounds[customer] = r
	for _, id := range missing {
		q.Wire.Ask(peers[id], HoldingsRequest{Customer: customer, Epoch: a.Epoch}, lendExpiry/3, func(body any, err error, now clock.Micros) {
			if told, ok := body.(Holdings); ok && err == nil && told.Stale {
				a.Epoch = max(a.Epoch, told.Epoch+1)
			} else if ok && err == nil {
				a.Told(id, told.Held, now)
			}
			if r.left--; r.left > 0 {
				return
			}
			delete(q.rounds, customer)
			for _, then := range r.then {
				then(now)
			}
		})
	}
}
