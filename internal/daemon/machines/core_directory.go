package machines

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// coreDirectory keeps the cores' addresses, from the members and from the primary's updates.
type coreDirectory struct {
	seeds   []string                     // used while no core is known
	members map[string]membership.Member // the live cores, by id
	latest  state.CoreUpdate
}

func newCoreDirectory() coreDirectory {
	return coreDirectory{members: map[string]membership.Member{}}
}

// receive records an update and reports whether the addresses may have changed.
func (c *coreDirectory) receive(update machine.Update) bool {
	if update.Key == state.CoreKey {
		return json.Unmarshal(update.Value, &c.latest) == nil
	}
	if !strings.HasPrefix(update.Key, membership.KeyPrefix) {
		return false
	}
	member, ok := membership.Decode(update.Value)
	if !ok || member.Kind != membership.Core {
		return false
	}
	if member.Status >= membership.Dead {
		delete(c.members, member.ID)
	} else {
		c.members[member.ID] = member
	}
	return true
}

// addresses lists each core's address once: first the voters', then those of the other members
// by id; the seeds if there are none of either.
func (c *coreDirectory) addresses() []string {
	peers := slices.Clone(c.latest.VoterPeers)
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		peers = append(peers, c.members[id].Peer)
	}
	if known := distinct(peers); len(known) > 0 {
		return known
	}
	return distinct(c.seeds)
}

// distinct lists the non-empty addresses without duplicates, in the order of their first
// occurrence; nil if there are none.
func distinct(peers []string) (out []string) {
	for _, peer := range peers {
		if peer != "" && !slices.Contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}
