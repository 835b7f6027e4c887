// Package batchshare divides the model servers' slots for batch items among the stores
// (docs/DESIGN.md section 12.6). Each store announces its demand and its running items to the others.
// From the demands, each store computes its own part of the slots (scheduler.BatchAllotment); from the
// running items, it knows which of these slots another store's item still occupies. An outdated or lost
// message only makes the shares less even, or a server fuller, for a moment.
//
// A Tracker is a part of the store's state machine: messages are emitted as effects, and the time is
// an argument of each call. It is not safe for concurrent use.
package batchshare

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

const (
	minInterval    = 100 * clock.Millisecond // between two announcements if the demand changed
	maxInterval    = clock.Second            // between two announcements if it did not
	demandTTL      = 3 * clock.Second        // how long a store's last announcement counts
	maxServerItems = 255                     // maximum for one server in a message
	// overdueDivisor is the number of overdue items that count as much as one that can complete in time.
	overdueDivisor = 8
)

// LocalDemand is the demand of this store.
type LocalDemand struct {
	Items   int            // items without a result
	Overdue int            // queued items among these that cannot complete in time
	Tokens  int            // prompt and output tokens of all items
	Running map[string]int // number of running items by server name
}

// Tracker keeps the latest demand of each other store.
type Tracker struct {
	self       string
	others     map[string]receivedDemand
	lastSent   Demand
	lastSentAt clock.Micros
}

// receivedDemand is the latest demand of another store.
type receivedDemand struct {
	Demand
	receivedAt clock.Micros
}

// NewTracker returns the tracker of the store with the ID self.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, others: map[string]receivedDemand{}}
}

// Receive records another store's demand.
func (t *Tracker) Receive(message Demand, now clock.Micros) {
	t.others[message.ID] = receivedDemand{Demand: message, receivedAt: now}
}

// removeStaleDemands removes demands older than demandTTL.
func (t *Tracker) removeStaleDemands(now clock.Micros) {
	maps.DeleteFunc(t.others, func(_ string, other receivedDemand) bool { return now-other.receivedAt > demandTTL })
}

// otherLiveStores returns the live stores (alive or suspect) among the members except this one, ordered
// by ID.
func (t *Tracker) otherLiveStores(members map[string]membership.Member) []membership.Member {
	var out []membership.Member
	for _, id := range slices.Sorted(maps.Keys(members)) {
		member := members[id]
		if member.Kind == membership.Store && id != t.self && member.Status <= membership.Suspect {
			out = append(out, member)
		}
	}
	return out
}

// Allotment returns this store's part of the capacity, computed from its own demand and those of the
// others. The parts are ordered by zone and ID, and do not overlap between stores that know the same
// demands. A live store without a known demand counts with this store's demand, because several stores
// may have much to run after a start while they know nothing of each other.
func (t *Tracker) Allotment(own LocalDemand, members map[string]membership.Member, now clock.Micros) scheduler.BatchAllotment {
	t.removeStaleDemands(now)
	size := max(1, demandSize(own.Items, own.Overdue))
	offset, total := 0, size
	self := members[t.self]
	for _, member := range t.otherLiveStores(members) {
		otherSize := size
		if other, known := t.others[member.ID]; known {
			otherSize = demandSize(other.Items, other.Overdue)
		}
		total += otherSize
		if cmp.Or(cmp.Compare(member.Zone, self.Zone), cmp.Compare(member.ID, t.self)) < 0 {
			offset += otherSize
		}
	}
	return scheduler.BatchAllotment{Offset: offset, Size: size, Total: total, ItemTokens: t.averageItemTokens(own)}
}

// demandSize returns the size of a store's part, in items. Overdue items count less, as they run only
// now and then.
func demandSize(items, overdue int) int {
	return items - overdue + (overdue+overdueDivisor-1)/overdueDivisor
}

// averageItemTokens returns the average number of tokens of an item over the demands of all stores; 0
// if no items are known.
func (t *Tracker) averageItemTokens(own LocalDemand) int {
	items, tokens := own.Items, own.Tokens
	for _, other := range t.others {
		items += other.Items
		tokens += other.Tokens
	}
	return tokens / max(1, items)
}

// RunningForOtherStores returns the number of other stores' items that run on each of the servers.
func (t *Tracker) RunningForOtherStores(servers []string) map[string]int {
	byHash := map[uint32]int{}
	for _, other := range t.others {
		for _, running := range other.Running {
			byHash[running.Server] += int(running.Items)
		}
	}
	out := map[string]int{}
	for _, name := range servers {
		if count := byHash[endpoints.NameHash(name)]; count > 0 {
			out[name] = count
		}
	}
	return out
}

// Announce sends this store's demand to the other stores: after minInterval if it changed, otherwise
// after maxInterval.
func (t *Tracker) Announce(own LocalDemand, members map[string]membership.Member, emit func(machine.Effect), now clock.Micros) {
	message := t.demandOf(own)
	interval := minInterval
	if message.Items == t.lastSent.Items && message.Overdue == t.lastSent.Overdue && slices.Equal(message.Running, t.lastSent.Running) {
		interval = maxInterval
	}
	if now-t.lastSentAt < interval {
		return
	}
	t.lastSent, t.lastSentAt = message, now
	for _, member := range t.otherLiveStores(members) {
		emit(machine.Send{To: member.Peer, Body: message})
	}
}

func (t *Tracker) demandOf(own LocalDemand) Demand {
	message := Demand{ID: t.self, Items: own.Items, Overdue: own.Overdue, Tokens: own.Tokens}
	for _, name := range slices.Sorted(maps.Keys(own.Running)) {
		message.Running = append(message.Running, ServerItems{Server: endpoints.NameHash(name), Items: uint8(min(maxServerItems, own.Running[name]))})
	}
	return message
}
