package machines

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

type noArchive struct{}

func (noArchive) Get(uint64, string) ([]byte, error) { return nil, nil }
func (noArchive) Files() []uint64                    { return nil }
func (noArchive) LastFile() uint64                   { return 0 }

const testTime = 5 * clock.Second

// newTestStore makes a store that serves no shard and knows one edge and a configuration with a
// route "r" that forwards batches.
func newTestStore(forward config.Forward) *Store {
	return newTestStoreOf(batchstore.New(batchstore.Self{ID: "store"}, batchstore.Defaults(), nil, noArchive{}), forward)
}

// newTestStoreOf is newTestStore with the given replicas.
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

// submitTo submits a batch to shard 0 of a store and returns the error in the store's reply.
func submitTo(s *Store, now clock.Micros, route string, items ...shard.Item) (err error) {
	s.FreshnessAdvanced(now, now)
	batch := shard.Batch{ID: "b", Tenant: "r", Route: route, Items: items}
	for _, effect := range s.Call(1, batchstore.SubmitRequest{Batch: batch, Timeout: clock.Second}, now) {
		if reply, ok := effect.(machine.Reply); ok {
			err = reply.Err
		}
	}
	return err
}

func forwardedItem(tokens int64) shard.Item {
	return shard.Item{Request: &shard.Request{Tokens: tokens}}
}

func TestQuotaRejectsBatches(t *testing.T) {
	for _, test := range []struct {
		name      string
		limit     int64
		route     string
		tokens    int64
		errorKind errs.Kind // "": none
	}{
		{"within the limit", 300, "r", 300, ""},
		{"over the whole limit", 300, "r", 301, errs.OverQuota},
		{"without a limit", 0, "r", 1 << 40, ""},
		{"a route that forwards nothing", 1000, "plain", 1, errs.UnknownRoute},
	} {
		t.Run(test.name, func(t *testing.T) {
			pair := newReplicaPair()
			s := newTestStoreOf(pair.stores["store"], config.Forward{MaxQueuedTokens: test.limit})
			err := submitTo(s, pair.now, test.route, forwardedItem(test.tokens))
			if test.errorKind == "" && err != nil || test.errorKind != "" && !errs.Is(err, test.errorKind) {
				t.Errorf("%v", err)
			}
		})
	}
}

// A batch for a shard that the store does not serve is rejected by the shard, and no quota is requested.
func TestABatchOfAnUnservedShardReservesNoQuota(t *testing.T) {
	s := newTestStore(config.Forward{MaxQueuedTokens: 1000})
	if err := submitTo(s, testTime, "r", forwardedItem(1)); !errs.Is(err, errs.NotReady) {
		t.Errorf("%v", err)
	}
	if s.Quota.Rejected != 0 {
		t.Error("the quota has rejected the batch")
	}
}

// The store's ticks drop items whose retention has expired.
func TestTicksDropItemsThatAreTooOld(t *testing.T) {
	s := newTestStore(config.Forward{ItemRetention: 10 * clock.Second})
	s.executeTask(batchstore.RunItem{Batch: "b", Tenant: "r", Route: "r", SubmittedAt: testTime, Request: &shard.Request{}}, testTime)
	s.Tick(testTime + 10*clock.Second)
	if s.Runner.Pending() != 1 {
		t.Fatal("the item was dropped too early")
	}
	s.Tick(testTime + 12*clock.Second)
	if s.Runner.Pending() != 0 {
		t.Fatal("the item is still pending")
	}
}

// A store that does not know any core yet sends its heartbeats to its seeds.
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
