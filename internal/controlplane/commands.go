package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/machine"
)

// Command is an input of a core.
type Command = machine.Command[*Core]

// The commands of a core.
type (
	// Persisted tells that the write of a machine.Persist effect is synced.
	Persisted struct{ Token uint64 }
	// StoreHealth tells what the membership takes a store for.
	StoreHealth struct {
		ID        string
		Unhealthy bool
	}
	// EdgeHealth tells whether an incarnation of an edge lives, as the membership takes it.
	EdgeHealth struct {
		ID          string
		Incarnation uint64
		IsLive      bool
	}
	// CorePeers tells the addresses of the cores that the membership knows.
	CorePeers struct{ Peers []string }
	// FreshnessAdvanced tells up to when this daemon's updates include what a majority of the
	// voters for updates knew.
	FreshnessAdvanced struct{ At clock.Micros }
	// DurableUpdate is an update that is to outlive a stop of the whole fleet.
	DurableUpdate struct{ Update machine.Update }
	// Message is a message that was received.
	Message struct {
		From string
		Body any // one of the types that are given to transport.Register
	}
	// Tick lets the core do what is due.
	Tick struct{}
	// Drain tells the core that it is about to stop: others take its duties over.
	Drain struct{}
)

// Apply runs what waits for the write.
func (d Persisted) Apply(c *Core, now clock.Micros) { c.groups.Persisted(d.Token, now) }

// Apply records it.
func (n StoreHealth) Apply(c *Core, _ clock.Micros) { c.stores.SetSuspected(n.ID, n.Unhealthy) }

// Apply records it.
func (e EdgeHealth) Apply(c *Core, _ clock.Micros) { c.setEdgeHealth(e) }

// Apply sends these cores a heartbeat.
func (p CorePeers) Apply(c *Core, now clock.Micros) { c.election.SendHeartbeatTo(p.Peers, now) }

// Apply records it.
func (f FreshnessAdvanced) Apply(c *Core, _ clock.Micros) { c.stores.SetFreshUntil(f.At) }

// Apply hands the message to the part that it is for.
func (m Message) Apply(c *Core, now clock.Micros) {
	if c.groups.HandleMessage(m.From, m.Body, now) || c.election.HandleMessage(m.From, m.Body, now) {
		return
	}
	if heartbeat, ok := m.Body.(registration.Heartbeat); ok {
		c.handleStoreHeartbeat(m.From, heartbeat, now)
	}
	if report, ok := m.Body.(primaryreport.Report); ok {
		c.recordReport(report, now)
	}
}

// Apply does what is due.
func (Tick) Apply(c *Core, now clock.Micros) {
	c.republishUpdates()
	c.advanceUsage(now)
	c.advanceAutoscale(now)
	c.groups.Tick(now)
	c.election.Tick(now)
	c.expireChanges(now)
	c.processQueue(now)
	c.reconcileWhenDue(now)
}

// Apply tells the other cores.
func (Drain) Apply(c *Core, now clock.Micros) { c.election.Drain(now) }
