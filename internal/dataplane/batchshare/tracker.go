// Package batchshare shares the model servers' places for batch items among the stores
// (docs/DESIGN.md section 12.6): each store tells the others its demand and what it has running. By
// the demands each takes the places that are its own (scheduler.BatchAllotment), and by what runs none
// takes a place that another's item still has. An old or a lost message only makes the shares less
// even, or a server fuller, for a moment.
//
// A Tracker is a part of the store's state machine: messages go out as effects, time comes in with
// each call. It is not safe for concurrent use.
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
	minInterval    = 100 * clock.Millisecond // between two announcements when something changed
	maxInterval    = clock.Second            // the same when nothing did
	demandTTL      = 3 * clock.Second        // after which a store's last announcement no longer counts
	maxServerItems = 255                     // on one server, in a message
	// overdueDivisor is how many overdue items count as much as one that can be ready in time.
	overdueDivisor = 8
)

// LocalDemand is what this store has to run.
type LocalDemand struct {
	Items   int            // without a result
	Overdue int            // of these, queued ones that can't be ready in time
	Tokens  int            // of the items, prompts and outputs together
	Running map[string]int // items on servers, by the server's name
}

// Tracker holds the latest demand of each other store.
type Tracker struct {
	self       string
	others     map[string]receivedDemand
	lastSent   Demand
	lastSentAt clock.Micros
}

// receivedDemand is what is known of another store.
type receivedDemand struct {
	Demand
	receivedAt clock.Micros
}

// NewTracker makes the tracker of the store with the id self.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, others: map[string]receivedDemand{}}
}

// Receive takes another store's demand.
func (t *Tracker) Receive(message Demand, now clock.Micros) {
	t.others[message.ID] = receivedDemand{Demand: message, receivedAt: now}
}

// removeExpired drops the demands that no longer count.
func (t *Tracker) removeExpired(now clock.Micros) {
	maps.DeleteFunc(t.others, func(_ string, other receivedDemand) bool { return now-other.receivedAt > demandTTL })
}

// otherLiveStores are the live stores among the members, but this one, in the order of their
// identities.
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

// Allotment is this store's part of the capacity, by its own demand and the others'. Stores that
// know of the same demands have parts that don't overlap, in the order of their zones. A live store
// that was not heard counts as if its demand were this one's: after a start several have much to run
// and know nothing of each other.
func (t *Tracker) Allotment(own LocalDemand, members map[string]membership.Member, now clock.Micros) scheduler.BatchAllotment {
	t.removeExpired(now)
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

// demandSize is the part of the places that a store's items ask for: overdue ones run only now and then.
func demandSize(items, overdue int) int {
	return items - overdue + (overdue+overdueDivisor-1)/overdueDivisor
}

// averageItemTokens is how many tokens an item has on average, over what all stores have to run; 0
// where nothing is known of any.
func (t *Tracker) averageItemTokens(own LocalDemand) int {
	items, tokens := own.Items, own.Tokens
	for _, other := range t.others {
		items += other.Items
		tokens += other.Tokens
	}
	return tokens / max(1, items)
}

// RunningForOtherStores counts the other stores' items on each of these servers.
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

// Announce tells the other stores this one's demand, when it changed or is due.
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
