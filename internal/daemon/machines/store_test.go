package machines

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

type noArchive struct{}

func (noArchive) Get(uint64, string) ([]byte, error) { return nil, nil }
func (noArchive) Files() []uint64                    { return nil }
func (noArchive) LastFile() uint64                   { return 0 }

const testTime = 5 * clock.Second

// newTestStore is a store that serves no shard, with one edge and a configuration of a route
// "r" that forwards batches.
func newTestStore(forward config.Forward) *Store {
	return newTestStoreOf(batchstore.New(batchstore.Self{ID: "store"}, batchstore.Defaults(), nil, noArchive{}), forward)
}

// newTestStoreOf is newTestStore on a store's replicas.
func newTestStoreOf(batches *batchstore.Store, forward config.Forward) *Store {
	s := NewStore("store", batches, 100, 1)
	configuration := &config.Configuration{
		Version: 1,
		Routes: []config.Route{
			{Name: "r", Kind: config.Batch, Forward: &forward},
			{Name: "plain", Kind: config.Batch},
		},
	}
	configuration.Index()
	s.Scheduler.SetConfiguration(configuration, testTime)
	s.UpdateReceived(memberUpdate(membership.Member{ID: "edge", Kind: membership.Edge, Zone: "z", Peer: "edge"}), testTime)
	return s
}

// submitBatch submits a batch to a store that serves nothing; it gives the request for quota,
// if there was one, and the error that the store replied.
func submitBatch(s *Store, route string, items ...shard.Item) (request *quota.LeaseRequest, err error) {
	s.FreshnessAdvanced(testTime, testTime)
	batch := shard.Batch{ID: "b", Tenant: "r", Route: route, Items: items}
	for _, effect := range s.Call(1, batchstore.SubmitRequest{Batch: batch}, testTime) {
		switch e := effect.(type) {
		case machine.Request:
			body := e.Body.(quota.LeaseRequest)
			request = &body
		case machine.Reply:
			err = e.Err
		}
	}
	return request, err
}

func forwardedItem(tokens int64) shard.Item {
	return shard.Item{Request: &shard.Request{Tokens: tokens}}
}

// A batch that is forwarded takes its tokens from its route's limit.
func TestAForwardedBatchTakesItsTokens(t *testing.T) {
	request, err := submitBatch(newTestStore(config.Forward{MaxQueuedTokens: 1000}), "r", forwardedItem(300), forwardedItem(40), forwardedItem(0))
	const wanted = 341 + 1000/128 // an item without tokens counts as one; a margin is requested besides
	if err != nil || request == nil || request.Tenant != "r" || request.Quota != 1000 || request.Wanted != wanted {
		t.Fatalf("%+v %v", request, err)
	}
}

func TestABatchWithoutARequestForQuota(t *testing.T) {
	for _, test := range []struct {
		name      string
		limit     int64
		route     string
		tokens    int64
		errorKind errs.Kind
	}{
		{"over the whole limit", 300, "r", 301, errs.OverQuota},
		{"without a limit it is the shard's to answer", 0, "r", 1 << 40, errs.NotReady},
		{"a route that forwards nothing", 1000, "plain", 1, errs.UnknownRoute},
	} {
		t.Run(test.name, func(t *testing.T) {
			request, err := submitBatch(newTestStore(config.Forward{MaxQueuedTokens: test.limit}), test.route, forwardedItem(test.tokens))
			if request != nil || !errs.Is(err, test.errorKind) {
				t.Errorf("%+v %v", request, err)
			}
		})
	}
}

// Items that came by a takeover are reported with the next renewal, within their route's
// limit.
func TestTakenOverItemsAreReportedToTheirRoutesAccount(t *testing.T) {
	s := newTestStore(config.Forward{MaxQueuedTokens: 1000})
	s.executeTask(batchstore.RunItem{Batch: "b", Tenant: "r", Route: "r", Request: &shard.Request{Tokens: 70}}, testTime)
	for _, effect := range s.Tick(testTime + clock.Second) {
		if e, ok := effect.(machine.Request); ok {
			if request := e.Body.(quota.LeaseRequest); request.Tenant != "r" || request.InUse != 70 || request.Quota != 1000 {
				t.Fatalf("%+v", request)
			}
			return
		}
	}
	t.Fatal("nothing was reported")
}

// The store's ticks drop items that are past their retention.
func TestTicksDropItemsThatAreTooOld(t *testing.T) {
	s := newTestStore(config.Forward{ItemRetention: 10 * clock.Second})
	s.executeTask(batchstore.RunItem{Batch: "b", Tenant: "r", Route: "r", SubmittedAt: testTime, Request: &shard.Request{}}, testTime)
	s.Tick(testTime + 10*clock.Second)
	if s.Runner.Pending() != 1 {
		t.Fatal("it was dropped too early")
	}
	s.Tick(testTime + 12*clock.Second)
	if s.Runner.Pending() != 0 {
		t.Fatal("it still waits")
	}
}

// A store that knows no core yet sends its heartbeats to its seeds.
func TestAStartingStoreSendsHeartbeatsToItsSeeds(t *testing.T) {
	batches := batchstore.New(batchstore.Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 2}, batchstore.Defaults(), nil, noArchive{})
	s := NewStore("s", batches, 10, 1)
	s.SetSeeds([]string{"seed:1"})
	for _, effect := range s.Tick(clock.Second) {
		if send, ok := effect.(machine.Send); ok && send.To == "seed:1" {
			if heartbeat, ok := send.Body.(registration.Heartbeat); ok && heartbeat.Incarnation == 2 {
				return
			}
		}
	}
	t.Fatal("no heartbeat went to the seed")
}
