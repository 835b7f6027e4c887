package requests

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// bench is an edge's orders with one shard, whose store is the test.
type bench struct {
	*Machine
	t            *testing.T
	machineCalls *machine.Calls
	now          clock.Micros
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, machineCalls: machine.NewCalls(), now: clock.Second}
	sched, r := scheduler.New(scheduler.Defaults(), 1), reader.New(b.machineCalls)
	configuration := &config.Configuration{Version: 3, Classes: []config.PriorityClass{{Name: "a", Priority: 1, Quota: 9}}, Tenants: []config.Tenant{{Name: "c", Key: "k", Class: "a"}},
		Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{}}, {Name: "live", Kind: config.OneShot, Forward: &config.Forward{}},
			{Name: "chat", Kind: config.Batch, Classes: config.Selector{}, MaxItems: 9}}}
	configuration.Index()
	sched.SetConfiguration(configuration, b.now)
	m, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Shards: []replication.Assignment{{Epoch: 1}}})
	announcement, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "keeper", PersistedUpTo: 5, Shards: []token.OwnedShard{{Shard: 0, Epoch: 1}}})
	r.Receive(machine.Update{Key: state.MapKey, Seq: 1, Value: m}, b.now)
	r.Receive(machine.Update{Key: token.Key(1), Epoch: 1, Seq: 1, Value: announcement}, b.now)
	b.Machine = New(Defaults(), b.machineCalls, sched, nil, r, decisionlog.New(1))
	return b
}

// submit hands an ask in: what the store is asked, or what was answered at once.
func (b *bench) submit(body any) (*machine.Request, *machine.Reply) {
	b.t.Helper()
	if !b.Call(1, body, b.now) {
		b.t.Fatalf("%T is not for the orders", body)
	}
	return b.effects()
}

func (b *bench) effects() (request *machine.Request, response *machine.Reply) {
	for _, effect := range b.machineCalls.Drain() {
		switch e := effect.(type) {
		case machine.Request:
			request = &e
		case machine.Reply:
			response = &e
		}
	}
	return request, response
}

func (b *bench) expectRejected(kind errs.Kind, body any) {
	b.t.Helper()
	if request, response := b.submit(body); request != nil || response == nil || !errs.Is(response.Err, kind) {
		b.t.Fatalf("%T: asked %+v, answered %+v, not %s", body, request, response, kind)
	}
}

func forwardedItems(bodies ...string) (items []shard.Item) {
	for _, body := range bodies {
		items = append(items, shard.Item{Request: &shard.Request{Target: "/x", Body: []byte(body)}})
	}
	return items
}

// A batch of requests is enrolled under its own name for its route, and another
// body under the same name has another hash.
func TestAForwardedBatchIsSubmittedForItsRoute(t *testing.T) {
	b := newBench(t)
	hashes := map[string]bool{}
	for _, bodies := range [][]string{{"x", "y"}, {"x", "y"}, {"x", "z"}} {
		request, _ := b.submit(SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: forwardedItems(bodies...)})
		if request == nil || request.To != "keeper" {
			t.Fatalf("asked %+v", request)
		}
		batch := request.Body.(batchstore.SubmitRequest).Batch
		if batch.ID != "mine" || batch.Tenant != "r" || batch.Route != "r" || batch.Key != "" || batch.ConfigurationVersion != 3 || len(batch.Items) != 2 || batch.Items[1].ID != "1" {
			t.Fatalf("%+v", batch)
		}
		hashes[batch.Hash] = true
		b.machineCalls.ReplyReceived(request.Token, batchstore.SubmitResponse{Batch: "mine"}, nil, b.now)
		if _, response := b.effects(); response == nil || response.Body.(batchstore.SubmitResponse).Batch != "mine" {
			t.Fatalf("answered %+v", response)
		}
	}
	if len(hashes) != 2 {
		t.Fatalf("%d hashes of two bundles", len(hashes))
	}
	b.expectRejected(errs.UnknownRoute, SubmitForwardedBatchRequest{Route: "none", ID: "mine", Items: forwardedItems("x")})
	b.expectRejected(errs.UnknownRoute, SubmitForwardedBatchRequest{Route: "chat", ID: "mine", Items: forwardedItems("x")})
	b.expectRejected(errs.UnknownRoute, SubmitForwardedBatchRequest{Route: "live", ID: "mine", Items: forwardedItems("x")})
	b.expectRejected(errs.BadInput, SubmitForwardedBatchRequest{Route: "r", Items: forwardedItems("x")})
	b.expectRejected(errs.BadInput, SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: []shard.Item{{Input: "x"}}})
}

