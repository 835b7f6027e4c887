package quota

import (
	"testing"

	"tuliprudder/internal/clock"
)

// acceptWithoutGrant queues a batch, as a store does while it knows no limit for the tenant.
func (f *fleet) acceptWithoutGrant(shardIndex, weight int) { f.shards[shardIndex].pending += weight }

// A store that received the configuration with the limit late reports to the owner what it accepted
// without a grant. That work counts even if the store submits nothing more.
func TestWorkAcceptedBeforeLateConfigurationCounts(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.submitAll(1, 0, 1) // opens the account, with reports on both shards
	late := f.daemons[f.shards[1].primary]
	f.acceptWithoutGrant(1, 60)
	late.ReportPending([]AccountQuota{accountQuota(false)}, f.now)
	f.deliver()
	if admitted := f.submitAll(50, 0); admitted != 0 {
		t.Fatalf("weight %d was admitted while 62 of %d were pending", admitted, testQuota)
	}
	if admitted := f.submitAll(38, 0); admitted != 38 {
		t.Fatalf("weight %d was admitted where 38 fit", admitted)
	}
}

// Pending reports are repeated until an owner has acknowledged them, and not after that.
func TestPendingReportsAreRetriedUntilAcknowledged(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.submitAll(1, 0, 1)
	shardIndex := 1 - homeShard(batchAccount, f.maps[0]) // served by the store that does not own the account
	late := f.daemons[f.shards[shardIndex].primary]
	f.acceptWithoutGrant(shardIndex, 60)
	f.route = func(string, string, func()) {} // every message is lost
	f.onRequest = func(sent sentRequest) { f.receiveReply(sent, nil, errOwnerUnreachable()) }
	late.ReportPending([]AccountQuota{accountQuota(false)}, f.now)
	f.send()
	if len(late.unacknowledged) != 1 {
		t.Fatal("a report that did not arrive was dropped")
	}
	f.route, f.onRequest = nil, nil
	f.now += renewalInterval
	late.Tick(f.now)
	f.deliver()
	if len(late.unacknowledged) != 0 {
		t.Fatal("an acknowledged report was kept")
	}
	if admitted := f.submitAll(50, 0); admitted != 0 {
		t.Fatalf("weight %d was admitted while 62 of %d were pending", admitted, testQuota)
	}
}

// An account of batches waits indefinitely for a shard that no daemon serves, and admits nothing
// meanwhile. A shard no longer counts once the control state knows no copy of it.
func TestUnservedShardCountsUntilLost(t *testing.T) {
	f := newFleet(1, 3, 3)
	home := homeShard(batchAccount, f.maps[0])
	away, other := (home+1)%3, (home+2)%3
	f.submitAll(60, away)
	f.shards[away].primary = "" // no store serves it
	f.move(home, f.shards[other].primary)
	f.receiveMap(f.ids...)
	for range 20 {
		f.now += 60 * clock.Second
		if admitted := f.submitAll(50, other); admitted != 0 {
			t.Fatalf("weight %d was admitted while an unserved shard had 60 of %d pending", admitted, testQuota)
		}
	}
	f.evicted = []string{f.shards[away].lastPrimary}
	f.publishMap()
	f.receiveMap(f.ids...)
	f.now += 60 * clock.Second
	if admitted := f.submitAll(50, other); admitted != 50 {
		t.Errorf("weight %d was admitted after the shard was lost", admitted)
	}
}
