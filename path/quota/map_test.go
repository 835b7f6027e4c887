package quota

import (
	"testing"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/membership/identity"
)

// A holder that has just started asks every store on the map before it lends, also
// those it has not heard of in this life; without a map it lends nothing. (Vietnam's
// trouble-3: after all processes were killed a holder knew too few stores.)
func TestAHolderWaitsForEveryStoreOnTheMap(t *testing.T) {
	wire := machine.NewWire()
	members := []identity.Member{{ID: "edge", Kind: identity.Edge, Peer: "e"}}
	p := New("edge", wire, func() []identity.Member { return members }, nil)
	var m state.Map
	p.Map = func() (state.Map, bool) { return m, m.Seq > 0 }
	now := clock.Second
	ask := func() (answer LendAnswer) {
		p.Lend(LendRequest{Customer: "c", Borrower: "edge", Want: 10, Allowance: 100, Plan: 1}, now, func(got LendAnswer, _ clock.Micros) { answer = got })
		for _, effect := range wire.Drain() {
			if asked, ok := effect.(machine.Ask); ok {
				wire.Answered(asked.Token, nil, nil, now)
			}
		}
		return answer
	}
	if got := ask(); got.Ready || got.Granted != 0 {
		t.Fatalf("without a map it lent %+v", got)
	}
	m = state.Map{Seq: 1, Stores: map[string]state.Store{"store": {ID: "store"}, "old": {ID: "old", Struck: true}},
		Slots: []replication.Assignment{{Epoch: 1, Primary: replication.Member{ID: "store"}, Complete: true}}}
	if got := ask(); got.Ready {
		t.Fatalf("it lent %+v before the store on the map had told", got)
	}
	p.accounts["c"].Told("store", 95, now)
	if got := ask(); !got.Ready || got.Granted != 5 {
		t.Fatalf("once the store had told it lent %+v", got)
	}
}

// What a store held that is gone is let go once its slots are others', and no sooner.
func TestALoanPassesOnWithTheSlots(t *testing.T) {
	p := New("edge", machine.NewWire(), func() []identity.Member { return nil }, nil)
	m := state.Map{Seq: 1, Slots: []replication.Assignment{{Epoch: 1, Primary: replication.Member{ID: "gone"}, Complete: true}}}
	p.Map = func() (state.Map, bool) { return m, true }
	now := clock.Second
	a := Open(1, nil, now)
	a.HoldsItems = func(string) bool { return true }
	a.Told("gone", 40, now)
	p.accounts["c"], p.knownStores["gone"] = a, true
	step := func() int {
		p.dropTransferred(now)
		now += clock.Second
		return a.Lent(now)["gone"]
	}
	for range 4 {
		if got := step(); got != 40 {
			t.Fatalf("%d lent while its slot is still its own", got)
		}
	}
	m.Slots[0].Primary.ID = "other"
	if got := step(); got != 40 {
		t.Fatalf("%d lent at once after the slot passed", got)
	}
	step()
	if got := step(); got != 0 {
		t.Fatalf("%d still lent long after", got)
	}
}
