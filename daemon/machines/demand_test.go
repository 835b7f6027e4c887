package machines

import (
	"testing"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
)

// The parts follow the demands, add up to one, and forget who is not heard.
func TestPartsFollowDemands(t *testing.T) {
	d := demands{self: "a", others: map[string]demand{}}
	if got := d.part(0, 1); got != 1 {
		t.Fatalf("alone: %v", got)
	}
	d.receive(Demand{ID: "b", Items: 60}, 1)
	if got := d.part(20, 2); got != 0.25 {
		t.Fatalf("20 of 80: %v", got)
	}
	if got := d.part(20, 2+demandKept); got != 1 {
		t.Fatalf("b is not heard any more: %v", got)
	}
}

// A store tells the other stores alone, soon when its demand changed, and now and
// then when it did not.
func TestDemandsAreToldToStores(t *testing.T) {
	members := map[string]identity.Member{"a": {ID: "a", Kind: identity.Store, Peer: "pa"}, "b": {ID: "b", Kind: identity.Store, Peer: "pb"},
		"c": {ID: "c", Kind: identity.Edge, Peer: "pc"}, "d": {ID: "d", Kind: identity.Store, Peer: "pd", Status: identity.Dead}}
	d := demands{self: "a", others: map[string]demand{}}
	var told []string
	tell := func(own int, now clock.Micros) int {
		told = nil
		d.send(own, members, func(e machine.Effect) { told = append(told, e.(machine.Send).To) }, now)
		return len(told)
	}
	now := 10 * clock.Second
	if tell(5, now) != 1 || told[0] != "pb" {
		t.Fatalf("told %v", told)
	}
	if tell(6, now+1) != 0 || tell(6, now+demandEvery) != 1 || tell(6, now+2*demandEvery) != 0 || tell(6, now+demandEvery+demandLate) != 1 {
		t.Fatal("told at the wrong times")
	}
}
