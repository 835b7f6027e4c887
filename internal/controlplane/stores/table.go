// Package stores is the table of the store daemons that a core hears (DESIGN §3.4, §6.6): which
// of them live, which may join, which are to be evicted, and which shards they report
// complete.
//
// The table holds heartbeats and times, and decides on these and on the control state that it
// is given; it changes neither the control state nor anything else, and has no effects. Its
// caller, the core, does. It is not safe for concurrent use.
package stores

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
)

// Settings of the table. All spans are in microseconds.
type Settings struct {
	Timeout         clock.Micros // after which a store that is not heard counts as lost, if the membership suspects it
	ListenDelay     clock.Micros // for how long a new primary listens until it decides on stores
	EvictAfter      clock.Micros // after which a store that is not heard no longer counts as a voter for updates
	MaxStaleness    clock.Micros // how old the updates here may be for a store to be evicted
	AssumeLostAfter clock.Micros // after which a core takes the voters for updates that it does not hear for lost
}

// contact is what was heard of a store.
type contact struct {
	heartbeat    registration.Heartbeat // the latest
	heardAt      clock.Micros
	firstHeardAt clock.Micros // the first heartbeat of this incarnation
}

// Table is what a core knows of the stores.
type Table struct {
	settings Settings
	byID     map[string]contact
	// suspects are the stores that the membership does not take for alive.
	suspects map[string]bool
	// servingSince is since when this core is primary and hears the stores without a pause.
	servingSince clock.Micros
	// freshUntil is up to when its updates include what a majority of the voters for updates knew.
	freshUntil clock.Micros
}

// New is an empty table.
func New(settings Settings) *Table {
	return &Table{settings: settings, byID: map[string]contact{}, suspects: map[string]bool{}}
}

// Record takes a heartbeat in.
func (t *Table) Record(h registration.Heartbeat, now clock.Micros) {
	heard, known := t.byID[h.ID]
	if !known || heard.heartbeat.Incarnation != h.Incarnation {
		heard.firstHeardAt = now
	}
	heard.heartbeat, heard.heardAt = h, now
	t.byID[h.ID] = heard
}

// SetSuspected tells whether the membership takes a store for unhealthy.
func (t *Table) SetSuspected(id string, suspected bool) {
	if suspected {
		t.suspects[id] = true
	} else {
		delete(t.suspects, id)
	}
}

// SetFreshUntil tells up to when this daemon's updates include what a majority of the voters for
// updates knew.
func (t *Table) SetFreshUntil(at clock.Micros) { t.freshUntil = max(t.freshUntil, at) }

// StartServing tells that this core is primary and hears the stores from now on: what it
// did not hear before says nothing about a store.
func (t *Table) StartServing(now clock.Micros) { t.servingSince = now }

// Incarnation is the one that a store runs in now; false when it is taken for lost. A store that
// is not heard counts as lost once the membership suspects it, too, or after twice the
// time. One that is evicted is lost at once: its shards are assigned anew (DESIGN §3.4).
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

// HasHeardEnough tells whether a new primary has heard enough to decide which stores live: all the
// stores that count, or for long enough (DESIGN §5.4).
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
