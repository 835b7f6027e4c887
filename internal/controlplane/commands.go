package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/machine"
)

// Command is an input to a core.
type Command = machine.Command[*Core]

// The commands of a core.
type (
	// Persisted reports that the write of a machine.Persist effect is synced.
	Persisted struct{ Token uint64 }
	// StoreHealth reports the health of a store according to the membership.
	StoreHealth struct {
		ID        string
		Unhealthy bool
	}
	// EdgeHealth reports whether an incarnation of an edge is alive according to the membership.
	EdgeHealth struct {
		ID          string
		Incarnation uint64
		IsLive      bool
	}
	// CorePeers lists the addresses of the cores that the membership knows.
	CorePeers struct{ Peers []string }
	// FreshnessAdvanced reports that this daemon's updates include everything that a majority of
	// the voters for updates knew at the time At.
	FreshnessAdvanced struct{ At clock.Micros }
	// DurableUpdate is an update that must survive a stop of the complete fleet.
	DurableUpdate struct{ Update machine.Update }
	// Message is a message received from a peer.
	Message struct {
		From string
		Body any // one of the types registered with transport.Register
	}
	// Tick runs the periodic work of the core.
	Tick struct{}
	// Drain notifies the core that it is about to stop: other cores take over its roles.
	Drain struct{}
)

// Apply continues the work that waits for the write.
func (d Persisted) Apply(c *Core, now clock.Micros) { c.groups.Persisted(d.Token, now) }

// Apply records the health of the store.
func (n StoreHealth) Apply(c *Core, _ clock.Micros) { c.stores.SetSuspected(n.ID, n.Unhealthy) }

// Apply records the health of the edge.
func (e EdgeHealth) Apply(c *Core, _ clock.Micros) { c.setEdgeHealth(e) }

// Apply sends these cores a heartbeat.
func (p CorePeers) Apply(c *Core, now clock.Micros) { c.election.SendHeartbeatTo(p.Peers, now) }

// Apply records the time.
func (f FreshnessAdvanced) Apply(c *Core, _ clock.Micros) { c.stores.SetFreshUntil(f.At) }

// Apply dispatches the message to the part that handles it.
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

// Apply runs the periodic work of all parts.
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

// Apply notifies the other cores.
func (Drain) Apply(c *Core, now clock.Micros) { c.election.Drain(now) }
