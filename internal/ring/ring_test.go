package ring

import "testing"

// A ring begins small, keeps its order while it grows, and rejects what exceeds its capacity.
func TestRingKeepsOrderWhileGrowingToCapacity(t *testing.T) {
	const capacity = 1000
	ring := New[int](capacity)
	next := 0
	takeInOrder := func(limit int) {
		t.Helper()
		for _, got := range ring.Take(limit) {
			if got != next {
				t.Fatalf("took %d, not %d", got, next)
			}
			next++
		}
	}
	for i := range 40 {
		ring.Put(i)
	}
	takeInOrder(30) // so that the head is not at the start when the buffer grows
	value := 40
	for ring.Put(value) {
		value++
	}
	if ring.Len() != capacity || ring.Dropped() != 1 {
		t.Fatalf("has %d and dropped %d; want %d and 1", ring.Len(), ring.Dropped(), capacity)
	}
	takeInOrder(capacity)
	if next != value {
		t.Fatalf("took up to %d, not %d", next, value)
	}
}

// A closed ring rejects puts; what is in it is taken, and then nil.
func TestClosedRingRejectsPutsAndDrains(t *testing.T) {
	ring := New[int](4)
	ring.Put(1)
	ring.Close()
	if ring.Put(2) || !ring.Closed() {
		t.Fatal("a closed ring took a value")
	}
	if got := ring.Take(4); len(got) != 1 || got[0] != 1 {
		t.Fatalf("took %v", got)
	}
	if got := ring.Take(4); got != nil {
		t.Fatalf("took %v from an empty closed ring", got)
	}
}
