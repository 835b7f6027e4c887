// Package registry is the updates about model servers: the list of servers with its
// leaving marks, and the load figures that one daemon a server reads (DESIGN
// §7.2, §8.3).
package registry

import (
	"encoding/json"
	"hash/fnv"
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
)

// Server is one entry of the list of servers.
type Server struct {
	Name    string            `json:"name"`
	Address string            `json:"address"`
	Labels  map[string]string `json:"labels"`
	Slots   int               `json:"slots"`
	Leaving bool              `json:"leaving,omitempty"`
	Gone    bool              `json:"gone,omitempty"`
}

// Load is one reading of a server's pages.
type Load struct {
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Sound   bool         `json:"sound"`
	At      clock.Micros `json:"at"`
	By      string       `json:"by"`
}

// ServerUpdate is the newest state of a server, as an update: always above what is known.
func ServerUpdate(server Server, known machine.Update, now clock.Micros) machine.Update {
	value, _ := json.Marshal(server)
	return machine.Update{Key: ServerKey(server.Name), Seq: max(uint64(now), known.Seq+1), Value: value}
}

// ServerKey and LoadKey are the update keys of a server.
func ServerKey(name string) string { return ServerPrefix + name }

// LoadKey is the key of a server's load figures.
func LoadKey(name string) string { return LoadPrefix + name }

// First is the first live daemon in the agreed order for a duty: each duty has
// an order of its own, so duties spread over the daemons.
func First(duty string, members []identity.Member, kind string) string {
	type place struct {
		id   string
		rank uint64
	}
	var order []place
	for _, member := range members {
		if member.Kind == kind && member.Status == identity.Alive && !member.Draining {
			h := fnv.New64a()
			h.Write([]byte(duty + "\x00" + member.ID))
			order = append(order, place{member.ID, h.Sum64()})
		}
	}
	if len(order) == 0 {
		return ""
	}
	sort.Slice(order, func(i, j int) bool {
		if order[i].rank != order[j].rank {
			return order[i].rank < order[j].rank
		}
		return order[i].id < order[j].id
	})
	return order[0].id
}
