package discovery

import (
	"testing"

	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

func names(servers []registry.Server) (out string) {
	for _, s := range servers {
		out += s.Name
		if s.Leaving {
			out += "-"
		}
		if s.Gone {
			out += "!"
		}
		out += " "
	}
	return out
}

// What is told: the new, the leaving; the gone only after two readings without.
func TestCompare(t *testing.T) {
	missed := map[string]int{}
	a, b := registry.Server{Name: "a", Address: "1"}, registry.Server{Name: "b", Address: "2"}
	if got := names(Compare(nil, []registry.Server{a, b}, missed)); got != "a b " {
		t.Fatalf("new ones: %q", got)
	}
	leaving := a
	leaving.Leaving = true
	if got := names(Compare([]registry.Server{a, b}, []registry.Server{leaving}, missed)); got != "a- " {
		t.Fatalf("one leaves, one is missing once: %q", got)
	}
	if got := names(Compare([]registry.Server{leaving, b}, []registry.Server{a, b}, missed)); got != "" {
		t.Fatalf("an older list takes nothing back: %q", got)
	}
	Compare([]registry.Server{leaving, b}, []registry.Server{leaving}, missed)
	if got := names(Compare([]registry.Server{leaving, b}, []registry.Server{leaving}, missed)); got != "b! " {
		t.Fatalf("missing twice in a row: %q", got)
	}
}

// Words of one server's life go one way, whatever the time of the reading.
func TestWordNeverGoesBack(t *testing.T) {
	up, gone := registry.Server{Name: "a"}, registry.Server{Name: "a", Gone: true}
	leaving := registry.Server{Name: "a", Leaving: true}
	if ServerUpdate(up, 900).Newer(ServerUpdate(leaving, 100)) || ServerUpdate(leaving, 900).Newer(ServerUpdate(gone, 100)) {
		t.Fatal("a later reading of an older list takes a server's leaving back")
	}
}

// One reads; the next in order only after silence, each a little later.
func TestDue(t *testing.T) {
	set := Defaults()
	var members []identity.Member
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, identity.Member{ID: id, Kind: identity.Core})
	}
	for _, c := range []struct {
		self, last string
		silent     clock.Micros
		due        bool
	}{{"b", "b", 0, true}, {"a", "b", 0, false}, {"a", "b", set.Late, true}, {"c", "b", set.Late, false}, {"c", "b", set.Late + set.Step, true}} {
		if got := Due(c.self, c.last, members, c.silent, set); got != c.due {
			t.Errorf("%s after %s read last, %d us silent: due is %v", c.self, c.last, c.silent, got)
		}
	}
}
