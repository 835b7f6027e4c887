package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
)

// completeGroupUpdate returns the update with a map of two stores whose complete group has the given primary
// and replica.
func completeGroupUpdate(seq, epoch uint64, primary, replica string) UpdateReceived {
	stores := map[string]state.Store{"a": {Peer: "a", Incarnation: 1}, "b": {Peer: "b", Incarnation: 1}}
	return mapUpdate(seq, stores, replication.Assignment{
		Epoch:    epoch,
		Primary:  replication.Member{ID: primary, Incarnation: 1},
		Replicas: []replication.Member{{ID: replica, Incarnation: 1}},
		Complete: true,
		Trusted:  []string{primary, replica},
	})
}

// routeAccount is the account of forwarded batches without a tenant.
var routeAccount = shard.AccountName{Route: "route"}

// pendingWeight returns the weight that a store reports for the shard; serving is false if it must not report
// any.
func (c *cluster) pendingWeight(id string) (weight int, serving bool) {
	if _, serving = c.stores[id].ServingEpoch(0, c.now); !serving {
		return 0, false
	}
	return c.stores[id].PendingWeight(0, routeAccount), true
}

func (c *cluster) expectPending(id string, want int) {
	c.t.Helper()
	if got, serving := c.pendingWeight(id); !serving || got != want {
		c.t.Fatalf("store %s reports the pending weight %d, serving %v; want %d", id, got, serving, want)
	}
}

// expectPendingOf checks the pending weight of an account on the store "a".
func (c *cluster) expectPendingOf(account shard.AccountName, want int) {
	c.t.Helper()
	if got := c.stores["a"].PendingWeight(0, account); got != want {
		c.t.Fatalf("the pending weight is %d in account %s, want %d", got, account, want)
	}
	if got := c.stores["a"].PendingWeights(c.now)[account]; got != want {
		c.t.Fatalf("the pending weight over all shards is %d in account %s, want %d", got, account, want)
	}
}

// Items count as pending from when their batch's entry is appended until their results are durable,
// regardless of attempts. A forwarded item weighs its number of tokens, an item with an input weighs 1.
func TestPendingWeightIncludesItemsUntilResultsAreDurable(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3)) // 10, 11 and 12 tokens
	c.expectPending("a", 33)
	chatAccount := shard.AccountName{Tenant: "route"} // the tenant has the same name as the route
	chat := SubmitRequest{Batch: shard.Batch{ID: "chat", Tenant: "route", Key: "k", Items: []shard.Item{{ID: "x", Input: "in"}, {ID: "y", Input: "in"}}}, Timeout: clock.Second}
	c.mustCall(chat)
	c.expectPendingOf(chatAccount, 2)
	c.expectPendingOf(routeAccount, 33)
	c.do("a", finished("chat", 0))
	c.expectPendingOf(chatAccount, 1)
	c.delayed = true
	c.do("a", finished("one", 1))
	c.expectPendingOf(routeAccount, 33)
	c.executeDelayed()
	c.expectPendingOf(routeAccount, 22)
	c.delayed = true
	c.call(EndRequest{Batch: "one", By: accessByID, Timeout: clock.Second})
	c.expectPendingOf(routeAccount, 22)
	c.executeDelayed()
	c.expectPendingOf(routeAccount, 0)
	c.expectPendingOf(chatAccount, 1)
}

// The batches of each tenant of a route count in a separate account, and those without a tenant in the
// account of the route.
func TestEachTenantOfARouteHasAnAccount(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("shared", 1))
	for _, tenant := range []string{"x", "route"} {
		request := forwardedBatch("of "+tenant, 2)
		request.Batch.Tenant, request.Batch.Key = tenant, request.Batch.ID
		c.mustCall(request)
	}
	c.expectPendingOf(routeAccount, 10)
	for _, tenant := range []string{"x", "route"} {
		c.expectPendingOf(shard.AccountName{Tenant: tenant, Route: "route"}, 21)
	}
}

// A shard's pending weight is reported only by the store that serves the shard: not by its replica, not by
// a restarted store, whatever it has read from disk, and not by a store that has lost the shard. Guards
// against issue 29 (Ghent's scale-1, seed 117614157011): after a restart or while a shard moved, two
// stores counted the same items as a precaution, and the owner of the quota account granted leases for
// both counts. Once one of the counts fell, its store admitted as much new work from its lease, above
// the quota.
func TestPendingWeightIsReportedOnlyByTheServingStore(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3))
	c.expectPending("a", 33)
	if _, serving := c.pendingWeight("b"); serving {
		t.Error("the replica reports a pending weight")
	}
	records := append(c.stores["a"].ownRecords(), c.stores["a"].groups.CompactedRecords()...)
	restarted := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), records, newMemoryArchive())
	restarted.Do(completeGroupUpdate(9, 1, "a", "b"), c.now)
	if _, serving := restarted.ServingEpoch(0, c.now); serving || restarted.PendingWeights(c.now)[routeAccount] != 0 {
		t.Error("a restarted store reports a shard that it does not serve yet")
	}
	empty := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), nil, newMemoryArchive())
	empty.Do(completeGroupUpdate(9, 1, "a", "b"), c.now)
	if _, serving := empty.ServingEpoch(0, c.now); serving {
		t.Error("a store that lost its disk reports a shard whose batches it does not have")
	}
	primary := c.stores["a"]
	primary.Do(completeGroupUpdate(10, 2, "b", "a"), c.now)
	if _, serving := primary.ServingEpoch(0, c.now); serving || primary.PendingWeights(c.now)[routeAccount] != 0 {
		t.Error("a store that lost the shard still reports it")
	}
}

// A successor reports the weight of all accepted items once it serves the shard, and not before.
func TestSuccessorReportsPendingWeightOnceServing(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3))
	for _, id := range []string{"a", "b"} {
		c.do(id, completeGroupUpdate(10, 2, "b", "a"))
	}
	if _, serving := c.pendingWeight("b"); serving {
		t.Error("the successor reports the shard before every member has the state")
	}
	c.advance(3 * clock.Second)
	c.do("b", completeGroupUpdate(11, 2, "b", "a"))
	c.advance(clock.Second)
	c.expectPending("b", 33)
	if epoch, _ := c.stores["b"].ServingEpoch(0, c.now); epoch != 2 {
		t.Errorf("the successor serves under epoch %d, want 2", epoch)
	}
	if _, serving := c.pendingWeight("a"); serving {
		t.Error("the former primary still reports the shard")
	}
}

// A store whose lease has ended reports no pending weight, because its successor may have accepted more items.
func TestStoreWithoutLeaseReportsNoPendingWeight(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3))
	c.unreachable = "b"
	c.advance(2 * clock.Second)
	if _, serving := c.pendingWeight("a"); serving || c.stores["a"].PendingWeights(c.now)[routeAccount] != 0 {
		t.Error("the store reports a pending weight without a valid lease")
	}
}
