package discovery

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/membership"
)

// formatServers returns the servers' names, each with - if it is draining and ! if it is removed.
func formatServers(servers []endpoints.Server) (out string) {
	for _, s := range servers {
		out += s.Name
		if s.Draining {
			out += "-"
		}
		if s.Removed {
			out += "!"
		}
		out += " "
	}
	return out
}

// New and draining servers are published at once, removed ones only after two consecutive reads
// without them.
func TestDiff(t *testing.T) {
	missedReads := map[string]int{}
	a, b := endpoints.Server{Name: "a", Address: "1"}, endpoints.Server{Name: "b", Address: "2"}
	if got := formatServers(Diff(nil, []endpoints.Server{a, b}, missedReads)); got != "a b " {
		t.Fatalf("two new servers: published %q", got)
	}
	draining := a
	draining.Draining = true
	if got := formatServers(Diff([]endpoints.Server{a, b}, []endpoints.Server{draining}, missedReads)); got != "a- " {
		t.Fatalf("one server draining, one missing for the first time: published %q", got)
	}
	if got := formatServers(Diff([]endpoints.Server{draining, b}, []endpoints.Server{a, b}, missedReads)); got != "" {
		t.Fatalf("an older list after a newer one: published %q", got)
	}
	Diff([]endpoints.Server{draining, b}, []endpoints.Server{draining}, missedReads)
	if got := formatServers(Diff([]endpoints.Server{draining, b}, []endpoints.Server{draining}, missedReads)); got != "b! " {
		t.Fatalf("a server missing from two consecutive reads: published %q", got)
	}
}

// A server never goes back to an earlier state, even if an older list is read later.
func TestServerStateIsMonotonic(t *testing.T) {
	up, removed := endpoints.Server{Name: "a"}, endpoints.Server{Name: "a", Removed: true}
	draining := endpoints.Server{Name: "a", Draining: true}
	if ServerUpdate(up, 900).Newer(ServerUpdate(draining, 100)) || ServerUpdate(draining, 900).Newer(ServerUpdate(removed, 100)) {
		t.Fatal("an older list that is read later reverts a draining or removed server to an earlier state")
	}
}

// One core reads the list. The next core by id takes over only after the take-over time-out, and
// each further core one stagger later.
func TestIsDue(t *testing.T) {
	settings := Defaults()
	var members []membership.Member
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, membership.Member{ID: id, Kind: membership.Core})
	}
	for _, test := range []struct {
		name          string
		self          string
		sinceLastRead clock.Micros // since the last read, which was by core b
		due           bool
	}{
		{"the last reader continues", "b", 0, true},
		{"another core waits", "a", 0, false},
		{"the first other core takes over", "a", settings.TakeoverTimeout, true},
		{"the second other core waits longer", "c", settings.TakeoverTimeout, false},
		{"the second other core takes over later", "c", settings.TakeoverTimeout + settings.TakeoverStagger, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := IsDue(test.self, "b", members, test.sinceLastRead, settings); got != test.due {
				t.Errorf("IsDue returned %v", got)
			}
		})
	}
}
