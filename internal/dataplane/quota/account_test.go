package quota

import (
	"fmt"
	"math/rand"
	"testing"

	"tuliprudder/internal/clock"
)

// simulation simulates the work of one tenant at many daemons, with owners that fail over and lease
// responses that get lost.
type simulation struct {
	now         clock.Micros
	rng         *rand.Rand
	daemonIDs   []string
	shares      map[string]*Share
	account     *Account
	epoch       uint64
	sequence    uint64
	skipRebuild bool
	peakInUse   int
}

func newSimulation(seed int64, skipRebuild bool) *simulation {
	f := &simulation{now: 1_000_000, rng: rand.New(rand.NewSource(seed)), shares: map[string]*Share{}, skipRebuild: skipRebuild}
	for i := 0; i < 12; i++ {
		id := fmt.Sprint("d", i)
		f.daemonIDs = append(f.daemonIDs, id)
		f.shares[id] = &Share{}
	}
	f.failOver()
	return f
}

// failOver opens a new account, as a successor without any state does.
func (f *simulation) failOver() {
	f.epoch++
	var queues []Queue
	for _, id := range f.daemonIDs {
		queues = append(queues, daemonQueue(id))
	}
	f.account = OpenAccount(AccountID{Epoch: f.epoch, OpenedAt: f.now}, false, queues)
	f.account.InjectedFaults.SkipRebuild = f.skipRebuild
}

// report returns a report of a daemon, for the current account.
func (f *simulation) report(id string) Report {
	f.sequence++
	return Report{Queue: daemonQueue(id), Sequence: f.sequence, Account: f.account.ID, InUse: f.shares[id].committed(f.now)}
}

// request makes a report and asks for a lease of the given size; the response is lost once in
// lossRate times, never if that is 0.
func (f *simulation) request(id string, wanted int, lossRate int) {
	s := f.shares[id]
	s.ShrinkTo(wanted)
	report := f.report(id)
	f.account.Record(report, f.now)
	granted, _ := f.account.Grant(report, max(wanted, report.InUse), testQuota, f.now)
	if lossRate == 0 || f.rng.Intn(lossRate) > 0 {
		s.ApplyGrant(granted, f.now)
	}
}

func (f *simulation) inUse() int {
	sum := 0
	for _, s := range f.shares {
		sum += s.InUse
	}
	return sum
}

// step performs one random action of a daemon or the owner, then renews leases.
func (f *simulation) step() {
	f.now += clock.Micros(f.rng.Intn(20_000))
	id := f.daemonIDs[f.rng.Intn(len(f.daemonIDs))]
	switch action := f.rng.Intn(12); {
	case action <= 6:
		f.reserve(id)
	case action <= 8:
		if s := f.shares[id]; s.InUse > 0 {
			s.Release(1, f.now)
		}
	case action == 9:
		f.renew(id)
	case action == 10:
		f.queryUnreported()
	default:
		if f.rng.Intn(25) == 0 {
			f.failOver()
		}
	}
	// Each client with work renews its lease in time, unless its request is delayed.
	for _, id := range f.daemonIDs {
		if s := f.shares[id]; s.InUse > 0 && s.ExpiresAt-f.now < LeaseDuration/2 && f.rng.Intn(4) > 0 {
			f.renew(id)
		}
	}
	f.peakInUse = max(f.peakInUse, f.inUse())
}

// reserve makes a daemon admit a little work, if the owner grants it. The owner's response may be
// lost.
func (f *simulation) reserve(id string) {
	s := f.shares[id]
	count := 1 + f.rng.Intn(3)
	if !s.HasCapacity(count, f.now) {
		const lossRate = 10
		f.request(id, s.InUse+count, lossRate)
	}
	if s.HasCapacity(count, f.now) {
		s.Reserve(count)
	}
}

func (f *simulation) renew(id string) { f.request(id, f.shares[id].InUse, 0) }

// queryUnreported makes the owner query some of the daemons that have not reported.
func (f *simulation) queryUnreported() {
	for _, queue := range f.account.Unreported() {
		if f.rng.Intn(3) > 0 {
			continue
		}
		s := f.shares[queue.Daemon]
		s.ShrinkTo(s.InUse)
		f.account.Record(f.report(queue.Daemon), f.now)
	}
}

