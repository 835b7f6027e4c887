package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
	"tuliprudder/test/modelcontent"
)

// drainPeriod is when the platform had a server draining.
type drainPeriod struct {
	from, to clock.Micros // to is 0 while it still drains
}

// PublishServers puts the platform's complete endpoint list at an edge.
func (v *Workload) PublishServers(n *Node) {
	for _, s := range v.world.Servers {
		v.publishServer(n, s.Endpoint(), func() {})
	}
}

// publishServer broadcasts the platform's update of a server from one daemon, as its admin API
// does: the callback runs once most of the fleet has it; failing that, the update is sent
// from another daemon.
func (v *Workload) publishServer(n *Node, server endpoints.Server, callback func()) {
	v.endpointUpdates[server.Name]++
	p := &endpointPublication{workload: v, node: n, server: server, number: v.endpointUpdates[server.Name], onDone: callback}
	if !n.up {
		p.retry()
		return
	}
	n.runOrDefer(p.broadcast)
}

// endpointPublication is one attempt to publish an update of a server.
type endpointPublication struct {
	workload *Workload
	node     *Node
	server   endpoints.Server
	number   int // of the update among those of the server
	onDone   func()
}

// isReplaced says whether a newer update of the server was sent since.
func (p *endpointPublication) isReplaced() bool {
	return p.number != p.workload.endpointUpdates[p.server.Name]
}

// retry publishes the update from another daemon, a little later.
func (p *endpointPublication) retry() {
	v := p.workload
	v.world.After(200*clock.Millisecond, func() {
		n := v.randomEdge()
		if n == nil {
			n = p.node
		}
		v.publishServer(n, p.server, p.onDone)
	})
}

// Timeouts of a broadcast: of the daemon, and of the platform that waits for the daemon.
const (
	broadcastTimeout = 2 * clock.Second
	publishTimeout   = 3 * clock.Second
)

// broadcast has the daemon broadcast the update.
func (p *endpointPublication) broadcast() {
	if p.isReplaced() {
		return
	}
	n, w := p.node, p.workload.world
	known, _ := n.gossip.Update(endpoints.ServerKey(p.server.Name))
	generation := n.generation
	n.lastCall++
	n.calls[n.lastCall] = func(reply machine.Reply) {
		switch {
		case p.isReplaced():
		case reply.Err == nil:
			p.onDone()
		default:
			p.retry()
		}
	}
	removeCrashHook := n.onCrash(p.retry)
	update := endpoints.ServerUpdate(p.server, known, w.Now)
	n.execute(n.gossip.Do(gossip.Broadcast{Update: update, Call: n.lastCall, Timeout: broadcastTimeout}, w.Now))
	w.After(publishTimeout, func() {
		if n.generation == generation {
			removeCrashHook()
		}
	})
}

// SetDraining has the platform list a server as draining, or as active again.
func (v *Workload) SetDraining(s *Server, draining bool) {
	n := v.randomEdge()
	if n == nil {
		return
	}
	server := s.Endpoint()
	server.Draining = draining
	if periods := v.drainPeriods[s.Name]; !draining && len(periods) > 0 && periods[len(periods)-1].to == 0 {
		periods[len(periods)-1].to = v.world.Now
	}
	v.publishServer(n, server, func() {
		v.world.Tracef("%s listed as draining at %s: %v", s.Name, n.Name, draining)
		if draining {
			v.drainPeriods[s.Name] = append(v.drainPeriods[s.Name], drainPeriod{from: v.world.Now})
		}
	})
}

// checkDraining checks a start against the periods in which its server drains.
func (v *Workload) checkDraining(start modelcontent.Start) {
	for _, period := range v.drainPeriods[start.Server] {
		if period.to > 0 {
			continue
		}
		v.countCheck(drainingRespected)
		if start.At > period.from+3*clock.Second+timingGrace {
			v.reportViolation(drainingRespected, "%s was listed as draining %d us ago and gets %s", start.Server, start.At-period.from, start.Input)
		}
	}
}
