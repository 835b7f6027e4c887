package controlplane

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// The platform's words on servers start at any daemon and live in memory there.
// Each core writes them down, so that they outlive a stop of the whole fleet
// (DESIGN §8.3): a core that starts tells them again.

const maxEndpoints = 10_000

// EndpointUpdate is the platform's word on a server, as the updates have it.
type EndpointUpdate struct{ Update machine.Update }

// Apply writes it down where it is newer.
func (l EndpointUpdate) Apply(s *Core, _ clock.Micros) {
	if !strings.HasPrefix(l.Update.Key, endpointKeyPrefix) || !l.Update.Newer(s.endpoints[l.Update.Key]) {
		return
	}
	if _, known := s.endpoints[l.Update.Key]; !known && len(s.endpoints) >= maxEndpoints {
		s.Emit(machine.LogEvent{Event: EndpointLimitReached{Endpoint: l.Update.Key, Remedy: "put a shorter list"}})
		return
	}
	s.endpoints[l.Update.Key] = l.Update
	s.groups.Persist([]machine.Record{endpointRecord(l.Update)}, nil)
}

func endpointRecord(update machine.Update) machine.Record {
	body, _ := json.Marshal(update)
	return machine.Record{Unit: unitEndpoints, Kind: kindEndpoint, Epoch: update.Epoch, Seq: update.Seq, Body: body}
}

// restoreEndpoint reads one back.
func (s *Core) restoreEndpoint(record machine.Record) {
	var update machine.Update
	if err := json.Unmarshal(record.Body, &update); err != nil {
		s.BadRecord = err
		return
	}
	if update.Newer(s.endpoints[update.Key]) {
		s.endpoints[update.Key] = update
	}
}

// republishEndpoints tells what was read back, once.
func (s *Core) republishEndpoints() {
	if s.endpointsRepublished {
		return
	}
	s.endpointsRepublished = true
	for _, key := range s.sortedEndpointKeys() {
		s.Emit(machine.Publish{Update: s.endpoints[key]})
	}
}

func (s *Core) endpointRecords() []machine.Record {
	var out []machine.Record
	for _, key := range s.sortedEndpointKeys() {
		out = append(out, endpointRecord(s.endpoints[key]))
	}
	return out
}

func (s *Core) sortedEndpointKeys() []string {
	keys := make([]string, 0, len(s.endpoints))
	for key := range s.endpoints {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