// While twelve daemons admit as much as they can and owners fail over, the queued work never
// exceeds the quota by more than a tenth, and reaches at least 80% of it.
func TestDaemonsStayNearQuota(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		f := newSimulation(seed, false)
		for i := 0; i < 4000; i++ {
			f.step()
			if f.inUse() > testQuota+testQuota/10 {
				t.Fatalf("seed %d: weight %d is queued, the quota is %d", seed, f.inUse(), testQuota)
			}
		}
		if f.peakInUse < testQuota*8/10 {
			t.Fatalf("seed %d: queued weight reached only %d", seed, f.peakInUse)
		}
	}
}

// The simulation detects a new owner that grants before it knows what is in use.
func TestSimulationDetectsSkippedRebuild(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		f := newSimulation(seed, true)
		for i := 0; i < 4000; i++ {
			if f.step(); f.inUse() > testQuota+testQuota/10 {
				return
			}
		}
	}
	t.Fatal("an owner that skips the rebuild exceeded the quota on none of 50 seeds")
}

// A report takes effect only if it is newer than the one in effect, and the first report on a queue
// only if it was made for this account.
func TestRecordIgnoresStaleReports(t *testing.T) {
	now := clock.Second
	a := OpenAccount(AccountID{Epoch: 4, OpenedAt: now}, true, []Queue{shardQueue(0), shardQueue(1)})
	report := func(epoch, sequence uint64, inUse int, account AccountID) Report {
		return Report{Queue: shardQueue(0), Epoch: epoch, Sequence: sequence, Account: account, InUse: inUse}
	}
	if a.Record(report(2, 9, 10, AccountID{Epoch: 3}), now) {
		t.Fatal("a report that was made before the account was opened was recorded")
	}
	for _, step := range []struct {
		epoch, sequence uint64
		inUse, want     int
	}{{2, 10, 30, 30}, {2, 9, 10, 30}, {2, 10, 5, 30}, {2, 11, 20, 20}, {3, 1, 25, 25}, {2, 12, 0, 25}} {
		a.Record(report(step.epoch, step.sequence, step.inUse, a.ID), now)
		if got := a.Leases(now)[shardQueue(0)]; got != step.want {
			t.Errorf("after %+v the lease is %d", step, got)
		}
	}
}

// A grant is limited to the quota less the leases of other queues, and refused for a report that is
// not the latest. While the account is not ready, a queue's usage counts as its lease, but nothing
// is granted.
func TestGrantIsLimitedByOtherLeases(t *testing.T) {
	now := clock.Second
	a := OpenAccount(AccountID{Epoch: 1, OpenedAt: now}, true, []Queue{shardQueue(0), shardQueue(1)})
	other := Report{Queue: shardQueue(1), Epoch: 1, Sequence: 1, Account: a.ID, InUse: 60}
	own := Report{Queue: shardQueue(0), Epoch: 1, Sequence: 1, Account: a.ID, InUse: 10}
	a.Record(own, now)
	if granted, ok := a.Grant(own, 30, testQuota, now); granted != 0 || !ok {
		t.Errorf("granted %d before the other queue reported", granted)
	}
	if got := a.Leases(now)[shardQueue(0)]; got != 10 {
		t.Errorf("the lease is %d before the other queue reported", got)
	}
	a.Record(other, now)
	if granted, ok := a.Grant(own, 50, testQuota, now); granted != 40 || !ok {
		t.Errorf("granted %d", granted)
	}
	a.Record(Report{Queue: shardQueue(0), Epoch: 1, Sequence: 2, Account: a.ID, InUse: 15}, now)
	if _, ok := a.Grant(own, 50, testQuota, now); ok {
		t.Error("a stale report got a grant")
	}
	if got := a.Leases(now)[shardQueue(0)]; got != 15 {
		t.Errorf("the lease is %d after a request with a stale report", got)
	}
}

