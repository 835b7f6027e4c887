package gossip

import (
	"sort"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// largeUpdate is the size in bytes from which an update is announced by its version alone: sent
// on whole, every daemon would receive it several times.
const largeUpdate = 2 << 10

// outstandingRequest is a large update that was asked for.
type outstandingRequest struct {
	version Version
	sentAt  clock.Micros
}

// receive records updates. What is new goes to this daemon's other machines and is sent on.
func (n *Node) receive(updates []machine.Update, now clock.Micros) {
	for _, update := range updates {
		n.receiveOne(update, now)
	}
}

func (n *Node) receiveOne(update machine.Update, now clock.Micros) {
	if known, ok := n.updates[update.Key]; ok && !update.Newer(known) {
		n.DuplicatesReceived++
		return
	}
	isAboutMember := strings.HasPrefix(update.Key, membership.KeyPrefix)
	if isAboutMember && !n.recordMember(update, now) {
		return
	}
	n.UpdatesReceived++
	n.updates[update.Key] = update
	n.updateVoters(update.Key)
	n.unsent = append(n.unsent, update)
	n.Emit(machine.UpdateReceived{Update: update})
}

// sendPending sends updates that are new here on to Fanout peers.
func (n *Node) sendPending() {
	if len(n.unsent) == 0 {
		return
	}
	var small []machine.Update
	large := map[string]Version{}
	for _, update := range n.unsent {
		if len(update.Value) >= largeUpdate {
			large[update.Key] = versionOf(update)
		} else {
			small = append(small, update)
		}
	}
	n.unsent = nil
	for i, at := range n.random.Perm(len(n.view)) {
		if i >= n.settings.Fanout {
			break
		}
		if len(small) > 0 {
			n.Emit(machine.Send{To: n.view[at], Body: Gossip{Updates: small}})
		}
		if len(large) > 0 {
			n.Emit(machine.Send{To: n.view[at], Body: Announcement{Versions: large}})
		}
	}
}

func (m Gossip) handle(n *Node, _ string, now clock.Micros) { n.receive(m.Updates, now) }

// handle fetches the announced updates that are missing here from the first daemon that announced
// them, and from another only if the first does not answer for a while.
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
	var updates []machine.Update
	for _, key := range keys {
		if update, ok := n.updates[key]; ok {
			updates = append(updates, update)
		}
	}
	if len(updates) > 0 {
		n.Emit(machine.Send{To: to, Body: Gossip{Updates: updates}})
	}
}

func (n *Node) sortedKeys() []string {
	keys := make([]string, 0, len(n.updates))
	for key := range n.updates {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Update gives the update of a key; false where none was received.
func (n *Node) Update(key string) (machine.Update, bool) {
	update, ok := n.updates[key]
	return update, ok
}

// UpdatesWithPrefix lists the updates whose keys begin with a prefix, in the order of the keys.
func (n *Node) UpdatesWithPrefix(prefix string) []machine.Update {
	var out []machine.Update
	for _, key := range n.sortedKeys() {
		if strings.HasPrefix(key, prefix) {
			out = append(out, n.updates[key])
		}
	}
	return out
}
