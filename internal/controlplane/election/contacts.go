package election

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// contact is what is known of another core from its heartbeats.
type contact struct {
	heartbeat    Heartbeat // the latest
	heardAt      clock.Micros
	firstHeardAt clock.Micros // start of this incarnation's heartbeats without a time-out
}

// contactTable holds this core and the cores that sent it heartbeats.
type contactTable struct {
	self        CoreRef
	incarnation uint64
	draining    bool         // this core is about to stop
	timeout     clock.Micros // after which a core without heartbeats counts as unreachable
	byID        map[string]contact
}

// ids lists the IDs of the other cores in order.
func (t *contactTable) ids() []string { return slices.Sorted(maps.Keys(t.byID)) }

// record records a heartbeat of another core.
func (t *contactTable) record(h Heartbeat, now clock.Micros) {
	// A new identity at a known address is an empty machine that replaced a lost one.
	for id, other := range t.byID {
		if id != h.Core.ID && other.heartbeat.Core.Peer == h.Core.Peer && other.heardAt < now {
			delete(t.byID, id)
		}
	}
	firstHeardAt := now
	known, ok := t.byID[h.Core.ID]
	if ok && known.heartbeat.Incarnation == h.Incarnation && now-known.heardAt <= t.timeout {
		firstHeardAt = known.firstHeardAt
	}
	t.byID[h.Core.ID] = contact{heartbeat: h, heardAt: now, firstHeardAt: firstHeardAt}
}

// incarnationOf returns the current incarnation of a core; false if the core is unreachable.
func (t *contactTable) incarnationOf(id string, now clock.Micros) (uint64, bool) {
	if id == t.self.ID {
		return t.incarnation, true
	}
	heard, ok := t.byID[id]
	if !ok || now-heard.heardAt > t.timeout {
		return 0, false
	}
	return heard.heartbeat.Incarnation, true
}

// liveMember returns a core as a group member in its current incarnation; false if it is
// unreachable.
func (t *contactTable) liveMember(id string, now clock.Micros) (replication.Member, bool) {
	incarnation, ok := t.incarnationOf(id, now)
	return replication.Member{ID: id, Incarnation: incarnation}, ok
}

// heardCores lists the other cores whose heartbeats arrive. It is sent in this core's own
// heartbeats, because a link may carry messages in one direction only.
func (t *contactTable) heardCores(now clock.Micros) []string {
	var out []string
	for _, id := range t.ids() {
		if _, ok := t.incarnationOf(id, now); ok {
			out = append(out, id)
		}
	}
	return out
}

// hasTwoWayContact reports whether heartbeats arrive in both directions between this core and
// another one.
func (t *contactTable) hasTwoWayContact(id string, now clock.Micros) bool {
	_, heard := t.incarnationOf(id, now)
	return heard && (id == t.self.ID || slices.Contains(t.byID[id].heartbeat.HeardCores, t.self.ID))
}

// isDraining reports whether a core has announced that it is about to stop.
func (t *contactTable) isDraining(id string) bool {
	if id == t.self.ID {
		return t.draining
	}
	return t.byID[id].heartbeat.Draining
}

// zoneOf returns the zone of a core from its heartbeat, or else from the list of voters.
func (t *contactTable) zoneOf(id string, voters []CoreRef) string {
	if id == t.self.ID {
		return t.self.Zone
	}
	if heard, ok := t.byID[id]; ok {
		return heard.heartbeat.Core.Zone
	}
	for _, ref := range voters {
		if ref.ID == id {
			return ref.Zone
		}
	}
	return ""
}
