package placement

import "tuliprudder/internal/errs"

// CheckRetirement returns an error if the retirement of a store would leave fewer eligible stores
// than a shard has copies, or too few zones for the copies (DESIGN §8.4).
func CheckRetirement(settings Settings, cluster ClusterView, id string) error {
	remaining, zones := 0, map[string]bool{}
	for _, other := range cluster.Eligible() {
		if other != id {
			remaining++
			zones[cluster.Stores[other].Zone] = true
		}
	}
	replicas, requiredZones := settings.GroupSize(), settings.RequiredZones()
	if remaining >= replicas && len(zones) >= requiredZones {
		return nil
	}
	return errs.New(errs.Rejected, "add a store first, in another zone if necessary, or wait until the stores that are down have recovered",
		"without store %s, %d live stores in %d zone(s) remain; %d copies need %d stores in %d zone(s)",
		id, remaining, len(zones), replicas, replicas, requiredZones)
}
