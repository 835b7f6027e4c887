package quota

import "testing"

// The relinquished part of a lease is not admitted any more; what is in use stays in use, even
// beyond the lease.
func TestShrinkToKeepsWorkInUse(t *testing.T) {
	s := &Share{}
	s.ApplyGrant(10, 1000)
	s.Reserve(4)
	if !s.HasCapacity(6, 1001) || s.committed(1001) != 10 {
		t.Fatalf("after a grant of 10: %+v", s)
	}
	s.ShrinkTo(5)
	if s.HasCapacity(2, 1001) || !s.HasCapacity(1, 1001) || s.committed(1001) != 5 {
		t.Fatalf("shrunk to 5: %+v", s)
	}
	s.ShrinkTo(0)
	if s.HasCapacity(1, 1001) || s.committed(1001) != 4 {
		t.Fatalf("shrunk to 0: %+v", s)
	}
	s.ApplyGrant(10, 1000)
	if end := int64(1000 + LeaseDuration); s.HasCapacity(1, end) || s.committed(end) != 4 {
		t.Fatalf("at the expiry: %+v", s)
	}
}
