package machines

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

type noArchive struct{}

func (noArchive) Get(uint64, string) ([]byte, error) { return nil, nil }
func (noArchive) Files() []uint64                    { return nil }
func (noArchive) LastFile() uint64                   { return 0 }

// submitBatch is what a store that serves nothing does with a batch: the ask for a
// share, if there was one, and the error it answered.
func submitBatch(t *testing.T, limit int64, items ...shard.Item) (*quota.LeaseRequest, error) {
	t.Helper()
	now := 5 * clock.Second
	s := NewStore("store", batchstore.New(batchstore.Self{ID: "store"}, batchstore.Defaults(), nil, noArchive{}), 100, 1)
	configuration := &config.Configuration{Version: 1, Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{MaxQueuedTokens: limit}}, {Name: "plain", Kind: config.Batch}}}
	configuration.Index()
	s.Scheduler.SetConfiguration(configuration, now)
	s.FreshnessAdvanced(now, now)
	edge := membership.Member{ID: "edge", Kind: membership.Edge, Zone: "z", Peer: "edge"}
	s.UpdateReceived(machine.Update{Key: membership.Key("edge"), Value: edge.Encode()}, now)
	route := "r"
	if limit < 0 {
		route = "plain"
	}
	var lend *quota.LeaseRequest
	var err error
	for _, effect := range s.Call(1, batchstore.SubmitRequest{Batch: shard.Batch{ID: "b", Tenant: "r", Route: route, Items: items}}, now) {
		switch e := effect.(type) {
		case machine.Request:
			request := e.Body.(quota.LeaseRequest)
			lend = &request
		case machine.Reply:
			err = e.Err
		}
	}
	return lend, err
}

func opaqueItem(tokens int64) shard.Item {
	return shard.Item{Request: &shard.Request{Tokens: tokens}}
}

// A batch that is passed on takes its tokens from its route's bound; without a
// bound it asks for no share, and without such a route it is rejected.
func TestAForwardedBatchTakesItsTokens(t *testing.T) {
	lend, err := submitBatch(t, 1000, opaqueItem(300), opaqueItem(40), opaqueItem(0))
	if err != nil || lend == nil || lend.Tenant != "r" || lend.Quota != 1000 || lend.Wanted != 341+1000/128 {
		t.Fatalf("%+v %v", lend, err)
	}
	if lend, err := submitBatch(t, 300, opaqueItem(301)); lend != nil || !errs.Is(err, errs.OverQuota) {
		t.Fatalf("over the whole bound: %+v %v", lend, err)
	}
	if lend, err := submitBatch(t, 0, opaqueItem(1<<40)); lend != nil || !errs.Is(err, errs.NotReady) {
		t.Fatalf("without a bound it is the keeper's to answer: %+v %v", lend, err)
	}
	if lend, err := submitBatch(t, -1, opaqueItem(1)); lend != nil || !errs.Is(err, errs.UnknownRoute) {
		t.Fatalf("a route that passes nothing on: %+v %v", lend, err)
	}
}

// Items that came by a takeover are told at the next renewal, within their
// route's bound.
func TestTakenOverItemsAreReportedToTheirRoutesAccount(t *testing.T) {
	now := 5 * clock.Second
	s := NewStore("store", batchstore.New(batchstore.Self{ID: "store"}, batchstore.Defaults(), nil, noArchive{}), 100, 1)
	configuration := &config.Configuration{Version: 1, Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{MaxQueuedTokens: 1000}}}}
	configuration.Index()
	s.Scheduler.SetConfiguration(configuration, now)
	edge := membership.Member{ID: "edge", Kind: membership.Edge, Zone: "z", Peer: "edge"}
	s.UpdateReceived(machine.Update{Key: membership.Key("edge"), Value: edge.Encode()}, now)
	s.executeTask(batchstore.RunItem{Batch: "b", Tenant: "r", Route: "r", Request: &shard.Request{Tokens: 70}}, now)
	for _, effect := range s.Tick(now + clock.Second) {
		if request, ok := effect.(machine.Request); ok {
			if lend := request.Body.(quota.LeaseRequest); lend.Tenant != "r" || lend.InUse != 70 || lend.Quota != 1000 {
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
	s := NewStore("store", batchstore.New(batchstore.Self{ID: "store"}, batchstore.Defaults(), nil, noArchive{}), 100, 1)
	configuration := &config.Configuration{Version: 1, Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{ItemRetention: 10 * clock.Second}}}}
	configuration.Index()
	s.Scheduler.SetConfiguration(configuration, now)
	s.executeTask(batchstore.RunItem{Batch: "b", Tenant: "r", Route: "r", SubmittedAt: now, Request: &shard.Request{}}, now)
	s.Tick(now + 10*clock.Second)
	if s.Runner.Pending() != 1 {
		t.Fatal("it was let go too early")
	}
	s.Tick(now + 12*clock.Second)
	if s.Runner.Pending() != 0 {
		t.Fatal("it waits still")
	}
}

// A store that knows no core yet beats at its seeds.
func TestAStartingStoreSendsHeartbeatsToItsSeeds(t *testing.T) {
	ledger := batchstore.New(batchstore.Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 2}, batchstore.Defaults(), nil, noArchive{})
	s := NewStore("s", ledger, 10, 1)
	s.SetSeeds([]string{"seed:1"})
	for _, effect := range s.Tick(clock.Second) {
		if send, ok := effect.(machine.Send); ok && send.To == "seed:1" {
			if heartbeat, ok := send.Body.(batchstore.Heartbeat); ok && heartbeat.Incarnation == 2 {
				return
			}
		}
	}
	t.Fatal("no beat went to the seed")
}
