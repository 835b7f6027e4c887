package placement

import "tuliprudder/internal/errs"

// CheckRetirement refuses the retirement of a store that would leave fewer live stores than a shard
// has copies, or too few zones for them (DESIGN §8.4).
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
	return errs.New(errs.Rejected, "add a store first, in another zone if need be, or wait until those that are down are back",
		"without store %s there are %d live stores in %d zone(s); %d copies need %d stores in %d zone(s)",
		id, remaining, len(zones), replicas, replicas, requiredZones)
}
