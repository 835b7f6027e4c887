package controlplane

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

func (b *testCluster) retire(t *testing.T, request RetireRequest) (RetireResponse, error) {
	t.Helper()
	request.Timeout = 3 * clock.Second
	call := b.call(b.primary(), request)
	b.deliverAll()
	answer := b.reply(t, call)
	acknowledgement, _ := answer.Body.(RetireResponse)
	return acknowledgement, answer.Err
}

// A store is retired by the operator's name for its machine, which selects the newest store of
// that name that is not evicted. A read-only request changes nothing, and a changed name is
// recorded.
func TestStoreIsRetiredByName(t *testing.T) {
	b := newTestCluster(smallSettings())
	for i := 1; i <= 3; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
		b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i)).Name = fmt.Sprint("machine-", i)
	}
	b.awaitStable(t)
	core := b.primary()
	for _, request := range []RetireRequest{{Name: "machine-9"}, {Name: ""}, {ID: "store-9"}, {Name: "machine-9", ReadOnly: true}} {
		if _, err := b.retire(t, request); !errs.Is(err, errs.NotFound) {
			t.Errorf("%+v: error %v, want not found", request, err)
		}
	}
	b.stores[2].unreachable = true
	b.advance(5 * clock.Second)
	if _, err := b.retire(t, RetireRequest{Name: "machine-1"}); !errs.Is(err, errs.Rejected) || errs.Of(err).Status() != 409 {
		t.Errorf("two zones would not remain: error %v, want rejected", err)
	}
	b.stores[2].unreachable = false
	b.awaitStable(t)
	// With another store on the same machine, the name selects the newer one.
	fourth := b.store("store-0", "s4", "zone-1")
	fourth.Name = "machine-1"
	b.advance(clock.Second)
	seq := core.State().Seq
	if acknowledgement, err := b.retire(t, RetireRequest{Name: "machine-1", ReadOnly: true}); err != nil || acknowledgement.ID != "store-0" || acknowledgement.Done || core.State().Seq != seq || core.State().Stores["store-0"].Retiring {
		t.Fatalf("a read-only request: reply %+v, error %v, %d entries written; want store-0 and none written", acknowledgement, err, core.State().Seq-seq)
	}
	// After it gets another name, the name selects the older store.
	fourth.Name = "machine-4"
	b.advance(clock.Second)
	if core.State().Stores["store-0"].Name != "machine-4" {
		t.Fatal("the new name was not recorded")
	}
	acknowledgement, err := b.retire(t, RetireRequest{Name: "machine-1"})
	if err != nil || acknowledgement.ID != "store-1" || acknowledgement.Done || acknowledgement.ShardsLeft == 0 {
		t.Fatalf("reply %+v, error %v, want store-1 with shards left", acknowledgement, err)
	}
	b.advance(10 * clock.Second)
	if acknowledgement, err = b.retire(t, RetireRequest{Name: "machine-1", ReadOnly: true}); err != nil || acknowledgement != (RetireResponse{ID: "store-1", Done: true}) {
		t.Fatalf("after 10 s: reply %+v, error %v, want store-1 done", acknowledgement, err)
	}
	if acknowledgement, err = b.retire(t, RetireRequest{ID: "store-1", Name: "machine-2", Cancel: true}); err != nil || acknowledgement.ID != "store-1" || core.State().Stores["store-1"].Retiring {
		t.Fatalf("after the cancellation: reply %+v, error %v, want store-1 no longer retiring", acknowledgement, err)
	}
}

// Two stores are to be retired at the same time, and the fleet can spare either but not both:
// one request is refused.
func TestConcurrentRetirementsAreDecidedInOrder(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.store("store-4", "s4", "zone-1")
	b.advance(clock.Second)
	core := b.primary()
	b.drop = isAppend
	b.call(core, putRequest(1, 0, `{}`)) // both are queued behind it
	one := b.call(core, RetireRequest{ID: "store-2", Timeout: 3 * clock.Second})
	two := b.call(core, RetireRequest{ID: "store-3", Timeout: 3 * clock.Second})
	b.drop = nil
	b.advance(clock.Second)
	if first, second := b.reply(t, one), b.reply(t, two); first.Err != nil || !errs.Is(second.Err, errs.Rejected) {
		t.Fatalf("reply %v, error %v and reply %v, error %v; want one accepted and one rejected", first.Body, first.Err, second.Body, second.Err)
	}
}

