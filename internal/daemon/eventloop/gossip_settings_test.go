package eventloop

import (
	"maps"
	"testing"

	"tuliprudder/internal/controlplane/state"
)

// The voters are read from the updates of the primary core: each store has weight 2, each core 1.
func TestGossipSettingsReadTheVoters(t *testing.T) {
	voters := GossipSettings().Voters
	values := map[string][]byte{
		state.MapKey:  []byte(`{"stores":{"s1":{},"s2":{},"s3":{}}}`),
		state.CoreKey: []byte(`{"seats":["k1","k2","k3"]}`),
	}
	want := map[string]int{"s1": 2, "s2": 2, "s3": 2, "k1": 1, "k2": 1, "k3": 1}
	if got := voters.Weights(values); !maps.Equal(got, want) {
		t.Errorf("the weights are %v, not %v", got, want)
	}
	for _, key := range voters.Keys {
		if len(values[key]) == 0 {
			t.Errorf("the settings read key %q, which the primary core does not publish", key)
		}
		missing := maps.Clone(values)
		delete(missing, key)
		if got := voters.Weights(missing); len(got) > 0 {
			t.Errorf("without the update under %q the weights are %v", key, got)
		}
	}
}
