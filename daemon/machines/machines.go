// Package machines fits the machines of the planes into the shell (DESIGN §2).
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
)

// cairns gathers the cores' addresses from the directory and the core's news.
type cairns struct {
	seeds []string
	folk  map[string]identity.Person
	core  state.CoreNews
}

// hear tells whether the addresses changed.
func (c *cairns) hear(rumour machine.Rumour) bool {
	if rumour.Key == state.CoreKey {
		return json.Unmarshal(rumour.Value, &c.core) == nil
	}
	if !strings.HasPrefix(rumour.Key, "daemon/") {
		return false
	}
	person, ok := identity.Decode(rumour.Value)
	if !ok || person.Kind != identity.Core {
		return false
	}
	if person.Standing >= identity.Dead {
		delete(c.folk, person.ID)
	} else {
		c.folk[person.ID] = person
	}
	return true
}

func (c *cairns) peers() []string {
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
	ids := make([]string, 0, len(c.folk))
	for id := range c.folk {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		add(c.folk[id].Peer)
	}
	if len(out) == 0 {
		for _, peer := range c.seeds {
			add(peer)
		}
	}
	return out
}

// Core is the summit as the shell's machine.
type Core struct {
	*control.Core
	cairns cairns
}

// NewCore fits a summit in.
func NewCore(s *control.Core) *Core {
	return &Core{Core: s, cairns: cairns{folk: map[string]identity.Person{}}}
}

// Letter is a message.
func (c *Core) Letter(from string, body any, now clock.Micros) []machine.Effect {
	return c.Do(control.Letter{From: from, Body: body}, now)
}

// Stored is the disk's word.
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

// Heard is news: other cores, and what is thought of the stores.
func (c *Core) Heard(rumour machine.Rumour, now clock.Micros) []machine.Effect {
	var out []machine.Effect
	if strings.HasPrefix(rumour.Key, "daemon/") {
		if person, ok := identity.Decode(rumour.Value); ok && person.Kind == identity.Store {
			out = append(out, c.Do(control.Suspicion{ID: person.ID, Ill: person.Standing != identity.Sound}, now)...)
		}
	}
	if strings.HasPrefix(rumour.Key, "server/") {
		out = append(out, c.Do(control.Listed{Rumour: rumour}, now)...)
	}
	if c.cairns.hear(rumour) {
		out = append(out, c.Do(control.Cores{Peers: c.cairns.peers()}, now)...)
	}
	return out
}

// Call is an ask.
func (c *Core) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	if leave, ok := body.(control.Leave); ok {
		return append(c.Do(leave, now), machine.Answer{Call: number})
	}
	return c.Do(control.Call{Number: number, Body: body}, now)
}

// ClockEvent lets the core do what is due.
func (c *Core) ClockEvent(now clock.Micros) []machine.Effect {
	return c.Do(control.ClockEvent{}, now)
}

// Told is not for a core: it asks nobody.
func (c *Core) Told(uint64, any, error, clock.Micros) []machine.Effect { return nil }

// Fresh tells up to when this daemon's news are within reach.
func (c *Core) Fresh(at, now clock.Micros) []machine.Effect {
	return c.Do(control.Fresh{At: at}, now)
}
