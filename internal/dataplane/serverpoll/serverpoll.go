// Package serverpoll polls the load and health of model servers. Each server is polled by one
// edge, its rendezvous owner (docs/DESIGN.md section 7.2).
//
// Poller decides which servers are due and emits a PollTask for each; the event loop reads
// the server's pages and returns a PollResult, which the poller publishes as an
// endpoints.Load. A load is published under an epoch that increases when another edge takes
// over a server, so that a late load of the former owner is ignored.
//
// Poller is a part of an edge's state machine: the time is an argument of each call, and
// effects are emitted through machine.Calls. It is not safe for concurrent use.
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

// busyPollFactor is how many times more often a busy server is polled: an outdated load of a
// full server keeps requests queued that the server could already run.
const busyPollFactor = 4

// PollTask tells the event loop to read a server's health and metrics pages.
type PollTask struct{ Name, Address string }

// PollResult is the content of the pages. Healthy is false if they could not be read.
type PollResult struct {
	PollTask
	Running, Waiting int // requests
	Healthy          bool
	StartedAt        clock.Micros
}

// Poller polls the servers whose rendezvous owner is this edge.
type Poller struct {
	self          string
	interval      clock.Micros
	calls         *machine.Calls
	scheduler     *scheduler.Scheduler // has the list of servers
	members       func() []membership.Member
	nextPolls     map[string]clock.Micros   // time of the next poll by server name
	inFlight      map[string]bool           // servers with a task in flight, by name
	latestUpdates map[string]machine.Update // latest load update by server name
	nextScan      clock.Micros
}

// New returns an edge's poller. interval is the time between two polls of a server that is
// not busy; 0 disables polling.
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

// Receive records updates of servers' loads, including those of this edge. Other updates are ignored.
func (p *Poller) Receive(update machine.Update) {
	if name, ok := strings.CutPrefix(update.Key, endpoints.LoadPrefix); ok {
		p.latestUpdates[name] = update
	}
}

// Tick emits a PollTask for each server that this edge owns and that is due.
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

// HandleResult publishes the result of a poll.
func (p *Poller) HandleResult(result PollResult, _ clock.Micros) {
	delete(p.inFlight, result.Name)
	p.nextPolls[result.Name] = result.StartedAt + p.nextInterval(result)
	epoch, seq := p.nextVersion(result.Name)
	value, _ := json.Marshal(endpoints.Load{ // cannot fail: only numbers, booleans and strings
		Running: result.Running,
		Waiting: result.Waiting,
		Healthy: result.Healthy,
		ReadAt:  result.StartedAt,
		ReadBy:  p.self,
	})
	p.calls.Emit(machine.Publish{Update: machine.Update{Key: endpoints.LoadKey(result.Name), Epoch: epoch, Seq: seq, Value: value}})
}

// nextInterval returns the time from one poll of a server to the next. Half a scan interval is
// subtracted, so that the scan nearest to the intended time finds the server due.
func (p *Poller) nextInterval(result PollResult) clock.Micros {
	interval := p.interval
	if p.isBusy(result) {
		interval /= busyPollFactor
	}
	scanInterval := p.interval / busyPollFactor
	return interval - scanInterval/2
}

// isBusy reports whether a server is healthy and has requests for at least half of its slots.
func (p *Poller) isBusy(result PollResult) bool {
	for _, server := range p.scheduler.Servers() {
		if server.Name == result.Name {
			return result.Healthy && 2*(result.Running+result.Waiting) >= server.Slots
		}
	}
	return false
}

// nextVersion returns the epoch and sequence number of a server's next load: the epoch increases
// by one if another daemon published the latest load.
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
