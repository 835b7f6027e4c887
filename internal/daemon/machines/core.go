package machines

import (
	"encoding/json"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/controlplane/durableupdates"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Core is the machine of a core daemon: the control plane, the addresses of the cores, and acts on
// external systems.
type Core struct {
	*controlplane.Core
	cores coreDirectory
	acts  corePerformer
}

// NewCore makes the machine of a core daemon.
func NewCore(core *controlplane.Core) *Core {
	return &Core{Core: core, cores: newCoreDirectory(), acts: newCorePerformer()}
}

// Message handles a message that was received.
func (c *Core) Message(from string, body any, now clock.Micros) []machine.Effect {
	return c.Do(controlplane.Message{From: from, Body: body}, now)
}

// Persisted handles the completion of a write.
func (c *Core) Persisted(token uint64, now clock.Micros) []machine.Effect {
	return c.Do(controlplane.Persisted{Token: token}, now)
}

// DiskStateChanged handles a change of whether the disk takes writes.
func (c *Core) DiskStateChanged(diskState machine.DiskState, now clock.Micros) []machine.Effect {
	return c.Do(controlplane.DiskStateChanged{State: diskState}, now)
}

// CompactAgain makes another snapshot, since the last one could not be written.
func (c *Core) CompactAgain(now clock.Micros) []machine.Effect {
	return c.Do(controlplane.CompactAgain{}, now)
}

// UpdateReceived handles an update: members' status, model servers, the configuration, durable updates
// and addresses of cores.
func (c *Core) UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect {
	out := append(c.reportHealth(update, now), c.reportServers(update, now)...)
	if durableupdates.IsKept(update.Key) {
		out = append(out, c.Do(controlplane.DurableUpdate{Update: update}, now)...)
	}
	if c.cores.receive(update) {
		out = append(out, c.Do(controlplane.CorePeers{Peers: c.cores.addresses()}, now)...)
	}
	return out
}

// reportServers passes an update of a model server, or of the configuration that says which servers are
// scaled, to the control plane. An update whose value can't be read is ignored: it is from a later release.
func (c *Core) reportServers(update machine.Update, now clock.Micros) []machine.Effect {
	var server endpoints.Server
	var version state.Version
	switch {
	case strings.HasPrefix(update.Key, endpoints.ServerPrefix) && json.Unmarshal(update.Value, &server) == nil:
		return c.Do(serverCommand(server), now)
	case update.Key == state.ConfigurationKey && json.Unmarshal(update.Value, &version) == nil:
		return c.Do(controlplane.ConfigurationInForce{Body: version.Body}, now)
	}
	return nil
}

// serverCommand makes the control plane's command for a server's entry in the endpoint list.
func serverCommand(server endpoints.Server) controlplane.Command {
	if server.Removed {
		return controlplane.EndpointRemoved{Name: server.Name}
	}
	return controlplane.EndpointUpdated{Server: autoscale.Server{
		Name: server.Name, Labels: server.Labels, Zone: server.Labels[endpoints.LabelZone], Slots: server.Slots, Serving: !server.Draining,
	}}
}

// reportHealth tells the control plane whether a store is suspected or an edge is live, if the update is
// about the status of one.
func (c *Core) reportHealth(update machine.Update, now clock.Micros) []machine.Effect {
	if !strings.HasPrefix(update.Key, membership.KeyPrefix) {
		return nil
	}
	member, ok := membership.Decode(update.Value)
	switch {
	case !ok:
		return nil
	case member.Kind == membership.Store:
		return c.Do(controlplane.StoreHealth{ID: member.ID, Unhealthy: member.Status != membership.Alive}, now)
	case member.Kind == membership.Edge && c.ReportsUsage():
		isLive := member.Status < membership.Dead
		return c.Do(controlplane.EdgeHealth{ID: member.ID, Incarnation: member.Incarnation, IsLive: isLive}, now)
	}
	return nil
}

// Call handles a request: the daemon's own request to drain, the result of an act, or a request for
// the control plane.
func (c *Core) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	switch request := body.(type) {
	case controlplane.Drain:
		if c.acts.performer != nil {
			c.acts.performer.Drain()
		}
		return append(c.Do(request, now), machine.Reply{Call: number})
	case exclusive.Performed:
		return c.handlePerformed(number, request, now)
	}
	return c.Do(controlplane.Call{Number: number, Body: body}, now)
}

// Tick runs the work that is due.
func (c *Core) Tick(now clock.Micros) []machine.Effect {
	return append(c.Do(controlplane.Tick{}, now), c.tickPerformer(now)...)
}

// ReplyReceived handles the primary's response to a request for permits.
func (c *Core) ReplyReceived(token uint64, body any, err error, now clock.Micros) []machine.Effect {
	c.acts.calls.ReplyReceived(token, body, err, now)
	return c.acts.calls.Drain()
}

// FreshnessAdvanced handles an advance of the time up to which this daemon's updates are complete.
func (c *Core) FreshnessAdvanced(at, now clock.Micros) []machine.Effect {
	return c.Do(controlplane.FreshnessAdvanced{At: at}, now)
}
