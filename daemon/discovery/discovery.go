// Package discovery is the duty of reading the list of servers of servers (service
// discovery; DESIGN §12.4): one core reads it and tells all; the next in order
// reads when no stamp has come for a while.
package discovery

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"tuliprudder/daemon/eventloop"
	"tuliprudder/kernel/cleanup"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/services"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

// Settings are the duty's intervals.
type Settings struct {
	Every clock.Micros // between two readings
	Late  clock.Micros // silence after which the next in order reads
	Step  clock.Micros // how much longer each one after it waits
	Wait  clock.Micros // for one reading
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{Every: clock.Second, Late: 1600 * clock.Millisecond, Step: 300 * clock.Millisecond, Wait: 900 * clock.Millisecond}
}

// Stamp says when the list was read last, and by whom.
type Stamp struct {
	By string       `json:"by"`
	At clock.Micros `json:"at"`
}

// Poller reads the list when it is this daemon's turn.
type Poller struct {
	Set  Settings
	Loop *eventloop.Loop
	// Read reads the whole list.
	Read func(ctx context.Context) ([]registry.Server, error)
	// Failed counts the readings that came to nothing.
	Failed int64

	heard  uint64       // sequence of the latest stamp heard
	since  clock.Micros // when it was heard
	next   clock.Micros
	missed map[string]int
}

// Start starts the duty's thread.
func (p *Poller) Start(_ *services.Registry, ends *cleanup.Stack) error {
	p.missed = map[string]int{}
	p.since = p.Loop.Now()
	cleanup.Every(ends, 50*time.Millisecond, p.poll)
	return nil
}

// poll reads the list if it is due here.
func (p *Poller) poll() {
	now := p.Loop.Now()
	update, known := p.Loop.Update(StampKey)
	if known && update.Seq > p.heard {
		p.heard, p.since = update.Seq, now
	}
	if now < p.next {
		return
	}
	var stamp Stamp
	json.Unmarshal(update.Value, &stamp)
	if !Due(p.Loop.Who.ID, stamp.By, p.Loop.Members(), now-p.since, p.Set) {
		return
	}
	p.next = now + p.Set.Every
	ctx, cancel := context.WithTimeout(context.Background(), clock.Span(p.Set.Wait))
	defer cancel()
	listed, err := p.Read(ctx)
	if err != nil {
		p.Failed++
		p.Loop.Log.Warn().Err(err).Msg("the platform's list can't be read; what is known serves on")
		return
	}
	var servers []registry.Server
	for _, one := range p.Loop.UpdatesUnder(registry.ServerPrefix) {
		var server registry.Server
		if json.Unmarshal(one.Value, &server) == nil {
			servers = append(servers, server)
		}
	}
	for _, server := range Compare(servers, listed, p.missed) {
		p.Loop.Publish(ServerUpdate(server, p.Loop.Now()))
	}
	value, _ := json.Marshal(Stamp{By: p.Loop.Who.ID, At: p.Loop.Now()})
	p.heard, p.since = max(p.heard+1, uint64(p.Loop.Now())), p.Loop.Now()
	p.Loop.Publish(machine.Update{Key: StampKey, Seq: p.heard, Value: value})
}

// Due tells whether a daemon is to read the list: who read it last goes on; when
// nothing has been heard for a while, the first in the agreed order takes over, the
// ones after it a little later each.
func Due(self, last string, members []identity.Member, silent clock.Micros, set Settings) bool {
	if last == self {
		return true
	}
	place := 0
	var ids []string
	for _, member := range members {
		if member.Kind == identity.Core && member.Status <= identity.Suspect && member.ID != last {
			ids = append(ids, member.ID)
		}
	}
	sort.Strings(ids)
	for i, id := range ids {
		if id == self {
			place = i
		}
	}
	return silent >= set.Late+clock.Micros(place)*set.Step
}

// A server's states have one direction: a name stands for one life of a server.
const (
	wordUp = iota
	wordLeaving
	wordGone
)

// ServerUpdate is the update of a server's state: one that leaves never comes back,
// also where another daemon reads an older list later.
func ServerUpdate(server registry.Server, now clock.Micros) machine.Update {
	value, _ := json.Marshal(server)
	state := uint64(wordUp)
	switch {
	case server.Gone:
		state = wordGone
	case server.Leaving:
		state = wordLeaving
	}
	return machine.Update{Key: registry.ServerKey(server.Name), Epoch: state, Seq: uint64(now), Value: value}
}

// goneAfter is how many readings in a row have to lack a server before it counts
// as gone: a list that is read in pages may lack one by chance.
const goneAfter = 2

// Compare works out what has to be told: what is new, what leaves, what is gone.
func Compare(known, listed []registry.Server, missed map[string]int) []registry.Server {
	var out []registry.Server
	was := map[string]registry.Server{}
	for _, server := range known {
		was[server.Name] = server
	}
	now := map[string]bool{}
	for _, server := range listed {
		now[server.Name] = true
		delete(missed, server.Name)
		old, ok := was[server.Name]
		if !ok || (!old.Leaving && !old.Gone && server.Leaving) || (old.Address != server.Address && !old.Gone) {
			out = append(out, server)
		}
	}
	for _, server := range known {
		if now[server.Name] || server.Gone {
			continue
		}
		if missed[server.Name]++; missed[server.Name] >= goneAfter {
			delete(missed, server.Name)
			server.Gone = true
			out = append(out, server)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
