package quota

import (
	"testing"

	"tuliprudder/internal/clock"
)

// acceptWithoutGrant queues a batch as a store does that knows no limit for the tenant yet.
func (f *fleet) acceptWithoutGrant(shardIndex, weight int) { f.shards[shardIndex].pending += weight }

// A store that received the configuration with the limit late tells the owner what it accepted without
// one: it counts, though the store submits nothing more.
func TestWorkAcceptedBeforeLateConfigurationCounts(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.submitAll(1, 0, 1) // the account is open, and both shards have reported
	late := f.daemons[f.shards[1].primary]
	f.acceptWithoutGrant(1, 60)
	late.ReportPending([]AccountQuota{accountQuota(false)}, f.now)
	f.deliver()
	if admitted := f.submitAll(50, 0); admitted != 0 {
		t.Fatalf("%d are admitted beside 62 of %d", admitted, testQuota)
	}
	if admitted := f.submitAll(38, 0); admitted != 38 {
		t.Fatalf("%d are admitted where 38 fit", admitted)
	}
}

// The report is repeated until an owner has taken it, and then no more.
func TestPendingReportsAreRetriedUntilAcknowledged(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.submitAll(1, 0, 1)
	shardIndex := 1 - homeShard(batchAccount, f.maps[0]) // of the store that doesn't own the account
	late := f.daemons[f.shards[shardIndex].primary]
	f.acceptWithoutGrant(shardIndex, 60)
	f.route = func(string, string, func()) {} // every message is lost
	f.onRequest = func(sent sentRequest) { f.receiveReply(sent, nil, errOwnerUnreachable()) }
	late.ReportPending([]AccountQuota{accountQuota(false)}, f.now)
	f.send()
	if len(late.unacknowledged) != 1 {
		t.Fatal("a report that did not arrive is forgotten")
	}
	f.route, f.onRequest = nil, nil
	f.now += renewalInterval
	late.Tick(f.now)
	f.deliver()
	if len(late.unacknowledged) != 0 {
		t.Fatal("a report that arrived is kept")
	}
	if admitted := f.submitAll(50, 0); admitted != 0 {
		t.Fatalf("%d are admitted beside 62 of %d", admitted, testQuota)
	}
}

// An account of batches waits for a shard that nobody serves, however long that takes, and admits
// nothing meanwhile; one of which the control state knows no copy any more doesn't count.
func TestUnservedShardCountsUntilLost(t *testing.T) {
	f := newFleet(1, 3, 3)
	home := homeShard(batchAccount, f.maps[0])
	away, other := (home+1)%3, (home+2)%3
	f.submitAll(60, away)
	f.shards[away].primary = "" // nobody serves it
	f.move(home, f.shards[other].primary)
	f.receiveMap(f.ids...)
	for range 20 {
		f.now += 60 * clock.Second
		if admitted := f.submitAll(50, other); admitted != 0 {
			t.Fatalf("%d are admitted beside a shard that is away with 60 of %d", admitted, testQuota)
		}
	}
	f.evicted = []string{f.shards[away].lastPrimary}
	f.publishMap()
	f.receiveMap(f.ids...)
	f.now += 60 * clock.Second
	if admitted := f.submitAll(50, other); admitted != 50 {
		t.Errorf("%d are admitted once the shard is lost for good", admitted)
	}
}
