package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
)

// This file feeds the autoscaling planner (package autoscale).

type (
	// EndpointUpdated reports a model server that was added to the endpoint list or has changed.
	EndpointUpdated struct{ Server autoscale.Server }
	// EndpointRemoved reports that a model server was removed from the endpoint list.
	EndpointRemoved struct{ Name string }
	// ConfigurationInForce reports the configuration in force.
	ConfigurationInForce struct{ Body []byte }
)

// Apply passes the server to the planner.
func (s EndpointUpdated) Apply(c *Core, _ clock.Micros) {
	if c.autoscale != nil {
		c.autoscale.SetServer(s.Server)
	}
}

// Apply removes the server from the planner.
func (s EndpointRemoved) Apply(c *Core, _ clock.Micros) {
	if c.autoscale != nil {
		c.autoscale.RemoveServer(s.Name)
	}
}

// Apply passes the configuration to the planner.
func (f ConfigurationInForce) Apply(c *Core, _ clock.Micros) {
	if c.autoscale == nil {
		return
	}
	// A configuration that can't be parsed comes from a later release: the previous one stays in
	// use, as in every daemon.
	if configuration, err := c.settings.ParseConfiguration(f.Body); err == nil {
		c.autoscale.SetConfiguration(configuration)
	}
}

// startAutoscale starts the planner for a term as primary.
func (c *Core) startAutoscale(now clock.Micros) {
	if c.autoscale != nil {
		c.autoscale.Start(now)
	}
}

// advanceAutoscale lets the planner evaluate the load. It does so only while no change is in flight,
// so that the state that the planner reads is confirmed.
func (c *Core) advanceAutoscale(now clock.Micros) {
	if c.autoscale != nil && c.HoldsLease(now) && !c.queue.HasInFlight() {
		c.autoscale.Advance(&c.state.Acts, now)
	}
}
