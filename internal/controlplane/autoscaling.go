package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
)

// This file keeps the planner of the numbers of servers up to date (package autoscale).

type (
	// EndpointUpdated tells that a model server is on the list, or what has changed of it.
	EndpointUpdated struct{ Server autoscale.Server }
	// EndpointRemoved tells that a model server is not on the list any more.
	EndpointRemoved struct{ Name string }
	// ConfigurationInForce gives the configuration that is in force.
	ConfigurationInForce struct{ Body []byte }
)

// Apply records it.
func (s EndpointUpdated) Apply(c *Core, _ clock.Micros) {
	if c.autoscale != nil {
		c.autoscale.SetServer(s.Server)
	}
}

// Apply records it.
func (s EndpointRemoved) Apply(c *Core, _ clock.Micros) {
	if c.autoscale != nil {
		c.autoscale.RemoveServer(s.Name)
	}
}

// Apply records it.
func (f ConfigurationInForce) Apply(c *Core, _ clock.Micros) {
	if c.autoscale == nil {
		return
	}
	// One that can't be read is of a later release: the one before goes on, as everywhere.
	if configuration, err := c.settings.ParseConfiguration(f.Body); err == nil {
		c.autoscale.SetConfiguration(configuration)
	}
}

// startAutoscale begins a term as primary.
func (c *Core) startAutoscale(now clock.Micros) {
	if c.autoscale != nil {
		c.autoscale.Start(now)
	}
}

// advanceAutoscale has the planner look at the load. What it goes by is confirmed: nothing is in flight.
func (c *Core) advanceAutoscale(now clock.Micros) {
	if c.autoscale != nil && c.HoldsLease(now) && !c.queue.HasInFlight() {
		c.autoscale.Advance(&c.state.Acts, now)
	}
}
