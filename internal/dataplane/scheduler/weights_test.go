package scheduler

import "testing"

// A request that wants a version of the weights is not assigned to a server that recently reported
// another one; other requests are. A server whose version is unknown, or was reported longer than
// weightsTTL ago, is tried.
func TestWantedWeights(t *testing.T) {
	f := newFixture(t, newServer("one", 4), newServer("two", 4))
	f.ObserveWeights("one", 1, f.now)
	f.ObserveWeights("two", 2, f.now)
	f.ObserveWeights("two", 0, f.now)
	f.ObserveWeights("unknown", 2, f.now)
	expect := func(name string, version int64, want string) {
		t.Helper()
		f.submit(name, 5, func(r *Request) { r.WantedWeights = version })
		f.MatchUntilStable(f.now)
		select {
		case got := <-f.started:
			if got != name+"@"+want {
				t.Fatalf("%s, version %d: %s", name, version, got)
			}
		default:
			if want != "" {
				t.Fatalf("%s, version %d: not assigned", name, version)
			}
		}
	}
	for i := range 3 {
		expect("a", 1, "one")
		expect("b", 2, "two")
		if i == 0 {
			expect("c", 3, "")
		}
	}
	f.ObserveWeights("one", 3, f.now) // c has waited for this version
	f.MatchUntilStable(f.now)
	if got := <-f.started; got != "c@one" {
		t.Fatalf("%s", got)
	}
	expect("any", 0, "two") // each server has three requests, so that the rotation decides
	f.now += weightsTTL + 1
	f.AdvanceFreshness(f.now)
	f.submit("late", 5, func(r *Request) { r.WantedWeights = 9 })
	f.MatchUntilStable(f.now)
	if len(f.started) != 1 {
		t.Fatal("a server whose version was reported longer than weightsTTL ago isn't tried")
	}
}
