package quota

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Operators read this form; its keys never change.
func TestSnapshotKeepsItsForm(t *testing.T) {
	now := clock.Second
	q := New("edge", machine.NewCalls(), func() []membership.Member {
		return []membership.Member{{ID: "edge", Kind: membership.Edge, Peer: "e"}}
	}, nil)
	q.Reserve(TenantQuota{Tenant: "c", Limit: 256, ConfigurationVersion: 1}, 3, now, func(Release, error, clock.Micros) {})
	got, err := json.Marshal(q.Snapshot(now))
	if err != nil {
		t.Fatal(err)
	}
	want := `{"accounts":{"c":{"allowance":256,"epoch":1,"lent":{"edge":5},"missing":[]}},"shares":{"c":{"epoch":1,"held":3,"lent":5}}}`
	if string(got) != want {
		t.Errorf("%s\nnot\n%s", got, want)
	}
	if inUse, granted := q.Totals(now); inUse != 3 || granted != 5 {
		t.Errorf("totals %d and %d", inUse, granted)
	}
}
