package quota

import (
	"fmt"
	"math/rand"
	"testing"

	"tuliprudder/internal/clock"
)

// simulation is a tenant's work at many daemons at once, with owners that die and
// clients whose requests get lost.
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

// failOver opens the account anew, as a successor that knows nothing.
func (f *simulation) failOver() {
	f.epoch++
	var queues []Queue
	for _, id := range f.daemonIDs {
		queues = append(queues, daemonQueue(id))
	}
	f.account = OpenAccount(AccountID{Epoch: f.epoch, OpenedAt: f.now}, false, queues)
	f.account.InjectedFaults.SkipRebuild = f.skipRebuild
}

// report is a daemon's report, for this account.
func (f *simulation) report(id string) Report {
	f.sequence++
	return Report{Queue: daemonQueue(id), Sequence: f.sequence, Account: f.account.ID, InUse: f.shares[id].committed(f.now)}
}

// request reports and asks for more; the response may be lost.
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

// step lets a random daemon or the owner do something.
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
	// Every client with work renews in time, unless its request is delayed.
	for _, id := range f.daemonIDs {
		if s := f.shares[id]; s.InUse > 0 && s.ExpiresAt-f.now < LeaseDuration/2 && f.rng.Intn(4) > 0 {
			f.renew(id)
		}
	}
	f.peakInUse = max(f.peakInUse, f.inUse())
}

// reserve has a daemon admit a little work, if the owner grants it. The owner's response
// may be lost.
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

// queryUnreported has the owner ask some of the daemons that have not reported.
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

// While twelve daemons admit as much as they can and owners die, the queued work never
// exceeds the quota by more than a tenth, and is not kept far below it either.
func TestDaemonsStayNearQuota(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		f := newSimulation(seed, false)
		for i := 0; i < 4000; i++ {
			f.step()
			if f.inUse() > testQuota+testQuota/10 {
				t.Fatalf("seed %d: %d is queued, the quota is %d", seed, f.inUse(), testQuota)
			}
		}
		if f.peakInUse < testQuota*8/10 {
			t.Fatalf("seed %d: at most %d was admitted", seed, f.peakInUse)
		}
	}
}

// The same check finds a new owner that grants before it knows what is in use.
func TestSimulationDetectsSkippedRebuild(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		f := newSimulation(seed, true)
		for i := 0; i < 4000; i++ {
			if f.step(); f.inUse() > testQuota+testQuota/10 {
				return
			}
		}
	}
	t.Fatal("granting without asking first went over the quota on none of 50 seeds")
}

// A report is taken once, in the order in which the daemon made it, and the first one on a queue
// only if it was made for this account.
func TestRecordIgnoresStaleReports(t *testing.T) {
	now := clock.Second
	a := OpenAccount(AccountID{Epoch: 4, OpenedAt: now}, true, []Queue{shardQueue(0), shardQueue(1)})
	report := func(epoch, sequence uint64, inUse int, account AccountID) Report {
		return Report{Queue: shardQueue(0), Epoch: epoch, Sequence: sequence, Account: account, InUse: inUse}
	}
	if a.Record(report(2, 9, 10, AccountID{Epoch: 3}), now) {
		t.Fatal("a report that was made before the account was opened was taken")
	}
	for _, step := range []struct {
		epoch, sequence uint64
		inUse, want     int
	}{{2, 10, 30, 30}, {2, 9, 10, 30}, {2, 10, 5, 30}, {2, 11, 20, 20}, {3, 1, 25, 25}, {2, 12, 0, 25}} {
		a.Record(report(step.epoch, step.sequence, step.inUse, a.ID), now)
		if got := a.Leases(now)[shardQueue(0)]; got != step.want {
			t.Errorf("after %+v %d count", step, got)
		}
	}
}

