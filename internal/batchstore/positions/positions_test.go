package positions

import "testing"

func allocate(t *testing.T, a *Allocator) int64 {
	t.Helper()
	position, ok := a.Allocate()
	if !ok {
		t.Fatal("no position was allocated")
	}
	return position
}

// The example of docs/DESIGN.md §6.2: A gets 5, B gets 6, and B finishes first.
func TestPersistedUpToWaitsForTheLowestUnfinished(t *testing.T) {
	allocator := New(4)
	allocator.ConfirmReservation(100)
	a, b := allocate(t, allocator), allocate(t, allocator)
	if a != 5 || b != 6 {
		t.Fatalf("A got %d and B %d, want 5 and 6", a, b)
	}
	allocator.Finish(b)
	if allocator.PersistedUpTo() != 4 {
		t.Fatalf("B is finished, A is not: persisted up to %d, want 4", allocator.PersistedUpTo())
	}
	if allocator.Unfinished() != 2 {
		t.Fatalf("%d positions are unfinished, want 2", allocator.Unfinished())
	}
	allocator.Finish(a)
	if allocator.PersistedUpTo() != 6 {
		t.Fatalf("both are finished: persisted up to %d, want 6", allocator.PersistedUpTo())
	}
}

func TestRaiseAboveSkipsPositions(t *testing.T) {
	allocator := New(10)
	allocator.ConfirmReservation(1000)
	first := allocate(t, allocator)
	allocator.Finish(first)
	allocator.RaiseAbove(500)
	second := allocate(t, allocator)
	if second != 501 {
		t.Fatalf("with a floor of 500 the next position is %d, want 501", second)
	}
	if allocator.PersistedUpTo() != 500 {
		t.Fatalf("persisted up to %d while 501 is unfinished, want 500", allocator.PersistedUpTo())
	}
	allocator.Finish(second)
	if allocator.PersistedUpTo() != 501 {
		t.Fatalf("persisted up to %d, want 501", allocator.PersistedUpTo())
	}
	allocator.RaiseAbove(3)
	if allocator.Next() != 502 {
		t.Fatalf("with a floor of 3 the next position is %d, want 502", allocator.Next())
	}
}

// A position is allocated only if a durable reservation covers it, so that no later
// incarnation can allocate it again.
func TestNothingIsAllocatedBeyondTheReservation(t *testing.T) {
	allocator := New(7)
	if position, ok := allocator.Allocate(); ok {
		t.Fatalf("allocated %d without a reservation", position)
	}
	wanted := allocator.NextReservation()
	allocator.ConfirmReservation(wanted)
	for i := int64(8); i <= wanted; i++ {
		if position := allocate(t, allocator); position != i {
			t.Fatalf("allocated %d, want %d", position, i)
		}
	}
	if _, ok := allocator.Allocate(); ok {
		t.Fatal("allocated a position beyond the reservation")
	}
	if next := New(wanted); next.Next() <= wanted {
		t.Fatal("a later incarnation would allocate a position again")
	}
}

// The next reservation is made before the last one is used up.
func TestReservationIsRenewedEarly(t *testing.T) {
	allocator := New(0)
	allocator.ConfirmReservation(allocator.NextReservation())
	for allocator.NextReservation() == 0 {
		allocate(t, allocator)
	}
	if left := allocator.ReservedUpTo() - allocator.Next() + 1; left != minReserved {
		t.Fatalf("%d reserved positions are left, want %d", left, minReserved)
	}
}
