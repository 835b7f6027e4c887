// Package endpoints has the updates about model servers that daemons gossip: the list of
// servers, and the load of each, which one daemon a server reads (docs/DESIGN.md sections
// 7.2 and 8.3). It also has the rule that says which daemon that is.
//
// Everything here is a function of its arguments, and safe for concurrent use.
package endpoints

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// LabelZone is the label that names a server's zone.
const LabelZone = "zone"

// Server is one entry of the list of servers.
type Server struct {
	Name     string            `json:"name"`
	Address  string            `json:"address"` // host:port
	Labels   map[string]string `json:"labels"`
	Slots    int               `json:"slots"` // requests that it decodes at a time
	Draining bool              `json:"leaving,omitempty"`
	Removed  bool              `json:"gone,omitempty"`
}

// Load is one reading of a server's health and metrics pages.
type Load struct {
	Running int          `json:"running"` // requests
	Waiting int          `json:"waiting"` // requests
	Healthy bool         `json:"sound"`   // the pages could be read and report health
	ReadAt  clock.Micros `json:"at"`
	ReadBy  string       `json:"by"` // daemon id
}

// ServerKey is the key of updates of a server's entry.
func ServerKey(name string) string { return ServerPrefix + name }

// LoadKey is the key of updates of a server's load.
func LoadKey(name string) string { return LoadPrefix + name }

// ServerUpdate is the update that puts a server's entry in force: it is above the known
// update of the key, so the last one to change a server wins. A list that several
// daemons read by themselves needs another order; package discovery has that.
func ServerUpdate(server Server, known machine.Update, now clock.Micros) machine.Update {
	value, _ := json.Marshal(server) // strings, numbers and booleans: it can't fail
	return machine.Update{
		Key:   ServerKey(server.Name),
		Seq:   max(uint64(now), known.Seq+1),
		Value: value,
	}
}