// What is wanted is granted as far as the other queues leave room; an answer to a report that is not
// the latest is refused. What is in use counts, but is no grant while the account isn't ready.
func TestGrantIsLimitedByOtherLeases(t *testing.T) {
	now := clock.Second
	a := OpenAccount(AccountID{Epoch: 1, OpenedAt: now}, true, []Queue{shardQueue(0), shardQueue(1)})
	other := Report{Queue: shardQueue(1), Epoch: 1, Sequence: 1, Account: a.ID, InUse: 60}
	own := Report{Queue: shardQueue(0), Epoch: 1, Sequence: 1, Account: a.ID, InUse: 10}
	a.Record(own, now)
	if granted, ok := a.Grant(own, 30, testQuota, now); granted != 0 || !ok {
		t.Errorf("before the other has reported %d were granted", granted)
	}
	if got := a.Leases(now)[shardQueue(0)]; got != 10 {
		t.Errorf("before the other has reported %d count", got)
	}
	a.Record(other, now)
	if granted, ok := a.Grant(own, 50, testQuota, now); granted != 40 || !ok {
		t.Errorf("%d were granted", granted)
	}
	a.Record(Report{Queue: shardQueue(0), Epoch: 1, Sequence: 2, Account: a.ID, InUse: 15}, now)
	if _, ok := a.Grant(own, 50, testQuota, now); ok {
		t.Error("an old report got a grant")
	}
	if got := a.Leases(now)[shardQueue(0)]; got != 15 {
		t.Errorf("%d count after that", got)
	}
}

// Where more than the quota is in use, all of it counts, and no queue may admit until what it has is
// within what the others leave.
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
			t.Errorf("%v: %d were granted, not %d", report.Queue, granted, want)
		}
	}
	if got := a.Leases(now); got[shard.Queue] != 70 || got[edge.Queue] != 80 {
		t.Errorf("%v count", got)
	}
}

// A daemon's lease ends by itself; a shard's counts until its next report, for its batches wait
// whether it is served or not.
func TestShardLeaseNeverExpires(t *testing.T) {
	now := clock.Second
	a := OpenAccount(AccountID{Epoch: 1, OpenedAt: now}, true, nil)
	a.Record(Report{Queue: shardQueue(0), Epoch: 1, Sequence: 1, InUse: 40}, now)
	a.Record(Report{Queue: daemonQueue("edge"), Epoch: 1, Sequence: 1, InUse: 20}, now)
	now += LeaseDuration + LeaseGrace - 1
	if got := a.Leases(now); got[shardQueue(0)] != 40 || got[daemonQueue("edge")] != 20 {
		t.Errorf("before the end %v count", got)
	}
	now++
	if got := a.Leases(now); got[shardQueue(0)] != 40 || got[daemonQueue("edge")] != 0 {
		t.Errorf("at the end %v count", got)
	}
	if got := a.Leases(now + 1000*clock.Second); got[shardQueue(0)] != 40 {
		t.Errorf("long after %v count", got)
	}
}

// An account that was opened waits for each queue: for a shard that nobody serves as long as it takes,
// or, where there are live requests, until a lost store's shards have passed on; for an edge until any
// lease of it has expired.
func TestAccountWaitsForEveryQueue(t *testing.T) {
	now := clock.Second
	for _, test := range []struct {
		batchesOnly bool
		queue       Queue
		timeout     clock.Micros // 0: none
	}{
		{true, shardQueue(1), 0},
		{false, shardQueue(1), lostShardLiveTimeout},
		{false, daemonQueue("edge"), LeaseDuration + LeaseGrace},
	} {
		a := OpenAccount(AccountID{Epoch: 1, OpenedAt: now}, test.batchesOnly, []Queue{shardQueue(0), test.queue})
		a.Record(Report{Queue: shardQueue(0), Epoch: 1, Sequence: 1, Account: a.ID}, now)
		switch {
		case test.timeout == 0 && a.IsReady(now+1_000_000*clock.Second):
			t.Errorf("%+v: it doesn't wait", test)
		case test.timeout > 0 && (a.IsReady(now+test.timeout) || !a.IsReady(now+test.timeout+1)):
			t.Errorf("%+v: it waits for another time", test)
		}
		a.Record(Report{Queue: test.queue, Epoch: 1, Sequence: 1, Account: a.ID}, now)
		if !a.IsReady(now) {
			t.Errorf("%+v: it is not ready with all reports", test)
		}
	}
}

// Accounts are ordered by when they were opened, and no two daemons open the same.
func TestAccountIDsAreOrdered(t *testing.T) {
	ids := []AccountID{{1, 5, "a"}, {1, 5, "b"}, {1, 6, "a"}, {2, 1, "a"}}
	for i, id := range ids {
		for j, other := range ids {
			if got := id.compare(other); (got < 0) != (i < j) || (got == 0) != (i == j) {
				t.Errorf("%+v and %+v compare as %d", id, other, got)
			}
		}
	}
}
