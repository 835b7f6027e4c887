package gossip

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// largeUpdate is the size in bytes from which only the version of an update is announced. If the
// update itself were forwarded, every daemon would receive it several times.
const largeUpdate = 2 << 10

// outstandingRequest is a request for a large update.
type outstandingRequest struct {
	version Version
	sentAt  clock.Micros
}

// crossZoneDivisor sets the share of daemons, one in crossZoneDivisor, that forward an update to
// another zone as well. Each zone gets an update from its origin; this makes up for lost messages.
const crossZoneDivisor = 5

// unsentUpdates are new updates that were not forwarded yet.
type unsentUpdates struct {
	local    []machine.Update // originating at this daemon
	received []machine.Update
}

func (u unsentUpdates) all() []machine.Update { return slices.Concat(u.local, u.received) }

// publish records an update that originates at this daemon.
func (n *Node) publish(update machine.Update, now clock.Micros) {
	if n.record(update, now) {
		n.unsent.local = append(n.unsent.local, update)
	}
}

// receive records updates from other daemons. New ones are emitted to this daemon's other state
// machines and forwarded.
func (n *Node) receive(updates []machine.Update, now clock.Micros) {
	for _, update := range updates {
		if n.record(update, now) {
			n.unsent.received = append(n.unsent.received, update)
		}
	}
}

// record stores an update. It returns false if the update is not new or must not be kept.
func (n *Node) record(update machine.Update, now clock.Micros) bool {
	if known, ok := n.updates[update.Key]; ok && !update.Newer(known) {
		n.DuplicatesReceived++
		return false
	}
	isAboutMember := strings.HasPrefix(update.Key, membership.KeyPrefix)
	if isAboutMember && !n.recordMember(update, now) {
		return false
	}
	n.UpdatesReceived++
	n.updates[update.Key] = update
	n.updateVoters(update.Key)
	n.Emit(machine.UpdateReceived{Update: update})
	return true
}

// sendPending forwards the new updates: all of them to Fanout peers of the own zone, those that
// originate here to one peer of each other zone, and with a probability of 1/crossZoneDivisor the
// received ones to one peer of another zone. An update thus crosses zones a few times rather than
// about once per daemon.
func (n *Node) sendPending() {
	unsent := n.unsent
	n.unsent = unsentUpdates{}
	if len(unsent.local)+len(unsent.received) == 0 {
		return
	}
	zones := n.peersByZone()
	for _, peer := range n.sampleAddresses(zones[n.self.Zone], n.settings.Fanout) {
		n.forward(peer, unsent.all())
	}
	others := slices.Sorted(maps.Keys(zones))
	others = slices.DeleteFunc(others, func(zone string) bool { return zone == n.self.Zone })
	if len(unsent.local) > 0 {
		for _, zone := range others {
			n.forward(n.pickRandom(zones[zone]), unsent.local)
		}
	}
	if len(unsent.received) > 0 && len(others) > 0 && n.random.Intn(crossZoneDivisor) == 0 {
		n.forward(n.pickRandom(zones[n.pickRandom(others)]), unsent.received)
	}
}

// peersByZone returns the addresses to which updates may be forwarded, by zone: those of the live
// members, or the partial view while no live member is known.
func (n *Node) peersByZone() map[string][]string {
	zones := map[string][]string{}
	for _, member := range n.liveMembers() {
		zones[member.Zone] = append(zones[member.Zone], member.Peer)
	}
	if len(zones) == 0 {
		zones[n.self.Zone] = n.view
	}
	return zones
}

// sampleAddresses returns up to count of the addresses at random.
func (n *Node) sampleAddresses(peers []string, count int) []string {
	var out []string
	for _, i := range n.random.Perm(len(peers)) {
		if len(out) == count {
			break
		}
		out = append(out, peers[i])
	}
	return out
}

// forward sends updates to a peer; of large ones only the versions.
func (n *Node) forward(peer string, updates []machine.Update) {
	var small []machine.Update
	large := map[string]Version{}
	for _, update := range updates {
		if len(update.Value) >= largeUpdate {
			large[update.Key] = versionOf(update)
		} else {
			small = append(small, update)
		}
	}
	if len(small) > 0 {
		n.Emit(machine.Send{To: peer, Body: Gossip{Updates: small}})
	}
	if len(large) > 0 {
		n.Emit(machine.Send{To: peer, Body: Announcement{Versions: large}})
	}
}

func (m Gossip) handle(n *Node, _ string, now clock.Micros) { n.receive(m.Updates, now) }

// handle fetches the announced updates that are missing here from the daemon that announced them
// first, and from another one only if no answer arrived within half a DigestInterval.
func (m Announcement) handle(n *Node, from string, now clock.Micros) {
	var missing []string
	for key, version := range m.Versions {
		if known, ok := n.updates[key]; ok && !version.isNewerThan(known) {
			continue
		}
		earlier, requested := n.requested[key]
		if requested && earlier.version == version && now-earlier.sentAt < n.settings.DigestInterval/2 {
			continue
		}
		n.requested[key] = outstandingRequest{version, now}
		missing = append(missing, key)
	}
	if len(missing) > 0 {
		sort.Strings(missing)
		n.Emit(machine.Send{To: from, Body: FetchUpdates{Keys: missing}})
	}
}

func (m FetchUpdates) handle(n *Node, from string, _ clock.Micros) { n.sendUpdates(from, m.Keys) }

func (n *Node) sendUpdates(to string, keys []string) {
	if updates := n.updatesOf(keys); len(updates) > 0 {
		n.Emit(machine.Send{To: to, Body: Gossip{Updates: updates}})
	}
}

// updatesOf returns this daemon's updates of the keys.
func (n *Node) updatesOf(keys []string) []machine.Update {
	var updates []machine.Update
	for _, key := range keys {
		if update, ok := n.updates[key]; ok {
			updates = append(updates, update)
		}
	}
	return updates
}

func (n *Node) sortedKeys() []string {
	keys := make([]string, 0, len(n.updates))
	for key := range n.updates {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Update returns the update of a key; false if there is none.
func (n *Node) Update(key string) (machine.Update, bool) {
	update, ok := n.updates[key]
	return update, ok
}

// UpdatesWithPrefix lists the updates whose keys begin with a prefix, ordered by key.
func (n *Node) UpdatesWithPrefix(prefix string) []machine.Update {
	var out []machine.Update
	for _, key := range n.sortedKeys() {
		if strings.HasPrefix(key, prefix) {
			out = append(out, n.updates[key])
		}
	}
	return out
}
