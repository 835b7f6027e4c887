package state

import "encoding/json"

// What a daemon counts for when most of the fleet has to have heard of something
// (DESIGN §3): a store two, so that the stores alone are most of a fleet whose
// cores are lost; a core one.
const (
	storeWeight = 2
	coreWeight  = 1
)

// VoterWeights is who counts, by id, from the core's own updates: the stores that are neither
// retired nor evicted, and the cores with a vote. It is empty before a
// store was registered. No two halves of it weigh the same: otherwise both sides of a partition
// could miss a majority.
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
