package machines

import (
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/durableupdates"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Core is the machine of a core daemon: the control plane, and the addresses of the cores.
type Core struct {
	*controlplane.Core
	cores coreDirectory
}

// NewCore makes the machine of a core daemon.
func NewCore(core *controlplane.Core) *Core {
	return &Core{Core: core, cores: newCoreDirectory()}
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

// UpdateReceived handles an update: addresses of other cores, status of stores.
func (c *Core) UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect {
	out := c.reportHealth(update, now)
	if durableupdates.IsKept(update.Key) {
		out = append(out, c.Do(controlplane.DurableUpdate{Update: update}, now)...)
	}
	if c.cores.receive(update) {
		out = append(out, c.Do(controlplane.CorePeers{Peers: c.cores.addresses()}, now)...)
	}
	return out
}

// reportHealth tells the control plane whether a store is suspected or an edge lives, where the update is
// one of its status.
func (c *Core) reportHealth(update machine.Update, now clock.Micros) []machine.Effect {
	if !strings.HasPrefix(update.Key, membership.KeyPrefix) {
		return nil
	}
	member, ok := membership.Decode(update.Value)
	switch {
	case !ok:
		return nil
	case member.Kind == membership.Store:
		return c.Do(controlplane.Suspicion{ID: member.ID, Unhealthy: member.Status != membership.Alive}, now)
	case member.Kind == membership.Edge:
		isLive := member.Status < membership.Dead
		return c.Do(controlplane.EdgeHealth{ID: member.ID, Incarnation: member.Incarnation, IsLive: isLive}, now)
	}
	return nil
}

// Call handles a request: the daemon's own to drain, or one for the control plane.
func (c *Core) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	if drain, ok := body.(controlplane.Drain); ok {
		return append(c.Do(drain, now), machine.Reply{Call: number})
	}
	return c.Do(controlplane.Call{Number: number, Body: body}, now)
}

// Tick runs the duties that are due.
func (c *Core) Tick(now clock.Micros) []machine.Effect {
	return c.Do(controlplane.Tick{}, now)
}

// ReplyReceived does nothing: a core sends no machine.Request.
func (c *Core) ReplyReceived(uint64, any, error, clock.Micros) []machine.Effect { return nil }

// FreshnessAdvanced handles up to when this daemon's updates are complete.
func (c *Core) FreshnessAdvanced(at, now clock.Micros) []machine.Effect {
	return c.Do(controlplane.FreshnessAdvanced{At: at}, now)
}
