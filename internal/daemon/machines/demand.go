package machines

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/transport"
)

// Stores share the model servers' capacity for items by what each has to run (DESIGN §12.6):
// each tells the others its demand, and takes the share that is its own. An old or a lost
// message only makes the shares less even.

// Demand is the message that tells how many items a store has to run. Its type and fields
// are on the wire.
type Demand struct {
	ID    string // of the store
	Items int
}

func init() { transport.Register(Demand{}) }

const (
	minDemandInterval = 250 * clock.Millisecond // between two announcements when the demand changed
	maxDemandInterval = clock.Second            // the same when it did not
	demandTTL         = 3 * clock.Second        // after which a store's last announcement no longer counts
)

type demand struct {
	items      int
	receivedAt clock.Micros
}

// demandTracker holds the latest demand of each other store.
type demandTracker struct {
	self       string
	others     map[string]demand
	lastSent   int
	lastSentAt clock.Micros
}

func (d *demandTracker) receive(message Demand, now clock.Micros) {
	d.others[message.ID] = demand{items: message.Items, receivedAt: now}
}

// share is this store's share of the capacity, from 0 to 1, by its own demand and the
// others'.
func (d *demandTracker) share(own int, now clock.Micros) float64 {
	sum := max(1, own)
	for id, one := range d.others {
		if now-one.receivedAt > demandTTL {
			delete(d.others, id)
			continue
		}
		sum += one.items
	}
	return float64(max(1, own)) / float64(sum)
}

// announce tells the other stores this one's demand, when it changed or is due.
func (d *demandTracker) announce(own int, members map[string]membership.Member, emit func(machine.Effect), now clock.Micros) {
	interval := minDemandInterval
	if own == d.lastSent {
		interval = maxDemandInterval
	}
	if now-d.lastSentAt < interval {
		return
	}
	d.lastSent, d.lastSentAt = own, now
	for _, id := range slices.Sorted(maps.Keys(members)) {
		member := members[id]
		isOtherStore := member.Kind == membership.Store && id != d.self
		if isOtherStore && member.Status <= membership.Suspect {
			emit(machine.Send{To: member.Peer, Body: Demand{ID: d.self, Items: own}})
		}
	}
}
