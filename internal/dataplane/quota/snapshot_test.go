package quota

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/clock"
)

// Operators' tools read this JSON; its keys must not change.
func TestSnapshotJSONFormat(t *testing.T) {
	f := newFleet(1, 1, 1)
	quota := AccountQuota{Account: mixedAccount, Limit: 256, ConfigurationVersion: 1}
	f.daemons["edge-1"].Reserve(quota, 3, f.now, func(Release, error, clock.Micros) {})
	f.submit(0, 7, quota, func(error) {})
	f.deliver()
	for id, want := range map[string]string{
		"edge-1":  `{"accounts":{"t":{"allowance":256,"epoch":1,"lent":{"edge-1":5,"store-1":7},"missing":[]}},"shares":{"t":{"epoch":1,"held":3,"lent":5}}}`,
		"store-1": `{"accounts":{},"shares":{"t":{"epoch":1,"held":7,"lent":7}}}`,
	} {
		got, err := json.Marshal(f.daemons[id].Snapshot(f.now))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("%s: got %s\nwant\n%s", id, got, want)
		}
	}
	if inUse, granted := f.daemons["edge-1"].Totals(f.now); inUse != 3 || granted != 12 {
		t.Errorf("totals: %d in use, %d granted", inUse, granted)
	}
}