// While more than the quota is in use, all of it counts, and a queue may admit nothing until its
// usage is within what the others leave of the quota.
func TestUsageAboveQuotaLimitsGrants(t *testing.T) {
	now := clock.Second
	a := OpenAccount(AccountID{Epoch: 1, OpenedAt: now}, true, nil)
	shard := Report{Queue: shardQueue(0), Epoch: 1, Sequence: 1, InUse: 70}
	edge := Report{Queue: daemonQueue("edge"), Epoch: 1, Sequence: 1, InUse: 80}
	a.Record(shard, now)
	a.Record(edge, now)
	for _, report := range []Report{shard, edge} {
		want := testQuota - (70 + 80 - report.InUse)
		if granted, ok := a.Grant(report, report.InUse+10, testQuota, now); granted != want || !ok {
			t.Errorf("%v: granted %d, want %d", report.Queue, granted, want)
		}
	}
	if got := a.Leases(now); got[shard.Queue] != 70 || got[edge.Queue] != 80 {
		t.Errorf("the leases are %v", got)
	}
}

// A daemon's lease expires; a shard's counts until its next report, because its batches wait
// whether or not a daemon serves it.
func TestShardLeaseNeverExpires(t *testing.T) {
	now := clock.Second
	a := OpenAccount(AccountID{Epoch: 1, OpenedAt: now}, true, nil)
	a.Record(Report{Queue: shardQueue(0), Epoch: 1, Sequence: 1, InUse: 40}, now)
	a.Record(Report{Queue: daemonQueue("edge"), Epoch: 1, Sequence: 1, InUse: 20}, now)
	now += LeaseDuration + LeaseGrace - 1
	if got := a.Leases(now); got[shardQueue(0)] != 40 || got[daemonQueue("edge")] != 20 {
		t.Errorf("before the expiry the leases are %v", got)
	}
	now++
	if got := a.Leases(now); got[shardQueue(0)] != 40 || got[daemonQueue("edge")] != 0 {
		t.Errorf("at the expiry the leases are %v", got)
	}
	if got := a.Leases(now + 1000*clock.Second); got[shardQueue(0)] != 40 {
		t.Errorf("long after the expiry the leases are %v", got)
	}
}

// A new account waits for a report on each queue: on a shard that no daemon serves indefinitely,
// or, with live requests, until other stores serve a lost store's shards; on an edge until any
// lease of it has expired.
func TestAccountWaitsForEveryQueue(t *testing.T) {
	now := clock.Second
	for _, test := range []struct {
		batchesOnly bool
		queue       Queue
		timeout     clock.Micros // 0: unlimited
	}{
		{true, shardQueue(1), 0},
		{false, shardQueue(1), lostShardLiveTimeout},
		{false, daemonQueue("edge"), LeaseDuration + LeaseGrace},
	} {
		a := OpenAccount(AccountID{Epoch: 1, OpenedAt: now}, test.batchesOnly, []Queue{shardQueue(0), test.queue})
		a.Record(Report{Queue: shardQueue(0), Epoch: 1, Sequence: 1, Account: a.ID}, now)
		switch {
		case test.timeout == 0 && a.IsReady(now+1_000_000*clock.Second):
			t.Errorf("%+v: ready without a report on the queue", test)
		case test.timeout > 0 && (a.IsReady(now+test.timeout) || !a.IsReady(now+test.timeout+1)):
			t.Errorf("%+v: does not become ready right after the timeout", test)
		}
		a.Record(Report{Queue: test.queue, Epoch: 1, Sequence: 1, Account: a.ID}, now)
		if !a.IsReady(now) {
			t.Errorf("%+v: not ready with all reports", test)
		}
	}
}

// Account ids are ordered by epoch, opening time and owner, so that two daemons never open accounts
// with equal ids.
func TestAccountIDsAreOrdered(t *testing.T) {
	ids := []AccountID{{1, 5, "a"}, {1, 5, "b"}, {1, 6, "a"}, {2, 1, "a"}}
	for i, id := range ids {
		for j, other := range ids {
			if got := id.compare(other); (got < 0) != (i < j) || (got == 0) != (i == j) {
				t.Errorf("comparing %+v with %+v gives %d", id, other, got)
			}
		}
	}
}
