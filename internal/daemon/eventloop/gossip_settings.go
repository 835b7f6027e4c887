package eventloop

import (
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/gossip"
)

// GossipSettings returns the settings of every daemon's gossip node. The voters are read from the
// updates that the primary core publishes (docs/DESIGN.md, section 3.4).
func GossipSettings() gossip.Settings {
	settings := gossip.Defaults()
	settings.Voters = gossip.VoterSource{
		Keys: []string{state.MapKey, state.CoreKey},
		Weights: func(values map[string][]byte) map[string]int {
			return state.VoterWeights(values[state.MapKey], values[state.CoreKey])
		},
	}
	return settings
}
