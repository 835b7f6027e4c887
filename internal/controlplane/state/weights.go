package state

import "encoding/json"

// The weights of the voters for updates, which decide whether a majority of the fleet knows
// an update (DESIGN §3). A store weighs more than a core, so that the stores alone are a
// majority if the cores are lost.
const (
	storeWeight = 2
	coreWeight  = 1
)

// VoterWeights returns the weights of the voters for updates by id, from the updates MapKey and
// CoreKey: the stores that are neither retired nor evicted, and the cores with a vote. It is nil
// before a store is registered. The sum is always odd, because with an even sum both sides of a
// partition could lack a majority.
func VoterWeights(mapUpdate, coreUpdate []byte) map[string]int {
	var m Map
	var s CoreUpdate
	if json.Unmarshal(mapUpdate, &m) != nil || json.Unmarshal(coreUpdate, &s) != nil {
		return nil
	}
	weights := map[string]int{}
	sum, first := 0, ""
	for id, store := range m.Stores {
		if store.Retired || store.Evicted {
			continue
		}
		weights[id] = storeWeight
		sum += storeWeight
		if first == "" || id < first {
			first = id
		}
	}
	for _, id := range s.VoterIDs {
		if weights[id] == 0 {
			weights[id] = coreWeight
			sum += coreWeight
		}
	}
	if first == "" {
		return nil
	}
	if sum%2 == 0 {
		weights[first]++
	}
	return weights
}
