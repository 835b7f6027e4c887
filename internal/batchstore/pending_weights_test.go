package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
)

// completeGroupUpdate is a map of two stores whose complete group has the given primary and replica.
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

// pendingWeight is what a store reports of the shard; serving is false where it must report nothing.
func (c *cluster) pendingWeight(id string) (weight int, serving bool) {
	if _, serving = c.stores[id].ServingEpoch(0, c.now); !serving {
		return 0, false
	}
	return c.stores[id].PendingWeight(0, routeAccount), true
}

func (c *cluster) expectPending(id string, want int) {
	c.t.Helper()
	if got, serving := c.pendingWeight(id); !serving || got != want {
		c.t.Fatalf("%s counts %d, serving %v; not %d", id, got, serving, want)
	}
}

// expectPendingOf checks what the store "a" counts in an account.
func (c *cluster) expectPendingOf(account shard.AccountName, want int) {
	c.t.Helper()
	if got := c.stores["a"].PendingWeight(0, account); got != want {
		c.t.Fatalf("%d count in %s, not %d", got, account, want)
	}
	if got := c.stores["a"].PendingWeights(c.now)[account]; got != want {
		c.t.Fatalf("%d count in %s in all shards, not %d", got, account, want)
	}
}

// Items count from their batch's entry on until their results are durable, whatever attempts there
// are: a forwarded one by its tokens, one with an input as one.
func TestPendingWeightIncludesItemsUntilResultsAreDurable(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3)) // 10, 11 and 12 tokens
	c.expectPending("a", 33)
	chatAccount := shard.AccountName{Tenant: "route"} // named like the route
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

// The batches of each tenant of a route count in an account of its own, those without a tenant in the
// route's.
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

// A shard counts at the store that serves it and nowhere else: not at its replica, not at a store
// that restarted, whatever that one read back, and not at one that has lost it. (Ghent's scale-1,
// seed 117614157011, and issue 29: what two stores counted for safety was spent.)
func TestPendingWeightIsReportedOnlyByTheServingStore(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3))
	c.expectPending("a", 33)
	if _, serving := c.pendingWeight("b"); serving {
		t.Error("the replica reports the shard")
	}
	records := append(c.stores["a"].ownRecords(), c.stores["a"].groups.CompactedRecords()...)
	restarted := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), records, newMemoryArchive())
	restarted.Do(completeGroupUpdate(9, 1, "a", "b"), c.now)
	if _, serving := restarted.ServingEpoch(0, c.now); serving || restarted.PendingWeights(c.now)[routeAccount] != 0 {
		t.Error("a store that restarted reports a shard that it doesn't serve yet")
	}
	empty := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), nil, newMemoryArchive())
	empty.Do(completeGroupUpdate(9, 1, "a", "b"), c.now)
	if _, serving := empty.ServingEpoch(0, c.now); serving {
		t.Error("a store that lost its disk reports a shard whose batches it doesn't know")
	}
	primary := c.stores["a"]
	primary.Do(completeGroupUpdate(10, 2, "b", "a"), c.now)
	if _, serving := primary.ServingEpoch(0, c.now); serving || primary.PendingWeights(c.now)[routeAccount] != 0 {
		t.Error("a store that lost the shard reports it")
	}
}

// A successor reports all that was accepted once it serves the shard, and not before.
func TestSuccessorReportsPendingWeightOnceServing(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3))
	for _, id := range []string{"a", "b"} {
		c.do(id, completeGroupUpdate(10, 2, "b", "a"))
	}
	if _, serving := c.pendingWeight("b"); serving {
		t.Error("it reports before every member has the state")
	}
	c.advance(3 * clock.Second)
	c.do("b", completeGroupUpdate(11, 2, "b", "a"))
	c.advance(clock.Second)
	c.expectPending("b", 33)
	if epoch, _ := c.stores["b"].ServingEpoch(0, c.now); epoch != 2 {
		t.Errorf("it serves under epoch %d", epoch)
	}
	if _, serving := c.pendingWeight("a"); serving {
		t.Error("the former primary reports too")
	}
}

// A store whose lease has ended reports nothing: its successor may have admitted more.
func TestStoreWithoutLeaseReportsNoPendingWeight(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3))
	c.unreachable = "b"
	c.advance(2 * clock.Second)
	if _, serving := c.pendingWeight("a"); serving || c.stores["a"].PendingWeights(c.now)[routeAccount] != 0 {
		t.Error("it reports without a lease")
	}
}
