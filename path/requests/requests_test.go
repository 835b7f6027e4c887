package requests

import (
	"encoding/json"
	"testing"

	"tuliprudder/core/config"
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/ledger/token"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/reader"
	"tuliprudder/path/scheduler"
)

// bench is an edge's orders with one slot, whose keeper is the test.
type bench struct {
	*Machine
	t    *testing.T
	wire *machine.Wire
	now  clock.Micros
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, wire: machine.NewWire(), now: clock.Second}
	d, r := scheduler.New(scheduler.Defaults(), 1), reader.New(b.wire)
	plan := &config.Plan{Version: 3, Classes: []config.Class{{Name: "a", Rank: 1, Allowance: 9}}, Customers: []config.Customer{{Name: "c", Key: "k", Class: "a"}},
		Routes: []config.Route{{Name: "r", Kind: config.Bundle, Forward: &config.Forward{}}, {Name: "live", Kind: config.OneShot, Forward: &config.Forward{}},
			{Name: "chat", Kind: config.Bundle, Classes: config.Selector{}, MostItems: 9}}}
	plan.Index()
	d.SetPlan(plan, b.now)
	m, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Slots: []replication.Assignment{{Epoch: 1}}})
	said, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "keeper", UpTo: 5, Slots: []token.Claimed{{Slot: 0, Epoch: 1}}})
	r.Receive(machine.Update{Key: state.MapKey, Seq: 1, Value: m}, b.now)
	r.Receive(machine.Update{Key: token.Key(1), Epoch: 1, Seq: 1, Value: said}, b.now)
	b.Machine = New(Defaults(), b.wire, d, nil, r, decisionlog.New(1))
	return b
}

// hand hands an ask in: what the store is asked, or what was answered at once.
func (b *bench) hand(body any) (*machine.Ask, *machine.Answer) {
	b.t.Helper()
	if !b.Call(1, body, b.now) {
		b.t.Fatalf("%T is not for the orders", body)
	}
	return b.effects()
}

func (b *bench) effects() (ask *machine.Ask, answer *machine.Answer) {
	for _, effect := range b.wire.Drain() {
		switch e := effect.(type) {
		case machine.Ask:
			ask = &e
		case machine.Answer:
			answer = &e
		}
	}
	return ask, answer
}

func (b *bench) refused(kind errs.Kind, body any) {
	b.t.Helper()
	if ask, answer := b.hand(body); ask != nil || answer == nil || !errs.Is(answer.Err, kind) {
		b.t.Fatalf("%T: asked %+v, answered %+v, not %s", body, ask, answer, kind)
	}
}

func requests(bodies ...string) (items []shard.Item) {
	for _, body := range bodies {
		items = append(items, shard.Item{Request: &shard.Request{Target: "/x", Body: []byte(body)}})
	}
	return items
}

// A bundle of requests is enrolled under its own name for its route, and another
// body under the same name has another hash.
func TestABundleOfRequestsIsEnrolledForItsRoute(t *testing.T) {
	b := newBench(t)
	hashes := map[string]bool{}
	for _, bodies := range [][]string{{"x", "y"}, {"x", "y"}, {"x", "z"}} {
		ask, _ := b.hand(ForwardBundle{Route: "r", ID: "mine", Items: requests(bodies...)})
		if ask == nil || ask.To != "keeper" {
			t.Fatalf("asked %+v", ask)
		}
		bundle := ask.Body.(store.EnrolAsk).Bundle
		if bundle.ID != "mine" || bundle.Customer != "r" || bundle.Route != "r" || bundle.Key != "" || bundle.Plan != 3 || len(bundle.Items) != 2 || bundle.Items[1].ID != "1" {
			t.Fatalf("%+v", bundle)
		}
		hashes[bundle.Hash] = true
		b.wire.Answered(ask.Token, store.Receipt{Bundle: "mine"}, nil, b.now)
		if _, answer := b.effects(); answer == nil || answer.Body.(store.Receipt).Bundle != "mine" {
			t.Fatalf("answered %+v", answer)
		}
	}
	if len(hashes) != 2 {
		t.Fatalf("%d hashes of two bundles", len(hashes))
	}
	b.refused(errs.UnknownRoute, ForwardBundle{Route: "none", ID: "mine", Items: requests("x")})
	b.refused(errs.UnknownRoute, ForwardBundle{Route: "chat", ID: "mine", Items: requests("x")})
	b.refused(errs.UnknownRoute, ForwardBundle{Route: "live", ID: "mine", Items: requests("x")})
	b.refused(errs.BadInput, ForwardBundle{Route: "r", Items: requests("x")})
	b.refused(errs.BadInput, ForwardBundle{Route: "r", ID: "mine", Items: []shard.Item{{Input: "x"}}})
}