// The progress of a retirement is reported from confirmed state only.
func TestReadOnlyRetirementWaitsForTheChangeInFlight(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	b.store("store-4", "s4", "zone-1")
	b.advance(clock.Second)
	core := b.primary()
	b.drop = isAppend
	retire := b.call(core, RetireRequest{ID: "store-1", Timeout: clock.Second})
	readOnly := b.call(core, RetireRequest{ID: "store-1", ReadOnly: true})
	again := b.call(core, RetireRequest{ID: "store-1", Timeout: clock.Second})
	b.advance(1200 * clock.Millisecond)
	if _, isAnswered := b.replies[readOnly]; isAnswered {
		t.Fatal("the read-only request was answered before the group confirmed the retirement")
	}
	for _, call := range []uint64{retire, again} {
		if answer := b.reply(t, call); !errs.Is(answer.Err, errs.OutcomeUnknown) {
			t.Errorf("call %d after its deadline: reply %v, error %v, want an unknown outcome", call, answer.Body, answer.Err)
		}
	}
	b.drop = nil
	b.advance(clock.Second)
	if answer := b.reply(t, readOnly); answer.Err != nil {
		t.Fatalf("the read-only request got error %v", answer.Err)
	}
}

// A store is retired only when no shard depends on it, including shards whose new group is not
// complete, and when all other groups are complete as well.
func TestStoreIsRetiredOnlyWhenAllGroupsAreComplete(t *testing.T) {
	settings := smallSettings()
	settings.BalanceAfter = 3600 * clock.Second
	b := bootstrappedCluster(t, settings)
	fourth := b.store("store-4", "s4", "zone-1")
	b.advance(clock.Second)
	readProgress := func(id string) RetireResponse {
		acknowledgement, err := b.retire(t, RetireRequest{ID: id, ReadOnly: true})
		if err != nil {
			t.Fatal(err)
		}
		return acknowledgement
	}
	setReportsComplete := func(complete bool) {
		for _, s := range b.stores {
			s.reportsComplete = complete
		}
	}
	// Nothing depends on the fourth store, but groups of the other stores are not complete.
	setReportsComplete(false)
	b.stores[2].Incarnation = 2
	b.advance(clock.Second)
	if allShardsComplete(b.primary()) {
		t.Fatal("all groups are complete, so the test can't detect an early retirement")
	}
	if _, err := b.retire(t, RetireRequest{ID: "store-4"}); err != nil {
		t.Fatal(err)
	}
	b.advance(3 * clock.Second)
	if got := readProgress("store-4"); got.Done || got.ShardsLeft != 0 {
		t.Fatalf("other groups are not complete: progress %+v, want not done and no shards left", got)
	}
	setReportsComplete(true)
	b.advance(3 * clock.Second)
	if got := readProgress("store-4"); !got.Done {
		t.Fatalf("all groups are complete: progress %+v, want done", got)
	}
	if _, err := b.retire(t, RetireRequest{ID: fourth.ID, Cancel: true}); err != nil {
		t.Fatal(err)
	}
	// The shards of the first store have new groups, but none is complete yet.
	setReportsComplete(false)
	if _, err := b.retire(t, RetireRequest{ID: "store-1"}); err != nil {
		t.Fatal(err)
	}
	b.advance(3 * clock.Second)
	for shard, p := range b.primary().State().Shards {
		if slices.Contains(p.IDs(), "store-1") {
			t.Fatalf("shard %d is still assigned to the store: %+v", shard, p)
		}
	}
	if got := readProgress("store-1"); got.Done || got.ShardsLeft == 0 {
		t.Fatalf("the new groups are not complete: progress %+v, want not done and shards left", got)
	}
	setReportsComplete(true)
	b.advance(3 * clock.Second)
	if got := readProgress("store-1"); !got.Done || got.ShardsLeft != 0 {
		t.Fatalf("all groups are complete: progress %+v, want done and no shards left", got)
	}
}
