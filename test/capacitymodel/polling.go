package capacitymodel

import (
	"encoding/json"
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// pollAssignments are the servers that each edge polls, by rendezvous hashing. They are worked
// out once for the simulated edges; full ones work them out themselves.
func (f *Fleet) pollAssignments() map[string][]*modelServer {
	var members []membership.Member
	for _, d := range f.daemons {
		if d.kind == membership.Edge && d.up {
			members = append(members, d.member())
		}
	}
	out := map[string][]*modelServer{}
	for _, s := range f.servers {
		first := endpoints.RendezvousOwner("load/"+s.endpoint.Name, members, membership.Edge)
		out[first] = append(out[first], s)
	}
	return out
}

// runningRequests draws how many requests a server runs now.
func (f *Fleet) runningRequests(name string) int {
	var number int
	fmt.Sscanf(name, "server-%d", &number)
	if number > 0 && number <= len(f.servers) && f.servers[number-1].busy {
		return 32 + f.rng.Intn(24)
	}
	return f.rng.Intn(24)
}

// assignPolling gives the simulated edges the servers that they poll. One that is no longer
// assigned a server stops, and its successor publishes under a higher epoch.
func (f *Fleet) assignPolling() {
	byID := map[string]*daemon{}
	for _, d := range f.daemons {
		byID[d.id], d.polledServers = d, 0
	}
	for id, servers := range f.pollAssignments() {
		d := byID[id]
		if d == nil {
			continue
		}
		d.polledServers = len(servers)
		for _, s := range servers {
			if d.isFull || s.poller == d && s.pollerGeneration == d.generation {
				continue
			}
			s.poller, s.pollerGeneration = d, d.generation
			d.pollServer(s)
		}
	}
}

// pollServer has a simulated edge poll a server as the pollers do: one figure every 400 ms,
// four times as often for a server that is at least half full.
func (d *daemon) pollServer(s *modelServer) {
	f := d.fleet
	p := &simulatedPoller{daemon: d, generation: d.generation, server: s, interval: machines.EdgeDefaults().PollInterval}
	// An edge polls all that is due at once, every quarter of the interval.
	phase := p.interval / 4
	if s.busy {
		p.interval /= 4
	}
	f.After((phase-f.Now%phase+d.pollPhase)%phase, p.poll)
}

// simulatedPoller polls one server for a simulated edge.
type simulatedPoller struct {
	daemon     *daemon
	generation int // of the daemon
	server     *modelServer
	interval   clock.Micros
	published  loadVersion
}

// isAssigned says whether the daemon still runs and polls the server.
func (p *simulatedPoller) isAssigned() bool {
	return p.daemon.generation == p.generation && p.daemon.up && p.server.poller == p.daemon
}

func (p *simulatedPoller) poll() {
	if !p.isAssigned() {
		return
	}
	f := p.daemon.fleet
	f.tallyOf(p.daemon).polls++
	f.After(f.randomBetween(500, 2500), p.publish)
	f.After(p.interval, p.poll)
}

// publish publishes the server's load under an epoch above that of any other poller.
func (p *simulatedPoller) publish() {
	if !p.isAssigned() {
		return
	}
	d := p.daemon
	f, name := d.fleet, p.server.endpoint.Name
	d.runStep(func() {
		if version := d.loadVersions[name]; p.published.epoch == 0 || version.epoch > p.published.epoch {
			p.published = loadVersion{epoch: version.epoch + 1}
		}
		p.published.seq++
		value, err := json.Marshal(endpoints.Load{Running: f.runningRequests(name), Healthy: true, ReadAt: f.Now, ReadBy: d.id})
		must(err)
		update := machine.Update{Key: endpoints.LoadKey(name), Epoch: p.published.epoch, Seq: p.published.seq, Value: value}
		d.applyEffects(d.gossip.Do(gossip.Publish{Update: update}, f.Now))
	})
}