// A caller with a key does not get at what is passed on unchanged: neither by a
// route nor by an item.
func TestCallersWithKeysPassNothingOn(t *testing.T) {
	b := newBench(t)
	b.refused(errs.UnknownRoute, SubmitBundle{Caller: "k", Route: "r", Key: "1", Items: []shard.Item{{Input: "x"}}})
	b.refused(errs.UnknownRoute, Live{Caller: "k", Route: "live", Input: "x"})
	b.refused(errs.BadInput, SubmitBundle{Caller: "k", Route: "chat", Key: "1", Items: requests("x")})
	if ask, answer := b.hand(SubmitBundle{Caller: "k", Route: "chat", Key: "1", Items: []shard.Item{{Input: "x"}}}); ask == nil {
		t.Fatalf("a bundle of inputs was turned away: %+v", answer)
	}
	ask, _ := b.hand(Page{Caller: "k", Read: reader.Read{Bundle: "one", Anyone: true}})
	if read := ask.Body.(store.ReadAsk); read.Anyone || read.Customer != "c" {
		t.Fatalf("a caller with a key reads as %+v", read)
	}
}

// Without a key a bundle is looked at, ended, read and asked for a body by name.
// Where no keeper answers a look, that is no word on the bundle.
func TestABundleWithoutAKeyIsAskedForByItsName(t *testing.T) {
	b := newBench(t)
	silence := errs.New(errs.OutcomeUnknown, "ask again", "no answer in time")
	denial := errs.New(errs.NotFound, "check the name", "no such bundle")
	for _, one := range []struct {
		body   any
		fits   func(any) bool
		silent errs.Kind
	}{
		{BundleStatusAny{Bundle: "one"}, func(a any) bool {
			s, ok := a.(store.StatusAsk)
			return ok && s.Bundle == "one" && s.Anyone && !s.Operator
		}, errs.NotReady},
		{BundleStatusAny{Bundle: "one", End: true}, func(a any) bool { s, ok := a.(store.EndAsk); return ok && s.Bundle == "one" && s.Anyone }, errs.OutcomeUnknown},
		{ItemBody{Bundle: "one", Item: "i"}, func(a any) bool { s, ok := a.(store.ItemAsk); return ok && s.Bundle == "one" && s.Item == "i" }, errs.NotReady},
		{PageAny{Read: reader.Read{Name: "n", Bundle: "one", Indexed: true, From: 4, Customer: "c"}}, func(a any) bool {
			s, ok := a.(store.ReadAsk)
			return ok && s.Bundle == "one" && s.Anyone && s.Indexed && s.From == 4 && s.Customer == ""
		}, errs.NotReady},
	} {
		for _, err := range []error{silence, denial} {
			ask, answer := b.hand(one.body)
			if ask == nil || !one.fits(ask.Body) {
				t.Fatalf("%T: asked %+v, answered %+v", one.body, ask, answer)
			}
			b.wire.Answered(ask.Token, nil, err, b.now)
			wanted := one.silent
			if err == denial {
				wanted = errs.NotFound
			}
			if _, answer := b.effects(); answer == nil || !errs.Is(answer.Err, wanted) {
				t.Fatalf("%T: answered %+v, not %s", one.body, answer, wanted)
			}
		}
	}
	b.refused(errs.BadInput, PageAny{Read: reader.Read{Indexed: true}})
	b.refused(errs.BadInput, PageAny{Read: reader.Read{Bundle: "one", Indexed: true, From: -1}})
}
