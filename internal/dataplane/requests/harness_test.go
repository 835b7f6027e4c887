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

// harness is a Machine with one shard, for which the test acts as the store.
type harness struct {
	*Machine
	t            *testing.T
	machineCalls *machine.Calls
	now          clock.Micros
}

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, machineCalls: machine.NewCalls(), now: clock.Second}
	sched, r := scheduler.New(scheduler.Defaults(), 1), reader.New(b.machineCalls)
	configuration := &config.Configuration{Version: 3, Classes: []config.PriorityClass{{Name: "a", Priority: 1, Quota: 9}}, Tenants: []config.Tenant{{Name: "c", Keys: []config.KeyDigest{config.DigestKey("k")}, Class: "a"}},
		Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{}}, {Name: "live", Kind: config.OneShot, Forward: &config.Forward{}},
			{Name: "chat", Kind: config.Batch, Classes: config.Selector{}, MaxItems: 9}}}
	configuration.Index()
	sched.SetConfiguration(configuration, b.now)
	m, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Shards: []replication.Assignment{{Epoch: 1}}})
	announcement, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "store", PersistedUpTo: 5, Shards: []token.OwnedShard{{Shard: 0, Epoch: 1}}})
	r.Receive(machine.Update{Key: state.MapKey, Seq: 1, Value: m}, b.now)
	r.Receive(machine.Update{Key: token.Key(1), Epoch: 1, Seq: 1, Value: announcement}, b.now)
	b.Machine = New(Defaults(), b.machineCalls, sched, nil, r, decisionlog.New(1))
	return b
}

// anyTenant is the access of callers that are not identified by keys.
var anyTenant = batchstore.Access{AnyTenant: true}

// submit passes a message to the machine and returns the request to the store or the reply.
func (b *harness) submit(body any) (*machine.Request, *machine.Reply) {
	b.t.Helper()
	if !b.Call(1, body, b.now) {
		b.t.Fatalf("message %T is not handled", body)
	}
	return b.effects()
}

func (b *harness) effects() (request *machine.Request, response *machine.Reply) {
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

func (b *harness) expectRejected(kind errs.Kind, body any) {
	b.t.Helper()
	if request, response := b.submit(body); request != nil || response == nil || !errs.Is(response.Err, kind) {
		b.t.Fatalf("%T: requested %+v, replied %+v, want only error %s", body, request, response, kind)
	}
}

func forwardedItems(bodies ...string) (items []shard.Item) {
	for _, body := range bodies {
		items = append(items, shard.Item{Request: &shard.Request{Target: "/x", Body: []byte(body)}})
	}
	return items
}
