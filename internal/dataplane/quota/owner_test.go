package quota

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// A new owner queries the primary of every shard before it grants, and grants nothing while one of
// them does not answer. (Guards against Vietnam's trouble-3: after all processes had been killed,
// an owner knew too few stores.)
func TestNewOwnerWaitsForEveryShard(t *testing.T) {
	f := newFleet(1, 3, 3)
	home := homeShard(batchAccount, f.maps[0])
	f.submitAll(30, 0, 1, 2)
	f.move(home, f.owner())
	unserved := (home + 1) % 3
	served := (home + 2) % 3
	f.move(unserved, "")
	f.receiveMap(f.ids...)
	var outcome error
	f.submit(served, 5, accountQuota(false), func(err error) { outcome = err })
	f.deliver()
	if !errs.Is(outcome, errs.NotReady) {
		t.Fatalf("outcome %v while a shard is not served", outcome)
	}
	f.move(unserved, storeID(0))
	f.receiveMap(f.ids...)
	if admitted := f.submitAll(5, served); admitted != 5 {
		t.Error("nothing was admitted after the shard was served again")
	}
	if admitted := f.submitAll(6, served); admitted != 0 {
		t.Error("the shard's pending weight of 30 does not count")
	}
}

// A daemon that does not serve the account's home shard grants nothing, whatever reports it has
// recorded before.
func TestOnlyOwnerGrants(t *testing.T) {
	f := newFleet(1, 2, 2)
	former := f.owner()
	request := LeaseRequest{Name: batchAccount, Report: Report{Queue: shardQueue(1), Epoch: 1, Sequence: 1}, Wanted: 10, Quota: testQuota}
	ask := func(id string) (outcome error) {
		f.daemons[id].handleLeaseRequest(request, f.now, func(_ LeaseResponse, err error, _ clock.Micros) { outcome = err })
		f.deliver()
		request.Report.Sequence++
		return outcome
	}
	if err := ask(former); err != nil {
		t.Fatal(err)
	}
	f.move(homeShard(batchAccount, f.maps[0]), "")
	if err := ask(former); !errs.Is(err, errs.NotReady) {
		t.Errorf("the former owner answered with error %v", err)
	}
	if err := ask("edge-1"); !errs.Is(err, errs.NotReady) {
		t.Errorf("an edge answered with error %v", err)
	}
}

// If a batch does not fit according to stale reports, the owner requests new ones: stores do not
// report on their own when items complete.
func TestStaleReportsAreRefreshed(t *testing.T) {
	f := newFleet(1, 2, 2)
	f.submitAll(50, 0, 1)
	f.shards[0].pending = 10
	if admitted := f.submitAll(30, 1); admitted != 0 {
		t.Error("reports were refreshed before maxReportAge had passed")
	}
	f.now += maxReportAge + 1
	if admitted := f.submitAll(30, 1); admitted != 30 {
		t.Error("completed items still count")
	}
}

// Work that was accepted without a grant while the tenant had no limit counts once the tenant has
// one.
func TestWorkAcceptedWithoutLimitCounts(t *testing.T) {
	f := newFleet(1, 3, 3)
	f.submitAll(1, 0, 1, 2) // under the first configuration; it makes the account ready
	f.now += 10 * clock.Second
	f.shards[1].pending += 80 // under the second, which sets no limit
	admitted := 0
	for _, shardIndex := range []int{0, 2} {
		quota := AccountQuota{Account: batchAccount, Limit: testQuota, ConfigurationVersion: 3}
		f.submit(shardIndex, 12, quota, func(err error) {
			if err == nil {
				admitted++
			}
		})
	}
	f.deliver()
	if waiting := f.pending(); waiting > testQuota || admitted != 1 {
		t.Errorf("%d of 2 batches were admitted, weight %d is pending", admitted, waiting)
	}
}

// While more work is pending than a lowered limit allows, nothing is admitted in place of items
// that complete during the lease request.
func TestNoAdmissionWhileAboveLoweredLimit(t *testing.T) {
	f := newFleet(1, 3, 3)
	f.submitAll(30, 0, 1, 2)
	var outcome error
	lowered := AccountQuota{Account: batchAccount, Limit: 50, ConfigurationVersion: 2}
	away := (homeShard(batchAccount, f.maps[0]) + 1) % 3
	f.submit(away, 10, lowered, func(err error) { outcome = err })
	f.shards[away].pending -= 20
	f.deliver()
	if !errs.Is(outcome, errs.OverQuota) {
		t.Errorf("outcome %v, pending weight %d of 50", outcome, f.pending())
	}
}

// The quota of the newest configuration applies, whichever client sent it.
func TestQuotaOfNewestConfigurationApplies(t *testing.T) {
	f := newFleet(1, 2, 2)
	submit := func(shardIndex, weight int, limit int64, version uint64) (outcome error) {
		quota := AccountQuota{Account: batchAccount, Limit: limit, ConfigurationVersion: version}
		f.submit(shardIndex, weight, quota, func(err error) { outcome = err })
		f.deliver()
		return outcome
	}
	if err := submit(0, 40, 50, 2); err != nil {
		t.Fatal(err)
	}
	if err := submit(1, 40, 100, 1); !errs.Is(err, errs.OverQuota) {
		t.Errorf("request with an older configuration: %v", err)
	}
	if err := submit(1, 40, 100, 3); err != nil {
		t.Errorf("request with a newer configuration: %v", err)
	}
}

// When an owner replaces an account with live requests, the new account has a higher epoch than all
// its earlier ones, even if the request's client does not know the latest: other clients know it
// and would refuse a lower one.
func TestReplacementAccountHasHigherEpoch(t *testing.T) {
	f := newFleet(1, 2, 2)
	owner := f.daemons["edge-1"]
	request := LeaseRequest{Name: mixedAccount, Report: Report{Queue: shardQueue(1), Epoch: 1, Sequence: 1}, Wanted: 10, Quota: testQuota, ConfigurationVersion: 1}
	request.Report.Account.Epoch = 5
	former := owner.findOrOpenAccount(request, f.now)
	owner.latestQuota(request)
	request.Report.Account.Epoch = 1
	request.ConfigurationVersion = 3 // the second may have set no limit
	f.now++
	replacement := owner.findOrOpenAccount(request, f.now)
	if replacement == former || replacement.ID.Epoch <= former.ID.Epoch {
		t.Errorf("account %+v replaced %+v", replacement.ID, former.ID)
	}
}
