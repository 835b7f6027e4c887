package machines

import (
	"testing"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/identity"
	"tuliprudder/path/quota"
)

type noShelf struct{}

func (noShelf) Get(uint64, string) ([]byte, error) { return nil, nil }
func (noShelf) Held() []uint64                     { return nil }
func (noShelf) Top() uint64                        { return 0 }

// handed is what a store that serves nothing does with a bundle: the ask for a
// share, if there was one, and the error it answered.
func handed(t *testing.T, most int64, items ...shard.Item) (*quota.LendRequest, error) {
	t.Helper()
	now := 5 * clock.Second
	l := NewStore("store", store.New(store.Self{ID: "store"}, store.Defaults(), nil, noShelf{}), 100, 1)
	plan := &config.Plan{Version: 1, Routes: []config.Route{{Name: "r", Kind: config.Bundle, Forward: &config.Forward{MostTokens: most}}, {Name: "plain", Kind: config.Bundle}}}
	plan.Index()
	l.Scheduler.SetPlan(plan, now)
	l.Fresh(now, now)
	edge := identity.Member{ID: "edge", Kind: identity.Edge, Zone: "z", Peer: "edge"}
	l.Heard(machine.Update{Key: identity.Key("edge"), Value: edge.Encode()}, now)
	route := "r"
	if most < 0 {
		route = "plain"
	}
	var lend *quota.LendRequest
	var err error
	for _, effect := range l.Call(1, store.EnrolAsk{Bundle: shard.Bundle{ID: "b", Customer: "r", Route: route, Items: items}}, now) {
		switch e := effect.(type) {
		case machine.Ask:
			ask := e.Body.(quota.LendRequest)
			lend = &ask
		case machine.Answer:
			err = e.Err
		}
	}
	return lend, err
}

func opaque(tokens int64) shard.Item {
	return shard.Item{Request: &shard.Request{Tokens: tokens}}
}

// A bundle that is passed on takes its tokens from its route's bound; without a
// bound it asks for no share, and without such a route it is rejected.
func TestAForwardedBundleTakesItsTokens(t *testing.T) {
	lend, err := handed(t, 1000, opaque(300), opaque(40), opaque(0))
	if err != nil || lend == nil || lend.Customer != "r" || lend.Allowance != 1000 || lend.Want != 341+1000/128 {
		t.Fatalf("%+v %v", lend, err)
	}
	if lend, err := handed(t, 300, opaque(301)); lend != nil || !errs.Is(err, errs.OverAllowance) {
		t.Fatalf("over the whole bound: %+v %v", lend, err)
	}
	if lend, err := handed(t, 0, opaque(1<<40)); lend != nil || !errs.Is(err, errs.NotReady) {
		t.Fatalf("without a bound it is the keeper's to answer: %+v %v", lend, err)
	}
	if lend, err := handed(t, -1, opaque(1)); lend != nil || !errs.Is(err, errs.UnknownRoute) {
		t.Fatalf("a route that passes nothing on: %+v %v", lend, err)
	}
}

// Items that came by a takeover are told at the next renewal, within their
// route's bound.
func TestTakenOverItemsAreToldToTheirRoutesAccount(t *testing.T) {
	now := 5 * clock.Second
	l := NewStore("store", store.New(store.Self{ID: "store"}, store.Defaults(), nil, noShelf{}), 100, 1)
	plan := &config.Plan{Version: 1, Routes: []config.Route{{Name: "r", Kind: config.Bundle, Forward: &config.Forward{MostTokens: 1000}}}}
	plan.Index()
	l.Scheduler.SetPlan(plan, now)
	edge := identity.Member{ID: "edge", Kind: identity.Edge, Zone: "z", Peer: "edge"}
	l.Heard(machine.Update{Key: identity.Key("edge"), Value: edge.Encode()}, now)
	l.work(store.ItemOrder{Bundle: "b", Customer: "r", Route: "r", Request: &shard.Request{Tokens: 70}}, now)
	for _, effect := range l.ClockEvent(now + clock.Second) {
		if ask, ok := effect.(machine.Ask); ok {
			if lend := ask.Body.(quota.LendRequest); lend.Customer != "r" || lend.Held != 70 || lend.Allowance != 1000 {
				t.Fatalf("%+v", lend)
			}
			return
		}
	}
	t.Fatal("nothing was told")
}

// The store's clock lets go of items that are too old.
func TestTheClockReachesItemsThatAreTooOld(t *testing.T) {
	now := 5 * clock.Second
	l := NewStore("store", store.New(store.Self{ID: "store"}, store.Defaults(), nil, noShelf{}), 100, 1)
	plan := &config.Plan{Version: 1, Routes: []config.Route{{Name: "r", Kind: config.Bundle, Forward: &config.Forward{Keep: 10 * clock.Second}}}}
	plan.Index()
	l.Scheduler.SetPlan(plan, now)
	l.work(store.ItemOrder{Bundle: "b", Customer: "r", Route: "r", Enrolled: now, Request: &shard.Request{}}, now)
	l.ClockEvent(now + 10*clock.Second)
	if l.Items.Open() != 1 {
		t.Fatal("it was let go too early")
	}
	l.ClockEvent(now + 12*clock.Second)
	if l.Items.Open() != 0 {
		t.Fatal("it waits still")
	}
}

// A store that knows no core yet beats at its seeds.
func TestAStoreThatStartsBeatsAtItsSeeds(t *testing.T) {
	k := store.New(store.Self{ID: "s", Zone: "z", Peer: "p", Life: 2}, store.Defaults(), nil, noShelf{})
	l := NewStore("s", k, 10, 1)
	l.SetSeeds([]string{"seed:1"})
	for _, effect := range l.ClockEvent(clock.Second) {
		if send, ok := effect.(machine.Send); ok && send.To == "seed:1" {
			if beat, ok := send.Body.(store.Beat); ok && beat.Life == 2 {
				return
			}
		}
	}
	t.Fatal("no beat went to the seed")
}