// A caller with a key does not get at what is passed on unchanged: neither by a
// route nor by an item.
func TestCallersWithKeysForwardNothing(t *testing.T) {
	b := newBench(t)
	b.expectRejected(errs.UnknownRoute, SubmitBatchRequest{APIKey: "k", Route: "r", IdempotencyKey: "1", Items: []shard.Item{{Input: "x"}}})
	b.expectRejected(errs.UnknownRoute, LiveRequest{APIKey: "k", Route: "live", Input: "x"})
	b.expectRejected(errs.BadInput, SubmitBatchRequest{APIKey: "k", Route: "chat", IdempotencyKey: "1", Items: forwardedItems("x")})
	if request, response := b.submit(SubmitBatchRequest{APIKey: "k", Route: "chat", IdempotencyKey: "1", Items: []shard.Item{{Input: "x"}}}); request == nil {
		t.Fatalf("a bundle of inputs was turned away: %+v", response)
	}
	request, _ := b.submit(PageRequest{APIKey: "k", Read: reader.Request{BatchID: "one", AnyTenant: true}})
	if read := request.Body.(batchstore.ReadRequest); read.AnyTenant || read.Tenant != "c" {
		t.Fatalf("a caller with a key reads as %+v", read)
	}
}

// Without a key a batch is looked at, ended, read and asked for a body by name.
// Where no store answers a look, that is no word on the batch.
func TestABatchWithoutAKeyIsAskedForByItsName(t *testing.T) {
	b := newBench(t)
	timeoutErr := errs.New(errs.OutcomeUnknown, "ask again", "no answer in time")
	notFoundErr := errs.New(errs.NotFound, "check the name", "no such bundle")
	for _, one := range []struct {
		body      any
		matches   func(any) bool
		onTimeout errs.Kind
	}{
		{ForwardedBatchStatusRequest{Batch: "one"}, func(a any) bool {
			s, ok := a.(batchstore.BatchStatusRequest)
			return ok && s.Batch == "one" && s.AnyTenant && !s.Operator
		}, errs.NotReady},
		{ForwardedBatchStatusRequest{Batch: "one", Cancel: true}, func(a any) bool { s, ok := a.(batchstore.EndRequest); return ok && s.Batch == "one" && s.AnyTenant }, errs.OutcomeUnknown},
		{ItemBodyRequest{Batch: "one", Item: "i"}, func(a any) bool {
			s, ok := a.(batchstore.ItemBodyRequest)
			return ok && s.Batch == "one" && s.Item == "i"
		}, errs.NotReady},
		{ForwardedPageRequest{Read: reader.Request{ID: "n", BatchID: "one", ByIndex: true, FromIndex: 4, Tenant: "c"}}, func(a any) bool {
			s, ok := a.(batchstore.ReadRequest)
			return ok && s.Batch == "one" && s.AnyTenant && s.Indexed && s.From == 4 && s.Tenant == ""
		}, errs.NotReady},
	} {
		for _, err := range []error{timeoutErr, notFoundErr} {
			request, response := b.submit(one.body)
			if request == nil || !one.matches(request.Body) {
				t.Fatalf("%T: asked %+v, answered %+v", one.body, request, response)
			}
			b.machineCalls.ReplyReceived(request.Token, nil, err, b.now)
			wanted := one.onTimeout
			if err == notFoundErr {
				wanted = errs.NotFound
			}
			if _, response := b.effects(); response == nil || !errs.Is(response.Err, wanted) {
				t.Fatalf("%T: answered %+v, not %s", one.body, response, wanted)
			}
		}
	}
	b.expectRejected(errs.BadInput, ForwardedPageRequest{Read: reader.Request{ByIndex: true}})
	b.expectRejected(errs.BadInput, ForwardedPageRequest{Read: reader.Request{BatchID: "one", ByIndex: true, FromIndex: -1}})
}
