package ring

import "testing"

// A ring starts with a small buffer, keeps the order of its values while it grows, and rejects values
// beyond its capacity.
func TestRingKeepsOrderWhileGrowingToCapacity(t *testing.T) {
	const capacity = 1000
	ring := New[int](capacity)
	next := 0
	takeInOrder := func(limit int) {
		t.Helper()
		for _, got := range ring.Take(limit) {
			if got != next {
				t.Fatalf("took %d, want %d", got, next)
			}
			next++
		}
	}
	for i := range 40 {
		ring.Put(i)
	}
	takeInOrder(30) // moves the head away from index 0 before the buffer grows
	value := 40
	for ring.Put(value) {
		value++
	}
	if ring.Len() != capacity || ring.Dropped() != 1 {
		t.Fatalf("%d values in the ring and %d dropped, want %d and 1", ring.Len(), ring.Dropped(), capacity)
	}
	takeInOrder(capacity)
	if next != value {
		t.Fatalf("took the values below %d, want those below %d", next, value)
	}
}

// A closed ring rejects puts; its values can still be taken, and then Take returns nil.
func TestClosedRingRejectsPutsAndDrains(t *testing.T) {
	ring := New[int](4)
	ring.Put(1)
	ring.Close()
	if ring.Put(2) || !ring.Closed() {
		t.Fatal("a closed ring accepted a value")
	}
	if got := ring.Take(4); len(got) != 1 || got[0] != 1 {
		t.Fatalf("took %v, want [1]", got)
	}
	if got := ring.Take(4); got != nil {
		t.Fatalf("took %v from an empty closed ring", got)
	}
}
