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
	core    state.CoreNews
}

// receive records an update and tells whether the addresses changed.
func (c *coreDirectory) receive(update machine.Update) bool {
	if update.Key == state.CoreKey {
		return json.Unmarshal(update.Value, &c.core) == nil
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

func (c *coreDirectory) peers() []string {
	seen := map[string]bool{}
	var out []string
	add := func(peer string) {
		if peer != "" && !seen[peer] {
			seen[peer] = true
			out = append(out, peer)
		}
	}
	for _, peer := range c.core.Cores {
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
	return c.Do(control.Letter{From: from, Body: body}, now)
}

// Stored handles the completion of a write.
func (c *Core) Stored(token uint64, now clock.Micros) []machine.Effect {
	return c.Do(control.Stored{Token: token}, now)
}

// Disk is the shell's word on the disk.
func (c *Core) Disk(state machine.DiskState, now clock.Micros) []machine.Effect {
	return c.Do(control.DiskChanged{State: state}, now)
}

// FoldAgain asks for a view of now.
func (c *Core) FoldAgain(now clock.Micros) []machine.Effect {
	return c.Do(control.FoldAgain{}, now)
}

// Heard handles an update: addresses of other cores, status of stores.
func (c *Core) Heard(update machine.Update, now clock.Micros) []machine.Effect {
	var out []machine.Effect
	if strings.HasPrefix(update.Key, identity.KeyPrefix) {
		if member, ok := identity.Decode(update.Value); ok && member.Kind == identity.Store {
			out = append(out, c.Do(control.Suspicion{ID: member.ID, Ill: member.Status != identity.Alive}, now)...)
		}
	}
	if strings.HasPrefix(update.Key, registry.ServerPrefix) {
		out = append(out, c.Do(control.Listed{Rumour: update}, now)...)
	}
	if c.cores.receive(update) {
		out = append(out, c.Do(control.Cores{Peers: c.cores.peers()}, now)...)
	}
	return out
}

// Call handles a request.
func (c *Core) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	if leave, ok := body.(control.Leave); ok {
		return append(c.Do(leave, now), machine.Answer{Call: number})
	}
	return c.Do(control.Call{Number: number, Body: body}, now)
}

// ClockEvent runs the duties that are due.
func (c *Core) ClockEvent(now clock.Micros) []machine.Effect {
	return c.Do(control.ClockEvent{}, now)
}

// Answered does nothing: a core requests nothing of others by this way.
func (c *Core) Answered(uint64, any, error, clock.Micros) []machine.Effect { return nil }

// Fresh tells up to when this daemon's updates are complete.
func (c *Core) Fresh(at, now clock.Micros) []machine.Effect {
	return c.Do(control.Fresh{At: at}, now)
}
