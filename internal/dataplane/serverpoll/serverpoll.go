// Package serverpoll reads the load and health of model servers, each server by one edge:
// its rendezvous owner (docs/DESIGN.md section 7.2).
//
// Poller decides which servers are due and emits a PollTask for each; the event loop reads
// the server's pages and returns a PollResult, which the poller publishes as an
// endpoints.Load. A load is published under an epoch that rises when another edge takes a
// server over, so that a late load of the former owner is ignored.
//
// Poller is a part of an edge's state machine: time comes in with each call, effects go
// out by machine.Calls. It is not safe for concurrent use.
package serverpoll

import (
	"encoding/json"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// busyPollFactor is how many times more often a busy server is polled: an old load of a
// full server keeps requests queued that it could take.
const busyPollFactor = 4

// PollTask is work for the event loop: read a server's pages.
type PollTask struct{ Name, Address string }

// PollResult is what the pages said. Healthy is false where they could not be read.
type PollResult struct {
	PollTask
	Running, Waiting int // requests
	Healthy          bool
	StartedAt        clock.Micros
}

// Poller polls the servers that this edge owns.
type Poller struct {
	self          string
	interval      clock.Micros
	calls         *machine.Calls
	scheduler     *scheduler.Scheduler // knows the servers
	members       func() []membership.Member
	nextPolls     map[string]clock.Micros   // when a server is due, by name
	inFlight      map[string]bool           // a task is under way, by name
	latestUpdates map[string]machine.Update // of a server's load, by its name
	nextScan      clock.Micros
}

// New makes an edge's poller. interval is the time between two polls of a server that
// isn't busy; 0: nothing is polled.
func New(self string, interval clock.Micros, calls *machine.Calls, sched *scheduler.Scheduler, members func() []membership.Member) *Poller {
	return &Poller{
		self:          self,
		interval:      interval,
		calls:         calls,
		scheduler:     sched,
		members:       members,
		nextPolls:     map[string]clock.Micros{},
		inFlight:      map[string]bool{},
		latestUpdates: map[string]machine.Update{},
	}
}

// Receive takes the updates of servers' loads, own ones as well. Others are ignored.
func (p *Poller) Receive(update machine.Update) {
	if name, ok := strings.CutPrefix(update.Key, endpoints.LoadPrefix); ok {
		p.latestUpdates[name] = update
	}
}

// Tick emits a PollTask for each own server that is due.
func (p *Poller) Tick(now clock.Micros) {
	if now < p.nextScan || p.interval == 0 {
		return
	}
	p.nextScan = now + p.interval/busyPollFactor
	members := p.members()
	for _, server := range p.scheduler.Servers() {
		if !p.isDue(server, now) || !p.owns(server.Name, members) {
			continue
		}
		p.inFlight[server.Name] = true
		p.calls.Emit(machine.Execute{Task: PollTask{Name: server.Name, Address: server.Address}})
	}
}

func (p *Poller) isDue(server endpoints.Server, now clock.Micros) bool {
	return !server.Removed && !p.inFlight[server.Name] && now >= p.nextPolls[server.Name]
}

func (p *Poller) owns(server string, members []membership.Member) bool {
	return endpoints.RendezvousOwner(endpoints.LoadKey(server), members, membership.Edge) == p.self
}

// HandleResult publishes what a poll found.
func (p *Poller) HandleResult(result PollResult, _ clock.Micros) {
	delete(p.inFlight, result.Name)
	p.nextPolls[result.Name] = result.StartedAt + p.nextInterval(result)
	epoch, seq := p.nextVersion(result.Name)
	value, _ := json.Marshal(endpoints.Load{ // numbers, booleans and strings: it can't fail
		Running: result.Running,
		Waiting: result.Waiting,
		Healthy: result.Healthy,
		ReadAt:  result.StartedAt,
		ReadBy:  p.self,
	})
	p.calls.Emit(machine.Publish{Update: machine.Update{Key: endpoints.LoadKey(result.Name), Epoch: epoch, Seq: seq, Value: value}})
}

// nextInterval is the time from one poll of a server to the next. Half a scan is taken
// off, so that the scan nearest to it finds the server due.
func (p *Poller) nextInterval(result PollResult) clock.Micros {
	interval := p.interval
	if p.isBusy(result) {
		interval /= busyPollFactor
	}
	scanInterval := p.interval / busyPollFactor
	return interval - scanInterval/2
}

// isBusy tells whether a healthy server has requests for half of its slots or more.
func (p *Poller) isBusy(result PollResult) bool {
	for _, server := range p.scheduler.Servers() {
		if server.Name == result.Name {
			return result.Healthy && 2*(result.Running+result.Waiting) >= server.Slots
		}
	}
	return false
}

// nextVersion is the epoch and sequence of a server's next load: the epoch rises by one
// where another daemon read the latest one.
func (p *Poller) nextVersion(server string) (epoch, seq uint64) {
	latest, known := p.latestUpdates[server]
	if !known {
		return 1, 1
	}
	var load endpoints.Load
	isOwn := json.Unmarshal(latest.Value, &load) == nil && load.ReadBy == p.self
	if !isOwn {
		return latest.Epoch + 1, 1
	}
	return latest.Epoch, latest.Seq + 1
}
