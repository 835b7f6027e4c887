package quota

import (
	"fmt"
	"math/rand"
	"testing"

	"tuliprudder/internal/clock"
)

// simulation is a tenant's orders at many daemons at once, with holders that die
// and borrowers that freeze.
type simulation struct {
	now           clock.Micros
	rng           *rand.Rand
	daemonIDs     []string
	shares        map[string]*Share
	account       *Account
	epoch         uint64
	skipRebuild   bool
	peakInUse     int
	totalReserved int
}

const testQuota = 100

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
	f.account = OpenAccount(f.epoch, f.daemonIDs, f.now)
	f.account.SkipRebuild = f.skipRebuild
}

func (f *simulation) inUse() int {
	sum := 0
	for _, s := range f.shares {
		sum += s.InUse
	}
	return sum
}

func (f *simulation) step() {
	f.now += clock.Micros(f.rng.Intn(20_000))
	id := f.daemonIDs[f.rng.Intn(len(f.daemonIDs))]
	s := f.shares[id]
	switch f.rng.Intn(12) {
	case 0, 1, 2, 3, 4, 5, 6:
		count := 1 + f.rng.Intn(3)
		if !s.HasCapacity(count, f.now) {
			// The ask takes a moment; its answer may be lost.
			sent := f.now
			granted := f.account.Grant(id, s.InUse, s.InUse+count, testQuota, f.now)
			if f.rng.Intn(10) == 0 {
				return
			}
			s.ApplyGrant(f.account.Epoch, granted, sent)
		}
		if s.HasCapacity(count, f.now) {
			s.Reserve(count)
			f.totalReserved += count
		}
	case 7, 8:
		if s.InUse > 0 {
			s.Release(1, f.now)
		}
	case 9:
		// A renewal.
		s.ApplyGrant(f.account.Epoch, f.account.Grant(id, s.InUse, s.InUse, testQuota, f.now), f.now)
	case 10:
		// The holder asks who has not told.
		for _, unreported := range f.account.Unreported() {
			if f.rng.Intn(3) == 0 {
				share := f.shares[unreported]
				if share.Fence(f.account.Epoch) {
					f.account.RecordUsage(unreported, share.InUse, f.now)
				}
			}
		}
	case 11:
		if f.rng.Intn(25) == 0 {
			f.failOver()
		}
	}
	// Everyone renews at least every quarter of a loan, unless it sleeps.
	for _, id := range f.daemonIDs {
		if s := f.shares[id]; s.InUse > 0 && s.ExpiresAt-f.now < LeaseDuration/2 && f.rng.Intn(4) > 0 {
			s.ApplyGrant(f.account.Epoch, f.account.Grant(id, s.InUse, s.InUse, testQuota, f.now), f.now)
		}
	}
	f.peakInUse = max(f.peakInUse, f.inUse())
}

// Orders flock at twelve daemons, holders die: the waiting work never exceeds
// the quota by more than a tenth; nor is it held far below it for ever.
func TestDaemonsStayWithinTheQuota(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		f := newSimulation(seed, false)
		for i := 0; i < 4000; i++ {
			f.step()
			if f.inUse() > testQuota+testQuota/10 {
				t.Fatalf("seed %d: %d wait, the allowance is %d", seed, f.inUse(), testQuota)
			}
		}
		if f.peakInUse < testQuota*8/10 {
			t.Fatalf("seed %d: at most %d were let in", seed, f.peakInUse)
		}
	}
}

// A successor that lends before it has asked is caught by the same check.
func TestASuccessorThatDoesNotAskIsCaught(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		f := newSimulation(seed, true)
		for i := 0; i < 4000; i++ {
			if f.step(); f.inUse() > testQuota+testQuota/10 {
				return
			}
		}
	}
	t.Fatal("lending without asking first went over the allowance on none of 50 seeds")
}

// A lower epoch's answer is refused, and a fence leaves only what is in use.
func TestEpochsOfAnAccount(t *testing.T) {
	s := &Share{}
	s.ApplyGrant(3, 10, 1000)
	s.Reserve(4)
	if s.ApplyGrant(2, 50, 1000) {
		t.Fatal("a lower epoch's answer was taken")
	}
	if !s.Fence(4) || s.HasCapacity(1, 1001) || s.Granted != 4 {
		t.Fatalf("after the fence: %+v", s)
	}
	if s.Fence(3) {
		t.Fatal("an older holder fenced")
	}
}
