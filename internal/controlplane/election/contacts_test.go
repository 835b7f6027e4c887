package election

import (
	"testing"

	"tuliprudder/internal/clock"
)

func TestContactReachability(t *testing.T) {
	const timeout = clock.Second
	table := contactTable{self: cores("a")[0], incarnation: 7, timeout: timeout, byID: map[string]contact{}}
	table.record(Heartbeat{Core: cores("b")[0], Incarnation: 2, HeardCores: []string{"a"}}, 100)
	table.record(Heartbeat{Core: cores("c")[0], Incarnation: 3, Draining: true}, 200)
	for id, c := range map[string]struct {
		incarnation   uint64
		heard, twoWay bool
		draining      bool
	}{
		"a": {7, true, true, false},
		"b": {2, true, true, false},
		"c": {3, true, false, true},
		"d": {0, false, false, false},
	} {
		if incarnation, heard := table.incarnationOf(id, 300); incarnation != c.incarnation || heard != c.heard {
			t.Errorf("%s: incarnation %d, reachable %v", id, incarnation, heard)
		}
		if got := table.hasTwoWayContact(id, 300); got != c.twoWay {
			t.Errorf("%s: two-way contact %v", id, got)
		}
		if got := table.isDraining(id); got != c.draining {
			t.Errorf("%s: draining %v", id, got)
		}
	}
	if _, heard := table.incarnationOf("b", 101+timeout); heard {
		t.Error("b counts as reachable after its time-out")
	}
}

// A new identity at a known address is an empty machine that replaced the first one.
func TestNewIdentityReplacesOldAtSameAddress(t *testing.T) {
	table := contactTable{self: cores("a")[0], timeout: clock.Second, byID: map[string]contact{}}
	table.record(Heartbeat{Core: cores("b")[0], Incarnation: 1}, 100)
	table.record(Heartbeat{Core: CoreRef{ID: "new", Peer: "peer-b"}, Incarnation: 1}, 200)
	if ids := table.ids(); len(ids) != 1 || ids[0] != "new" {
		t.Errorf("the table has %v; want only the new identity", ids)
	}
}

// The time since which a core is heard starts again after a time-out or a restart of the core.
func TestFirstHeardAtResetsAfterTimeoutOrRestart(t *testing.T) {
	table := contactTable{self: cores("a")[0], timeout: clock.Second, byID: map[string]contact{}}
	for _, step := range []struct {
		at          clock.Micros
		incarnation uint64
		want        clock.Micros
	}{{100, 1, 100}, {200, 1, 100}, {200 + clock.Second, 1, 100}, {201 + 2*clock.Second, 1, 201 + 2*clock.Second}, {300 + 2*clock.Second, 2, 300 + 2*clock.Second}} {
		table.record(Heartbeat{Core: cores("b")[0], Incarnation: step.incarnation}, step.at)
		if got := table.byID["b"].firstHeardAt; got != step.want {
			t.Errorf("at %d: first heard at %d, want %d", step.at, got, step.want)
		}
	}
}
