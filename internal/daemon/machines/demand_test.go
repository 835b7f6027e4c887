package machines

import (
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// The shares follow the demands, add up to one, and forget stores that are unreachable.
func TestSharesFollowDemands(t *testing.T) {
	d := demandTracker{self: "a", others: map[string]demand{}}
	if got := d.share(0, 1); got != 1 {
		t.Fatalf("alone: %v", got)
	}
	d.receive(Demand{ID: "b", Items: 60}, 1)
	if got := d.share(20, 2); got != 0.25 {
		t.Fatalf("20 of 80: %v", got)
	}
	if got := d.share(20, 2+demandTTL); got != 1 {
		t.Fatalf("b is unreachable: %v", got)
	}
}

// A store announces its demand to the other stores alone, soon when it changed, and now and
// then when it did not.
func TestDemandsAreAnnouncedToStores(t *testing.T) {
	members := map[string]membership.Member{
		"a": {ID: "a", Kind: membership.Store, Peer: "pa"},
		"b": {ID: "b", Kind: membership.Store, Peer: "pb"},
		"c": {ID: "c", Kind: membership.Edge, Peer: "pc"},
		"d": {ID: "d", Kind: membership.Store, Peer: "pd", Status: membership.Dead},
	}
	d := demandTracker{self: "a", others: map[string]demand{}}
	start := 10 * clock.Second
	for _, test := range []struct {
		name      string
		own       int
		at        clock.Micros
		announced bool
	}{
		{"the first demand", 5, start, true},
		{"a change too soon", 6, start + 1, false},
		{"a change", 6, start + minDemandInterval, true},
		{"no change", 6, start + 2*minDemandInterval, false},
		{"no change for long", 6, start + minDemandInterval + maxDemandInterval, true},
	} {
		var sentTo []string
		d.announce(test.own, members, func(e machine.Effect) { sentTo = append(sentTo, e.(machine.Send).To) }, test.at)
		if test.announced && !slices.Equal(sentTo, []string{"pb"}) || !test.announced && len(sentTo) > 0 {
			t.Errorf("%s: sent to %q", test.name, sentTo)
		}
	}
}
