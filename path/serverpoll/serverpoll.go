// Package serverpoll reads the servers' pages, each server by one daemon: the first
// live edge in that server's agreed order (DESIGN §7.2). The figures go
// out under the duty's epoch; the others reject lower ones. It is a part of
// the edge's machine: the pages are read by the event loop.
package serverpoll

import (
	"encoding/json"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
	"tuliprudder/path/scheduler"
)

// ReadServer is work for the event loop: read a server's pages.
type ReadServer struct{ Name, Address string }

// ServerReading is what it found; Sound is false when the pages could not be read.
type ServerReading struct {
	ReadServer
	Running, Waiting int
	Sound            bool
	Began            clock.Micros
}

// Poller holds an edge's duties.
type Poller struct {
	self      string
	every     clock.Micros
	wire      *machine.Wire
	scheduler *scheduler.Scheduler
	members   func() []identity.Member
	due       map[string]clock.Micros // when a server is due again
	busy      map[string]bool
	versions  map[string]machine.Update // the latest figures' epoch and sequence
	next      clock.Micros
}

// New makes an edge's pollers; with no span between readings there are none.
func New(self string, every clock.Micros, wire *machine.Wire, d *scheduler.Scheduler, members func() []identity.Member) *Poller {
	return &Poller{self: self, every: every, wire: wire, scheduler: d, members: members, due: map[string]clock.Micros{}, busy: map[string]bool{}, versions: map[string]machine.Update{}}
}

// busyFactor is how much more often a busy server is looked at: old figures of a full
// server keep orders waiting that it could take.
const busyFactor = 4

// Receive notes the latest figures of a server.
func (s *Poller) Receive(update machine.Update) {
	if name, ok := strings.CutPrefix(update.Key, registry.LoadPrefix); ok {
		s.versions[name] = update
	}
}

// ClockEvent sends the event loop to the servers that are due and this daemon's duty.
func (s *Poller) ClockEvent(now clock.Micros) {
	if now < s.next || s.every == 0 {
		return
	}
	s.next = now + s.every/busyFactor
	members := s.members()
	for _, server := range s.scheduler.Servers() {
		if server.Gone || s.busy[server.Name] || now < s.due[server.Name] || registry.First(registry.LoadKey(server.Name), members, identity.Edge) != s.self {
			continue
		}
		s.busy[server.Name] = true
		s.wire.Emit(machine.Work{Order: ReadServer{Name: server.Name, Address: server.Address}})
	}
}

// Report spreads what was found. Taking the duty over raises its epoch by one.
func (s *Poller) Report(saw ServerReading, _ clock.Micros) {
	delete(s.busy, saw.Name)
	rest := s.every
	for _, server := range s.scheduler.Servers() {
		if server.Name == saw.Name && saw.Sound && 2*(saw.Running+saw.Waiting) >= server.Slots {
			rest = s.every / busyFactor
		}
	}
	s.due[saw.Name] = saw.Began + rest - s.every/(2*busyFactor)
	load := registry.Load{Running: saw.Running, Waiting: saw.Waiting, Sound: saw.Sound, At: saw.Began, By: s.self}
	epoch, seq := uint64(1), uint64(1)
	if known, ok := s.versions[saw.Name]; ok {
		epoch, seq = known.Epoch, known.Seq+1
		var last registry.Load
		if json.Unmarshal(known.Value, &last) != nil || last.By != s.self {
			epoch, seq = epoch+1, 1
		}
	}
	value, _ := json.Marshal(load)
	s.wire.Emit(machine.Publish{Update: machine.Update{Key: registry.LoadKey(saw.Name), Epoch: epoch, Seq: seq, Value: value}})
}
