package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/machine"
)

// This file handles the reports of other daemons to the primary (package primaryreport), and feeds
// the usage collector.

// ReportsUsage reports whether this core makes usage reports as primary.
func (c *Core) ReportsUsage() bool { return c.usage != nil }

// receiveReport handles a daemon's report. A core that isn't primary keeps the report, as it may
// become primary soon, but does not acknowledge it.
func (c *Core) receiveReport(call uint64, report primaryreport.Report, now clock.Micros) {
	reply := c.recordReport(report, now)
	if !c.IsServing() {
		c.rejectNotPrimary(call)
		return
	}
	c.Emit(machine.Reply{Call: call, Body: reply})
}

// recordReport records a report and returns the reply to it.
func (c *Core) recordReport(report primaryreport.Report, now clock.Micros) primaryreport.Reply {
	if c.autoscale != nil {
		c.autoscale.Receive(autoscale.Reporter{Daemon: report.Daemon, Incarnation: report.Incarnation}, report.Loads, now)
	}
	if c.usage == nil {
		return primaryreport.Reply{Epoch: c.group().Epoch}
	}
	return c.usage.Receive(report, now)
}

// setEdgeHealth updates the live edges that the collector waits for.
func (c *Core) setEdgeHealth(health EdgeHealth) {
	if c.usage != nil {
		c.usage.SetEdge(health.ID, health.Incarnation, health.IsLive)
	}
}

// startUsage starts the collector for a term as primary.
func (c *Core) startUsage(now clock.Micros) {
	if c.usage != nil {
		c.usage.Start(c.group().Epoch, now)
		c.updateDecidedUsage()
	}
}

// advanceUsage advances the collector to the current time.
func (c *Core) advanceUsage(now clock.Micros) {
	if c.usage != nil {
		c.usage.Advance(now)
	}
}

// updateDecidedUsage passes the last decided window, and the time since which there is a
// configuration, to the collector. It does so only while no change is in flight, so that every
// replica has them.
func (c *Core) updateDecidedUsage() {
	if c.usage == nil || !c.IsServing() || c.queue.HasInFlight() {
		return
	}
	c.usage.SetDecided(c.state.Acts.Record(usage.Subject).LastNumber)
	if len(c.state.Versions) > 0 {
		c.usage.SetConfiguredAt(c.state.Versions[0].At)
	}
}
