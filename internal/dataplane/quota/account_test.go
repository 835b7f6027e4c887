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
	skipRebuild bool
	peakInUse   int
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
	f.account.InjectedFaults.SkipRebuild = f.skipRebuild
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
		f.askUnreported()
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
		granted := f.account.Grant(id, s.InUse, s.InUse+count, testQuota, f.now)
		if f.rng.Intn(10) == 0 {
			return
		}
		s.ApplyGrant(f.account.Epoch, granted, f.now)
	}
	if s.HasCapacity(count, f.now) {
		s.Reserve(count)
	}
}

func (f *simulation) renew(id string) {
	s := f.shares[id]
	s.ApplyGrant(f.account.Epoch, f.account.Grant(id, s.InUse, s.InUse, testQuota, f.now), f.now)
}

// askUnreported has the owner ask some of the daemons that have not reported.
func (f *simulation) askUnreported() {
	for _, id := range f.account.Unreported() {
		if f.rng.Intn(3) > 0 {
			continue
		}
		if s := f.shares[id]; s.Fence(f.account.Epoch) {
			f.account.RecordUsage(id, s.InUse, f.now)
		}
	}
}

// While twelve daemons admit as much as they can and owners die, the queued work never
// exceeds the quota by more than a tenth, and is not kept far below it either.
func TestDaemonsStayWithinTheQuota(t *testing.T) {
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
func TestANewOwnerThatDoesNotAskIsCaught(t *testing.T) {
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
