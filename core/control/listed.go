package control

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// The platform's words on servers start at any daemon and live in memory there.
// Each core writes them down, so that they outlive a stop of the whole fleet
// (DESIGN §8.3): a core that starts tells them again.

const mostListed = 10_000

// Listed is the platform's word on a server, as the news have it.
type Listed struct{ Rumour machine.Update }

// Apply writes it down where it is newer.
func (l Listed) Apply(s *Core, _ clock.Micros) {
	if !strings.HasPrefix(l.Rumour.Key, listedKeys) || !l.Rumour.Newer(s.listed[l.Rumour.Key]) {
		return
	}
	if _, known := s.listed[l.Rumour.Key]; !known && len(s.listed) >= mostListed {
		s.Emit(machine.Explain{What: "more servers than a core writes down; put a shorter list", Fields: map[string]any{"server": l.Rumour.Key}})
		return
	}
	s.listed[l.Rumour.Key] = l.Rumour
	s.groups.Store([]machine.Record{listedRecord(l.Rumour)}, nil)
}

func listedRecord(rumour machine.Update) machine.Record {
	body, _ := json.Marshal(rumour)
	return machine.Record{Unit: unitListed, Kind: kindListed, Epoch: rumour.Epoch, Seq: rumour.Seq, Body: body}
}

// relist reads one back.
func (s *Core) relist(record machine.Record) {
	var rumour machine.Update
	if err := json.Unmarshal(record.Body, &rumour); err != nil {
		s.BadRecord = err
		return
	}
	if rumour.Newer(s.listed[rumour.Key]) {
		s.listed[rumour.Key] = rumour
	}
}

// retell tells what was read back, once.
func (s *Core) retell() {
	if s.retold {
		return
	}
	s.retold = true
	for _, key := range s.listedInOrder() {
		s.Emit(machine.Publish{Update: s.listed[key]})
	}
}

func (s *Core) listedRecords() []machine.Record {
	var out []machine.Record
	for _, key := range s.listedInOrder() {
		out = append(out, listedRecord(s.listed[key]))
	}
	return out
}

func (s *Core) listedInOrder() []string {
	keys := make([]string, 0, len(s.listed))
	for key := range s.listed {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
