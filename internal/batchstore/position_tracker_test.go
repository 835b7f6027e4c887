package batchstore

import "testing"

// newTestTracker returns a tracker with a reservation of positions from 1 on.
func newTestTracker(t *testing.T) *positionTracker {
	t.Helper()
	p := newPositionTracker(0)
	upTo, needed := p.beginReservation()
	if !needed {
		t.Fatal("no reservation is needed at the start")
	}
	if _, again := p.beginReservation(); again {
		t.Fatal("a second reservation is needed while the first is being written")
	}
	p.completeReservation(upTo)
	return &p
}

// assignNext allocates a position for an entry.
func assignNext(t *testing.T, p *positionTracker, unit string, seq uint64) {
	t.Helper()
	position, ok := p.Allocate()
	if !ok {
		t.Fatal("no position was allocated")
	}
	p.assign(unit, seq, position)
}

func TestPositionIsFinishedWithItsEntry(t *testing.T) {
	p := newTestTracker(t)
	assignNext(t, p, Unit(0), 4)
	if p.finishEntry(Unit(0), 3) || p.finishEntry(Unit(1), 4) || p.PersistedUpTo() != 0 {
		t.Fatalf("other entries finished the position: persisted up to %d", p.PersistedUpTo())
	}
	if !p.finishEntry(Unit(0), 4) || p.PersistedUpTo() != 1 {
		t.Fatalf("the entry did not finish its position: persisted up to %d", p.PersistedUpTo())
	}
}

func TestOrphansAreFinishedUnderAHigherEpoch(t *testing.T) {
	p := newTestTracker(t)
	assignNext(t, p, Unit(2), 4)
	assignNext(t, p, Unit(3), 1)
	assignNext(t, p, Unit(2), 5)
	if got := p.orphan(Unit(2), 7); got != 2 {
		t.Fatalf("%d positions are orphaned, want 2", got)
	}
	if p.finishEntry(Unit(2), 4) {
		t.Fatal("an orphaned position was finished by its entry")
	}
	if p.finishOrphans(2, 7) || p.finishOrphans(3, 8) || p.PersistedUpTo() != 0 {
		t.Fatalf("orphaned positions were finished under the same epoch or by another shard: persisted up to %d", p.PersistedUpTo())
	}
	if !p.finishOrphans(2, 8) || p.hasOrphans() || p.PersistedUpTo() != 1 {
		t.Fatalf("orphaned positions were not finished under a higher epoch: persisted up to %d", p.PersistedUpTo())
	}
	if !p.finishEntry(Unit(3), 1) || p.PersistedUpTo() != 3 {
		t.Fatalf("all positions are finished: persisted up to %d, want 3", p.PersistedUpTo())
	}
}

func TestNothingIsOrphanedWithoutUnfinishedPositions(t *testing.T) {
	p := newTestTracker(t)
	assignNext(t, p, Unit(2), 4)
	p.finishEntry(Unit(2), 4)
	if got := p.orphan(Unit(2), 7); got != 0 || p.hasOrphans() {
		t.Fatalf("%d positions are orphaned, want none", got)
	}
}
