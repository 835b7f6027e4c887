package machines

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/transport"
)

// Stores share the model servers' capacity for items (DESIGN §12.6): each tells the others its
// demand and what it has running. By the demands each takes the places that are its own, and by what
// runs none takes a place that another's item still has. An old or a lost message only makes the
// shares less even, or a server fuller, for a moment.

// Demand is the message that tells how many items a store has to run, and where some run. Its type
// and fields are on the wire.
type Demand struct {
	ID      string // of the store
	Items   int    // that have no result
	Running []ServerItems
}

// ServerItems is how many items of a store run on a server. The server's name is hashed: these
// messages are frequent, and a wrong count does little.
type ServerItems struct {
	Server uint32
	Items  uint8
}

func init() { transport.Register(Demand{}) }

const (
	minDemandInterval = 100 * clock.Millisecond // between two announcements when something changed
	maxDemandInterval = clock.Second            // the same when nothing did
	demandTTL         = 3 * clock.Second        // after which a store's last announcement no longer counts
	maxServerItems    = 255                     // on one server, in a message
)

// demand is what is known of another store.
type demand struct {
	items      int
	running    []ServerItems
	receivedAt clock.Micros
}

// demandTracker holds the latest demand of each other store.
type demandTracker struct {
	self       string
	others     map[string]demand
	lastSent   Demand
	lastSentAt clock.Micros
}

func (d *demandTracker) receive(message Demand, now clock.Micros) {
	d.others[message.ID] = demand{items: message.Items, running: message.Running, receivedAt: now}
}

// forgetOld drops the demands that no longer count.
func (d *demandTracker) forgetOld(now clock.Micros) {
	maps.DeleteFunc(d.others, func(_ string, other demand) bool { return now-other.receivedAt > demandTTL })
}

// otherStores are the live stores among the members, but this one, in the order of their
// identities.
func (d *demandTracker) otherStores(members map[string]membership.Member) []membership.Member {
	var out []membership.Member
	for _, id := range slices.Sorted(maps.Keys(members)) {
		member := members[id]
		if member.Kind == membership.Store && id != d.self && member.Status <= membership.Suspect {
			out = append(out, member)
		}
	}
	return out
}

// allotment is this store's part of the capacity, by its own demand and the others'. Stores that
// know of the same demands have parts that don't overlap, in the order of their zones. A live store
// that was not heard counts as if its demand were this one's: after a start several have much to run
// and know nothing of each other.
func (d *demandTracker) allotment(own int, members map[string]membership.Member, now clock.Micros) scheduler.BatchAllotment {
	d.forgetOld(now)
	own = max(1, own)
	before, sum := 0, own
	self := members[d.self]
	for _, member := range d.otherStores(members) {
		items := own
		if other, known := d.others[member.ID]; known {
			items = other.items
		}
		sum += items
		if cmp.Or(cmp.Compare(member.Zone, self.Zone), cmp.Compare(member.ID, d.self)) < 0 {
			before += items
		}
	}
	return scheduler.BatchAllotment{Offset: before, Size: own, Total: sum}
}

// runningElsewhere counts the other stores' items on each of these servers.
func (d *demandTracker) runningElsewhere(servers []string) map[string]int {
	byHash := map[uint32]int{}
	for _, other := range d.others {
		for _, running := range other.running {
			byHash[running.Server] += int(running.Items)
		}
	}
	out := map[string]int{}
	for _, name := range servers {
		if count := byHash[hashServer(name)]; count > 0 {
			out[name] = count
		}
	}
	return out
}

func hashServer(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// announce tells the other stores this one's demand, when it changed or is due.
func (d *demandTracker) announce(items int, running map[string]int, members map[string]membership.Member, emit func(machine.Effect), now clock.Micros) {
	message := Demand{ID: d.self, Items: items}
	for _, name := range slices.Sorted(maps.Keys(running)) {
		message.Running = append(message.Running, ServerItems{Server: hashServer(name), Items: uint8(min(maxServerItems, running[name]))})
	}
	interval := minDemandInterval
	if items == d.lastSent.Items && slices.Equal(message.Running, d.lastSent.Running) {
		interval = maxDemandInterval
	}
	if now-d.lastSentAt < interval {
		return
	}
	d.lastSent, d.lastSentAt = message, now
	for _, member := range d.otherStores(members) {
		emit(machine.Send{To: member.Peer, Body: message})
	}
}
