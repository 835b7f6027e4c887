package election

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// contact is what was heard of another core.
type contact struct {
	heartbeat    Heartbeat // the latest
	heardAt      clock.Micros
	firstHeardAt clock.Micros // since when this incarnation is heard without a pause
}

// contactTable is the table of the cores that sent heartbeats, and this core.
type contactTable struct {
	self        CoreRef
	incarnation uint64
	draining    bool         // this core is about to stop
	timeout     clock.Micros // after which a core that is not heard counts as lost
	byID        map[string]contact
}

// ids lists the other cores in the order of their ids.
func (t *contactTable) ids() []string { return slices.Sorted(maps.Keys(t.byID)) }

// record takes a heartbeat in.
func (t *contactTable) record(h Heartbeat, now clock.Micros) {
	// Another identity at a known address is an empty machine in the place of a lost one.
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

// incarnationOf is the incarnation that a core runs in now; false when it is not heard.
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

// liveMember is a core in the incarnation that it runs in now.
func (t *contactTable) liveMember(id string, now clock.Micros) (replication.Member, bool) {
	incarnation, ok := t.incarnationOf(id, now)
	return replication.Member{ID: id, Incarnation: incarnation}, ok
}

// heardCores lists the other cores that are heard: a link may carry messages in one direction only.
func (t *contactTable) heardCores(now clock.Micros) []string {
	var out []string
	for _, id := range t.ids() {
		if _, ok := t.incarnationOf(id, now); ok {
			out = append(out, id)
		}
	}
	return out
}

// hasTwoWayContact tells whether a core is heard and hears this one.
func (t *contactTable) hasTwoWayContact(id string, now clock.Micros) bool {
	_, heard := t.incarnationOf(id, now)
	return heard && (id == t.self.ID || slices.Contains(t.byID[id].heartbeat.HeardCores, t.self.ID))
}

// isDraining tells whether a core said that it is about to stop.
func (t *contactTable) isDraining(id string) bool {
	if id == t.self.ID {
		return t.draining
	}
	return t.byID[id].heartbeat.Draining
}

// zoneOf is the zone of a core: by its heartbeat, else by the list of voters.
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
