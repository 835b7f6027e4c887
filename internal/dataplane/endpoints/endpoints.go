// Package endpoints defines the updates about model servers that daemons gossip: the list of
// servers, and the load of each server, which is polled by one daemon (docs/DESIGN.md sections
// 7.2 and 8.3). It also defines the rule by which that daemon is chosen.
//
// All functions depend only on their arguments and are safe for concurrent use.
package endpoints

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// LabelZone is the key of the label with a server's zone.
const LabelZone = "zone"

// Server is one entry of the list of servers.
type Server struct {
	Name     string            `json:"name"`
	Address  string            `json:"address"` // host:port
	Labels   map[string]string `json:"labels"`
	Slots    int               `json:"slots"` // number of requests that it decodes at a time
	Draining bool              `json:"leaving,omitempty"`
	Removed  bool              `json:"gone,omitempty"`
}

// Load is one reading of a server's health and metrics pages.
type Load struct {
	Running int          `json:"running"` // requests
	Waiting int          `json:"waiting"` // requests
	Healthy bool         `json:"sound"`   // the pages could be read and report a healthy server
	ReadAt  clock.Micros `json:"at"`
	ReadBy  string       `json:"by"` // daemon ID
}

// ServerKey returns the key of the updates of a server's entry.
func ServerKey(name string) string { return ServerPrefix + name }

// LoadKey returns the key of the updates of a server's load.
func LoadKey(name string) string { return LoadPrefix + name }

// ServerUpdate returns the update that publishes a server's entry. Its sequence number is above
// that of the known update of the key, so the last daemon to change a server wins. A list that
// several daemons read independently needs another order; package discovery has that.
func ServerUpdate(server Server, known machine.Update, now clock.Micros) machine.Update {
	value, _ := json.Marshal(server) // cannot fail: only strings, numbers and booleans
	return machine.Update{
		Key:   ServerKey(server.Name),
		Seq:   max(uint64(now), known.Seq+1),
		Value: value,
	}
}
