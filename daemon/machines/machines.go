// Package machines adapts the state machines of the packages core, ledger and path
// to the event loop's Machine interface, one for each kind of daemon (DESIGN §2).
package machines

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/core/control"
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

// coreDirectory holds the cores' addresses, from the directory and the cores' updates.
type coreDirectory struct {
	seeds   []string
	members map[string]identity.Member
	latest  state.CoreUpdate
}

// receive records an update and tells whether the addresses changed.
func (c *coreDirectory) receive(update machine.Update) bool {
	if update.Key == state.CoreKey {
		return json.Unmarshal(update.Value, &c.latest) == nil
	}
	if !strings.HasPrefix(update.Key, identity.KeyPrefix) {
		return false
	}
	member, ok := identity.Decode(update.Value)
	if !ok || member.Kind != identity.Core {
		return false
	}
	if member.Status >= identity.Dead {
		delete(c.members, member.ID)
	} else {
		c.members[member.ID] = member
	}
	return true
}

func (c *coreDirectory) addresses() []string {
	seen := map[string]bool{}
	var out []string
	add := func(peer string) {
		if peer != "" && !seen[peer] {
			seen[peer] = true
			out = append(out, peer)
		}
	}
	for _, peer := range c.latest.VoterPeers {
		add(peer)
	}
	ids := make([]string, 0, len(c.members))
	for id := range c.members {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		add(c.members[id].Peer)
	}
	if len(out) == 0 {
		for _, peer := range c.seeds {
			add(peer)
		}
	}
	return out
}

// Core is the control machine of a core daemon.
type Core struct {
	*control.Core
	cores coreDirectory
}

// NewCore makes the machine of a core daemon.
func NewCore(s *control.Core) *Core {
	return &Core{Core: s, cores: coreDirectory{members: map[string]identity.Member{}}}
}

// Message handles a message that was received.
func (c *Core) Message(from string, body any, now clock.Micros) []machine.Effect {
	return c.Do(control.Message{From: from, Body: body}, now)
}

// Persisted handles the completion of a write.
func (c *Core) Persisted(token uint64, now clock.Micros) []machine.Effect {
	return c.Do(control.Persisted{Token: token}, now)
}

// DiskStateChanged is the shell's word on the disk.
func (c *Core) DiskStateChanged(diskState machine.DiskState, now clock.Micros) []machine.Effect {
	return c.Do(control.DiskStateChanged{State: diskState}, now)
}

// CompactAgain asks for a view of now.
func (c *Core) CompactAgain(now clock.Micros) []machine.Effect {
	return c.Do(control.CompactAgain{}, now)
}

// UpdateReceived handles an update: addresses of other cores, status of stores.
func (c *Core) UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect {
	var out []machine.Effect
	if strings.HasPrefix(update.Key, identity.KeyPrefix) {
		if member, ok := identity.Decode(update.Value); ok && member.Kind == identity.Store {
			out = append(out, c.Do(control.Suspicion{ID: member.ID, Unhealthy: member.Status != identity.Alive}, now)...)
		}
	}
	if strings.HasPrefix(update.Key, registry.ServerPrefix) {
		out = append(out, c.Do(control.EndpointUpdate{Update: update}, now)...)
	}
	if c.cores.receive(update) {
		out = append(out, c.Do(control.CorePeers{Peers: c.cores.addresses()}, now)...)
	}
	return out
}

// Call handles a request.
func (c *Core) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	if leave, ok := body.(control.Drain); ok {
		return append(c.Do(leave, now), machine.Reply{Call: number})
	}
	return c.Do(control.Call{Number: number, Body: body}, now)
}

// Tick runs the duties that are due.
func (c *Core) Tick(now clock.Micros) []machine.Effect {
	return c.Do(control.Tick{}, now)
}

// ReplyReceived does nothing: a core requests nothing of others by this way.
func (c *Core) ReplyReceived(uint64, any, error, clock.Micros) []machine.Effect { return nil }

// FreshnessAdvanced tells up to when this daemon's updates are complete.
func (c *Core) FreshnessAdvanced(at, now clock.Micros) []machine.Effect {
	return c.Do(control.FreshnessAdvanced{At: at}, now)
}
