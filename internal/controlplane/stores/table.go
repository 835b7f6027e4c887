// Package stores tracks the store daemons that a core receives heartbeats from (DESIGN §3.4, §6.6):
// which of them are live, which may join, which are to be evicted, and which shards they report as
// complete.
//
// The table holds heartbeats and times, and derives its answers from these and from the control
// state that it is given. It does not change the control state and emits no effects; that is up to
// its caller, the core. It is not safe for concurrent use.
package stores

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
)

// Settings are the table's parameters. All durations are in microseconds.
type Settings struct {
	Timeout         clock.Micros // silence after which a store counts as lost if the membership suspects it
	ListenDelay     clock.Micros // how long a new primary listens before it decides which stores are live
	EvictAfter      clock.Micros // silence after which a store no longer counts as a voter for updates
	MaxStaleness    clock.Micros // maximum age of this core's updates at which it may evict stores
	AssumeLostAfter clock.Micros // time without a majority after which silent voters for updates are considered lost
}

// contact is what the table knows about one store from its heartbeats.
type contact struct {
	heartbeat    registration.Heartbeat // the latest
	heardAt      clock.Micros
	firstHeardAt clock.Micros // time of the first heartbeat of this incarnation
}

// Table is what a core knows about the stores.
type Table struct {
	settings Settings
	byID     map[string]contact
	// suspects are the stores that the membership considers unhealthy.
	suspects map[string]bool
	// servingSince is the time since which this core, as primary, has received heartbeats without
	// interruption.
	servingSince clock.Micros
	// freshUntil is the time up to which this core's updates include all that a majority of the
	// voters for updates knew.
	freshUntil clock.Micros
}

// New returns an empty table.
func New(settings Settings) *Table {
	return &Table{settings: settings, byID: map[string]contact{}, suspects: map[string]bool{}}
}

// Record stores a heartbeat.
func (t *Table) Record(h registration.Heartbeat, now clock.Micros) {
	heard, known := t.byID[h.ID]
	if !known || heard.heartbeat.Incarnation != h.Incarnation {
		heard.firstHeardAt = now
	}
	heard.heartbeat, heard.heardAt = h, now
	t.byID[h.ID] = heard
}

// SetSuspected records whether the membership considers a store unhealthy.
func (t *Table) SetSuspected(id string, suspected bool) {
	if suspected {
		t.suspects[id] = true
	} else {
		delete(t.suspects, id)
	}
}

// SetFreshUntil records the time up to which this daemon's updates include all that a majority of
// the voters for updates knew.
func (t *Table) SetFreshUntil(at clock.Micros) { t.freshUntil = max(t.freshUntil, at) }

// StartServing records that this core is primary and receives the stores' heartbeats from now on.
// Silence before that time says nothing about a store.
func (t *Table) StartServing(now clock.Micros) { t.servingSince = now }

// Incarnation returns a store's current incarnation, or false if the store is considered lost. A
// silent store counts as lost after Timeout if the membership suspects it too, otherwise after
// twice that time. An evicted store is lost at once, so that its shards are reassigned (DESIGN
// §3.4).
func (t *Table) Incarnation(current *state.State, id string, now clock.Micros) (uint64, bool) {
	heard, ok := t.byID[id]
	if !ok || current.Stores[id].Evicted {
		return 0, false
	}
	sinceHeard := now - heard.heardAt
	if sinceHeard > 2*t.settings.Timeout || (sinceHeard > t.settings.Timeout && t.suspects[id]) {
		return 0, false
	}
	return heard.heartbeat.Incarnation, true
}

// HasHeardEnough reports whether a new primary can decide which stores are live: it has heard all
// stores that are neither evicted nor retired, or has listened for ListenDelay (DESIGN §5.4).
func (t *Table) HasHeardEnough(current *state.State, now clock.Micros) bool {
	if now-t.servingSince >= t.settings.ListenDelay {
		return true
	}
	heard := 0
	for id, store := range current.Stores {
		if store.Evicted || store.Retired {
			continue
		}
		if t.byID[id].heardAt < t.servingSince {
			return false
		}
		heard++
	}
	return heard > 0
}
