// Package observations exchanges what the daemons of a zone observe of the model servers
// (docs/DESIGN.md section 12.6): the load that a server reports with its responses, and the outcomes of
// requests. A single daemon of many uses each server seldom, but all daemons of a zone together use it
// many times a second. The exchange sends no requests to the servers.
//
// An Exchange is a part of the state machine of an edge or a store: messages are emitted as effects,
// and the time is an argument of each call. It is not safe for concurrent use. After a lost or late
// message a daemon only knows less for a moment.
package observations

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/transport"
)

// Reports is the message with a daemon's latest observations of servers. The names of its type and
// fields are on the wire.
type Reports struct{ Servers []Report }

// Report is what a daemon observed of one server since its last message. The server's name is hashed
// to keep these frequent messages small, and counts are limited to 255.
type Report struct {
	Server            uint32
	Running, Waiting  uint8  // requests, as the server reported them
	AgeMS             uint16 // age of Running and Waiting in milliseconds when the message was sent
	Slots             uint8  // slots of the server; 0 if it reported no load
	Succeeded, Failed uint8  // number of requests
}

func init() { transport.Register(Reports{}) }

const (
	// interval is the time between two messages.
	interval = 500 * clock.Millisecond
	// maxPeers limits the daemons that a message is sent to. In larger zones the recipients rotate.
	maxPeers = 4
	maxCount = 255
	maxAgeMS = 60_000
)

// Exchange sends and receives reports for one daemon's scheduler.
type Exchange struct {
	self      string
	scheduler *scheduler.Scheduler
	nextSend  clock.Micros
	nextPeer  int // index of the next message's first recipient, in a zone with more than maxPeers
}

// New returns the exchange of the daemon with the ID self.
func New(self string, sched *scheduler.Scheduler) *Exchange {
	return &Exchange{self: self, scheduler: sched}
}

// Tick sends the observations since the last message when the next message is due.
func (x *Exchange) Tick(members map[string]membership.Member, emit func(machine.Effect), now clock.Micros) {
	if now < x.nextSend || x.scheduler.IsDisabled(mechanism.Observations) {
		return
	}
	x.nextSend = now + interval
	observed := x.scheduler.TakeObservations()
	if len(observed) == 0 {
		return
	}
	message := Reports{}
	for _, observation := range observed {
		message.Servers = append(message.Servers, newReport(observation, now))
	}
	for _, peer := range x.peers(members) {
		emit(machine.Send{To: peer, Body: message})
	}
}

// peers returns the addresses that a message is sent to: those of the other edges and stores of the zone, or
// the next maxPeers of them.
func (x *Exchange) peers(members map[string]membership.Member) []string {
	var all []string
	for _, id := range slices.Sorted(maps.Keys(members)) {
		member := members[id]
		choosesServers := member.Kind == membership.Edge || member.Kind == membership.Store
		if choosesServers && id != x.self && member.Zone == members[x.self].Zone && member.Status <= membership.Suspect {
			all = append(all, member.Peer)
		}
	}
	if len(all) <= maxPeers {
		return all
	}
	var out []string
	for i := range maxPeers {
		out = append(out, all[(x.nextPeer+i)%len(all)])
	}
	x.nextPeer = (x.nextPeer + maxPeers) % len(all)
	return out
}

// Receive passes the observations in another daemon's message to the scheduler.
func (x *Exchange) Receive(message Reports, now clock.Micros) {
	names := map[uint32]string{}
	for _, name := range x.scheduler.ServerNames() {
		names[endpoints.NameHash(name)] = name
	}
	for _, report := range message.Servers {
		if name, known := names[report.Server]; known {
			x.scheduler.ReceiveObservation(report.observation(name, now), now)
		}
	}
}

func newReport(observation scheduler.Observation, now clock.Micros) Report {
	report := Report{
		Server:    endpoints.NameHash(observation.Server),
		Succeeded: uint8(min(maxCount, observation.Succeeded)),
		Failed:    uint8(min(maxCount, observation.Failed)),
	}
	if load := observation.Load; load != nil {
		report.Running = uint8(min(maxCount, load.Running))
		report.Waiting = uint8(min(maxCount, load.Waiting))
		report.Slots = uint8(max(1, min(maxCount, load.Slots)))
		report.AgeMS = uint16(min(maxAgeMS, max(0, (now-observation.At)/clock.Millisecond)))
	}
	return report
}

// observation converts a report for the scheduler. The message's transmission time is neglected.
func (r Report) observation(server string, now clock.Micros) scheduler.Observation {
	out := scheduler.Observation{Server: server, Succeeded: int(r.Succeeded), Failed: int(r.Failed)}
	if r.Slots > 0 {
		out.Load = &endpoints.ReportedLoad{Running: int(r.Running), Waiting: int(r.Waiting), Slots: int(r.Slots)}
		out.At = now - clock.Micros(r.AgeMS)*clock.Millisecond
	}
	return out
}
