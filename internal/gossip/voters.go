package gossip

import (
	"slices"

	"tuliprudder/internal/clock"
)

// updateVoters reloads the voters if the update of the key is one that names them.
func (n *Node) updateVoters(key string) {
	source := n.settings.Voters
	if !slices.Contains(source.Keys, key) {
		return
	}
	values := map[string][]byte{}
	for _, key := range source.Keys {
		if update, ok := n.updates[key]; ok {
			values[key] = update.Value
		}
	}
	n.voters = source.Weights(values)
	for _, stamps := range []map[string]clock.Micros{n.knownUntil, n.knownUntilRaw} {
		for id := range stamps {
			if !n.isVoter(id) {
				delete(stamps, id)
			}
		}
	}
}

// sortedVoters returns the sorted IDs of the voters.
func (n *Node) sortedVoters() []string {
	out := make([]string, 0, len(n.voters))
	for id, weight := range n.voters {
		if weight > 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (n *Node) isVoter(id string) bool { return n.voters[id] > 0 }

// isMajority reports whether the voters for which counts returns true have more than half of the total
// weight. While no voters are known, it returns true.
func (n *Node) isMajority(counts func(id string) bool) bool {
	counted, total := 0, 0
	for id, weight := range n.voters {
		total += weight
		if counts(id) {
			counted += weight
		}
	}
	return 2*counted > total || total == 0
}

// votersInOtherZones returns the sorted addresses of the live voters in other zones.
func (n *Node) votersInOtherZones() []string {
	var out []string
	for _, member := range n.liveMembers() {
		if n.isVoter(member.ID) && member.Zone != n.self.Zone {
			out = append(out, member.Peer)
		}
	}
	slices.Sort(out)
	return out
}
