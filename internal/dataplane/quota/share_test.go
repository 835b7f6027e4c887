package quota

import "testing"

// A response of a lower epoch is refused, and a fence leaves only what is in use.
func TestAShareFollowsTheHighestEpoch(t *testing.T) {
	s := &Share{}
	s.ApplyGrant(3, 10, 1000)
	s.Reserve(4)
	if s.ApplyGrant(2, 50, 1000) {
		t.Fatal("a response of a lower epoch was applied")
	}
	if !s.Fence(4) || s.HasCapacity(1, 1001) || s.Granted != 4 {
		t.Fatalf("after the fence: %+v", s)
	}
	if s.Fence(3) {
		t.Fatal("an older owner fenced")
	}
}
