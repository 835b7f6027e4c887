package quota

import (
	"fmt"
	"math/rand"
	"testing"

	"tuliprudder/kernel/clock"
)

// flock is a customer's orders at many daemons at once, with holders that die
// and borrowers that freeze.
type flock struct {
	now       clock.Micros
	chance    *rand.Rand
	borrowers []string
	shares    map[string]*Share
	account   *Account
	epoch     uint64
	plant     bool
	worst     int
	taken     int
}

const allowance = 100

func newFlock(seed int64, plant bool) *flock {
	f := &flock{now: 1_000_000, chance: rand.New(rand.NewSource(seed)), shares: map[string]*Share{}, plant: plant}
	for i := 0; i < 12; i++ {
		id := fmt.Sprint("d", i)
		f.borrowers = append(f.borrowers, id)
		f.shares[id] = &Share{}
	}
	f.succeed()
	return f
}

// succeed opens the account anew, as a successor that knows nothing.
func (f *flock) succeed() {
	f.epoch++
	f.account = Open(f.epoch, f.borrowers, f.now)
	f.account.SkipRebuild = f.plant
}

func (f *flock) inUse() int {
	sum := 0
	for _, s := range f.shares {
		sum += s.InUse
	}
	return sum
}

func (f *flock) step() {
	f.now += clock.Micros(f.chance.Intn(20_000))
	id := f.borrowers[f.chance.Intn(len(f.borrowers))]
	s := f.shares[id]
	switch f.chance.Intn(12) {
	case 0, 1, 2, 3, 4, 5, 6:
		count := 1 + f.chance.Intn(3)
		if !s.Room(count, f.now) {
			// The ask takes a moment; its answer may be lost.
			asked := f.now
			granted := f.account.Lend(id, s.InUse, s.InUse+count, allowance, f.now)
			if f.chance.Intn(10) == 0 {
				return
			}
			s.Lent(f.account.Epoch, granted, asked)
		}
		if s.Room(count, f.now) {
			s.Take(count)
			f.taken += count
		}
	case 7, 8:
		if s.InUse > 0 {
			s.Release(1, f.now)
		}
	case 9:
		// A renewal.
		s.Lent(f.account.Epoch, f.account.Lend(id, s.InUse, s.InUse, allowance, f.now), f.now)
	case 10:
		// The holder asks who has not told.
		for _, missing := range f.account.Missing() {
			if f.chance.Intn(3) == 0 {
				share := f.shares[missing]
				if share.Fence(f.account.Epoch) {
					f.account.Told(missing, share.InUse, f.now)
				}
			}
		}
	case 11:
		if f.chance.Intn(25) == 0 {
			f.succeed()
		}
	}
	// Everyone renews at least every quarter of a loan, unless it sleeps.
	for _, id := range f.borrowers {
		if s := f.shares[id]; s.InUse > 0 && s.Until-f.now < LoanSpan/2 && f.chance.Intn(4) > 0 {
			s.Lent(f.account.Epoch, f.account.Lend(id, s.InUse, s.InUse, allowance, f.now), f.now)
		}
	}
	f.worst = max(f.worst, f.inUse())
}

// Orders flock at twelve daemons, holders die: the waiting work never exceeds
// the allowance by more than a tenth; nor is it held far below it for ever.
func TestAFlockStaysWithinTheAllowance(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		f := newFlock(seed, false)
		for i := 0; i < 4000; i++ {
			f.step()
			if f.inUse() > allowance+allowance/10 {
				t.Fatalf("seed %d: %d wait, the allowance is %d", seed, f.inUse(), allowance)
			}
		}
		if f.worst < allowance*8/10 {
			t.Fatalf("seed %d: at most %d were let in", seed, f.worst)
		}
	}
}

// A successor that lends before it has asked is caught by the same check.
func TestASuccessorThatDoesNotAskIsCaught(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		f := newFlock(seed, true)
		for i := 0; i < 4000; i++ {
			if f.step(); f.inUse() > allowance+allowance/10 {
				return
			}
		}
	}
	t.Fatal("lending without asking first went over the allowance on none of 50 seeds")
}

// A lower epoch's answer is refused, and a fence leaves only what is in use.
func TestEpochsOfAnAccount(t *testing.T) {
	s := &Share{}
	s.Lent(3, 10, 1000)
	s.Take(4)
	if s.Lent(2, 50, 1000) {
		t.Fatal("a lower epoch's answer was taken")
	}
	if !s.Fence(4) || s.Room(1, 1001) || s.Granted != 4 {
		t.Fatalf("after the fence: %+v", s)
	}
	if s.Fence(3) {
		t.Fatal("an older holder fenced")
	}
}
