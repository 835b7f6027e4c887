// Package planes fits the machines of the planes into the shell (DESIGN §2).
package planes

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/acquaintance/people"
	"tuliprudder/core/chart"
	"tuliprudder/core/summit"
	"tuliprudder/kernel/stride"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/keeper"
)

// cairns gathers the cores' addresses from the directory and the core's news.
type cairns struct {
	seeds []string
	folk  map[string]people.Person
	core  chart.CoreNews
}

// hear tells whether the addresses changed.
func (c *cairns) hear(rumour stride.Rumour) bool {
	if rumour.Key == chart.CoreKey {
		return json.Unmarshal(rumour.Value, &c.core) == nil
	}
	if !strings.HasPrefix(rumour.Key, "daemon/") {
		return false
	}
	person, ok := people.Decode(rumour.Value)
	if !ok || person.Kind != people.Cairn {
		return false
	}
	if person.Standing >= people.Dead {
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
	return out
}

// Ledger is the keeper as the shell's machine.
type Ledger struct {
	*keeper.Keeper
	cairns cairns
}

// NewLedger fits a keeper in.
func NewLedger(k *keeper.Keeper) *Ledger {
	return &Ledger{Keeper: k, cairns: cairns{folk: map[string]people.Person{}}}
}

// Letter, Stored, Heard, Call and ClockEvent turn the shell's words into commands.
func (l *Ledger) Letter(from string, body any, now sundial.Micros) []stride.Effect {
	return l.Do(keeper.Letter{From: from, Body: body}, now)
}

// Stored is the disk's word.
func (l *Ledger) Stored(token uint64, now sundial.Micros) []stride.Effect {
	return l.Do(keeper.Stored{Token: token}, now)
}

// Heard is news.
func (l *Ledger) Heard(rumour stride.Rumour, now sundial.Micros) []stride.Effect {
	var out []stride.Effect
	if l.cairns.hear(rumour) {
		out = l.Do(keeper.Cairns{Peers: l.cairns.peers()}, now)
	}
	return append(out, l.Do(keeper.News{Rumour: rumour}, now)...)
}

// Call is an ask.
func (l *Ledger) Call(number uint64, body any, now sundial.Micros) []stride.Effect {
	return l.Do(keeper.Call{Number: number, Body: body}, now)
}

// ClockEvent lets the keeper do what is due.
func (l *Ledger) ClockEvent(now sundial.Micros) []stride.Effect {
	return l.Do(keeper.ClockEvent{}, now)
}

// Core is the summit as the shell's machine.
type Core struct {
	*summit.Summit
	cairns cairns
}

// NewCore fits a summit in.
func NewCore(s *summit.Summit) *Core {
	return &Core{Summit: s, cairns: cairns{folk: map[string]people.Person{}}}
}

// Letter is a message.
func (c *Core) Letter(from string, body any, now sundial.Micros) []stride.Effect {
	return c.Do(summit.Letter{From: from, Body: body}, now)
}

// Stored is the disk's word.
func (c *Core) Stored(token uint64, now sundial.Micros) []stride.Effect {
	return c.Do(summit.Stored{Token: token}, now)
}

// Heard is news: other cores, and what is thought of the stores.
func (c *Core) Heard(rumour stride.Rumour, now sundial.Micros) []stride.Effect {
	var out []stride.Effect
	if strings.HasPrefix(rumour.Key, "daemon/") {
		if person, ok := people.Decode(rumour.Value); ok && person.Kind == people.Refuge {
			out = append(out, c.Do(summit.Suspicion{ID: person.ID, Ill: person.Standing != people.Sound}, now)...)
		}
	}
	if c.cairns.hear(rumour) {
		out = append(out, c.Do(summit.Cairns{Peers: c.cairns.peers()}, now)...)
	}
	return out
}

// Call is an ask.
func (c *Core) Call(number uint64, body any, now sundial.Micros) []stride.Effect {
	return c.Do(summit.Call{Number: number, Body: body}, now)
}

// ClockEvent lets the core do what is due.
func (c *Core) ClockEvent(now sundial.Micros) []stride.Effect {
	return c.Do(summit.ClockEvent{}, now)
}
