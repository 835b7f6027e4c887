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

// The source's own example (docs/DESIGN.md §6.2): A gets 5, B gets 6, B finishes first.
func TestPersistedUpToWaitsForTheLowestUnfinished(t *testing.T) {
	allocator := New(4)
	allocator.ConfirmReservation(100)
	a, b := allocate(t, allocator), allocate(t, allocator)
	if a != 5 || b != 6 {
		t.Fatalf("A got %d and B %d, not 5 and 6", a, b)
	}
	allocator.Finish(b)
	if allocator.PersistedUpTo() != 4 {
		t.Fatalf("B is finished, A is not: up to %d, not 4", allocator.PersistedUpTo())
	}
	if allocator.Unfinished() != 2 {
		t.Fatalf("%d positions are held back, not 2", allocator.Unfinished())
	}
	allocator.Finish(a)
	if allocator.PersistedUpTo() != 6 {
		t.Fatalf("both are finished: up to %d, not 6", allocator.PersistedUpTo())
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
		t.Fatalf("above a floor of 500 the position is %d", second)
	}
	if allocator.PersistedUpTo() != 500 {
		t.Fatalf("up to %d while 501 is unfinished, not 500", allocator.PersistedUpTo())
	}
	allocator.Finish(second)
	if allocator.PersistedUpTo() != 501 {
		t.Fatalf("up to %d, not 501", allocator.PersistedUpTo())
	}
	allocator.RaiseAbove(3)
	if allocator.Next() != 502 {
		t.Fatalf("a floor of 3 made the next position %d, not 502", allocator.Next())
	}
}

// A position is only allocated when a durable reservation covers it, so that no later
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
			t.Fatalf("allocated %d, not %d", position, i)
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
		t.Fatalf("%d reserved positions are left, not %d", left, minReserved)
	}
}
