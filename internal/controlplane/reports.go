package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/machine"
)

// This file takes what other daemons report to the primary (package primaryreport), and keeps the
// collector of reports of use up to date.

// ReportsUsage tells whether this core makes reports of use as primary.
func (c *Core) ReportsUsage() bool { return c.usage != nil }

// receiveReport takes a daemon's report. A core that isn't primary remembers it, as it may be soon, but
// acknowledges nothing.
func (c *Core) receiveReport(call uint64, report primaryreport.Report, now clock.Micros) {
	reply := c.recordReport(report, now)
	if !c.IsServing() {
		c.rejectNotPrimary(call)
		return
	}
	c.Emit(machine.Reply{Call: call, Body: reply})
}

// recordReport takes a report, and gives the reply to it.
func (c *Core) recordReport(report primaryreport.Report, now clock.Micros) primaryreport.Reply {
	if c.autoscale != nil {
		c.autoscale.Receive(autoscale.Reporter{Daemon: report.Daemon, Incarnation: report.Incarnation}, report.Loads, now)
	}
	if c.usage == nil {
		return primaryreport.Reply{Epoch: c.group().Epoch}
	}
	return c.usage.Receive(report, now)
}

// setEdgeHealth has the collector wait for the live edges.
func (c *Core) setEdgeHealth(health EdgeHealth) {
	if c.usage != nil {
		c.usage.SetEdge(health.ID, health.Incarnation, health.IsLive)
	}
}

// startUsage begins a term as primary.
func (c *Core) startUsage(now clock.Micros) {
	if c.usage != nil {
		c.usage.Start(c.group().Epoch, now)
		c.updateDecidedUsage()
	}
}

// advanceUsage sets the collector's time.
func (c *Core) advanceUsage(now clock.Micros) {
	if c.usage != nil {
		c.usage.Advance(now)
	}
}

// updateDecidedUsage gives the collector what is decided and since when there is a configuration. It is
// called while nothing is in flight, so that every replica has it.
func (c *Core) updateDecidedUsage() {
	if c.usage == nil || !c.IsServing() || c.queue.HasInFlight() {
		return
	}
	c.usage.SetDecided(c.state.Acts.Record(usage.Subject).LastNumber)
	if len(c.state.Versions) > 0 {
		c.usage.SetConfiguredAt(c.state.Versions[0].At)
	}
}
