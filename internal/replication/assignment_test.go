package replication

import (
	"encoding/json"
	"testing"
)

// Assignments of the previous release, which have a single replica, can still be decoded.
func TestAssignmentOfPreviousReleaseIsRead(t *testing.T) {
	var a Assignment
	old := `{"epoch":4,"owner":{"id":"a","life":2},"backup":{"id":"b","life":3},"complete":true,"trusted":["a","b"]}`
	if err := json.Unmarshal([]byte(old), &a); err != nil {
		t.Fatal(err)
	}
	if !a.Equal(Assignment{Epoch: 4, Primary: Member{"a", 2}, Replicas: []Member{{"b", 3}}, Complete: true, Trusted: []string{"a", "b"}}) {
		t.Fatalf("decoded as %+v", a)
	}
	data, _ := json.Marshal(a)
	var again Assignment
	if err := json.Unmarshal(data, &again); err != nil || !again.Equal(a) {
		t.Fatalf("encoded as %s, decoded as %+v (%v)", data, again, err)
	}
}
