package discovery

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/membership"
)

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

// New and draining servers are published at once, removed ones only after two readings
// without them.
func TestDiff(t *testing.T) {
	missedReads := map[string]int{}
	a, b := endpoints.Server{Name: "a", Address: "1"}, endpoints.Server{Name: "b", Address: "2"}
	if got := formatServers(Diff(nil, []endpoints.Server{a, b}, missedReads)); got != "a b " {
		t.Fatalf("new ones: %q", got)
	}
	draining := a
	draining.Draining = true
	if got := formatServers(Diff([]endpoints.Server{a, b}, []endpoints.Server{draining}, missedReads)); got != "a- " {
		t.Fatalf("one drains, one is missing once: %q", got)
	}
	if got := formatServers(Diff([]endpoints.Server{draining, b}, []endpoints.Server{a, b}, missedReads)); got != "" {
		t.Fatalf("an older list takes nothing back: %q", got)
	}
	Diff([]endpoints.Server{draining, b}, []endpoints.Server{draining}, missedReads)
	if got := formatServers(Diff([]endpoints.Server{draining, b}, []endpoints.Server{draining}, missedReads)); got != "b! " {
		t.Fatalf("missing twice in a row: %q", got)
	}
}

// The states of one incarnation of a server go one way, whatever the time of the reading.
func TestServerStateIsMonotonic(t *testing.T) {
	up, removed := endpoints.Server{Name: "a"}, endpoints.Server{Name: "a", Removed: true}
	draining := endpoints.Server{Name: "a", Draining: true}
	if ServerUpdate(up, 900).Newer(ServerUpdate(draining, 100)) || ServerUpdate(draining, 900).Newer(ServerUpdate(removed, 100)) {
		t.Fatal("a later reading of an older list makes a draining server active again")
	}
}

// One core reads; the next by id takes over only after a time-out, each further one a little
// later.
func TestIsDue(t *testing.T) {
	settings := Defaults()
	var members []membership.Member
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, membership.Member{ID: id, Kind: membership.Core})
	}
	for _, test := range []struct {
		name          string
		self          string
		sinceLastRead clock.Micros // by core b
		due           bool
	}{
		{"the last reader goes on", "b", 0, true},
		{"another waits", "a", 0, false},
		{"the first other takes over", "a", settings.TakeoverTimeout, true},
		{"the second other waits longer", "c", settings.TakeoverTimeout, false},
		{"the second other takes over later", "c", settings.TakeoverTimeout + settings.TakeoverStagger, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := IsDue(test.self, "b", members, test.sinceLastRead, settings); got != test.due {
				t.Errorf("due is %v", got)
			}
		})
	}
}
