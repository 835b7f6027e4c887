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
	out := c.reportStoreHealth(update, now)
	if durableupdates.IsKept(update.Key) {
		out = append(out, c.Do(controlplane.DurableUpdate{Update: update}, now)...)
	}
	if c.cores.receive(update) {
		out = append(out, c.Do(controlplane.CorePeers{Peers: c.cores.addresses()}, now)...)
	}
	return out
}

// reportStoreHealth tells the control plane whether a store is suspected, where the update
// is one of a store's status.
func (c *Core) reportStoreHealth(update machine.Update, now clock.Micros) []machine.Effect {
	if !strings.HasPrefix(update.Key, membership.KeyPrefix) {
		return nil
	}
	member, ok := membership.Decode(update.Value)
	if !ok || member.Kind != membership.Store {
		return nil
	}
	return c.Do(controlplane.Suspicion{ID: member.ID, Unhealthy: member.Status != membership.Alive}, now)
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
