// Package discovery polls the platform's endpoint list (service discovery; DESIGN §12.4). It
// is a singleton role of the cores: one of them reads the list and publishes what changed;
// the next one by id takes over when it has published nothing for a while. Two may read at
// once during a take-over, which is harmless: a server's state only moves forward.
package discovery

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/services"
)

// Settings are the poller's intervals.
type Settings struct {
	Interval        clock.Micros // between two readings
	TakeoverTimeout clock.Micros // without a reading, after which the next one by id reads
	TakeoverStagger clock.Micros // how much longer each one after it waits
	ReadTimeout     clock.Micros // for one reading
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{
		Interval:        clock.Second,
		TakeoverTimeout: 1600 * clock.Millisecond,
		TakeoverStagger: 300 * clock.Millisecond,
		ReadTimeout:     900 * clock.Millisecond,
	}
}

// checkInterval is how often a poller checks whether a reading is due.
const checkInterval = 50 * time.Millisecond

// LastRead is the update that says when the list was read last, and by which core. Its JSON
// is gossiped; the keys never change.
type LastRead struct {
	By string       `json:"by"`
	At clock.Micros `json:"at"`
}

// Poller reads the list while this daemon has the role. Its exported fields are set before
// Start.
type Poller struct {
	Settings Settings
	Loop     *eventloop.Loop
	// Read reads the complete list.
	Read func(ctx context.Context) ([]endpoints.Server, error)

	// The fields below belong to the goroutine that Start starts.
	lastReadSeq        uint64       // sequence of the latest LastRead that was received
	lastReadReceivedAt clock.Micros // when it was received
	nextReadAt         clock.Micros
	missedReads        map[string]int // readings in a row without a server, by name
}

// Start starts the goroutine that polls; the clean-up that it pushes ends it.
func (p *Poller) Start(_ *services.Registry, cleanups *cleanup.Stack) error {
	p.missedReads = map[string]int{}
	p.lastReadReceivedAt = p.Loop.Now()
	cleanup.Every(cleanups, checkInterval, p.poll)
	return nil
}

// poll reads the list if this daemon has the role and a reading is due.
func (p *Poller) poll() {
	now := p.Loop.Now()
	lastReader := p.receiveLastRead(now)
	if now < p.nextReadAt {
		return
	}
	if !IsDue(p.Loop.Identity.ID, lastReader, p.Loop.Members(), now-p.lastReadReceivedAt, p.Settings) {
		return
	}
	p.nextReadAt = now + p.Settings.Interval
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(p.Settings.ReadTimeout))
	defer cancel()
	current, err := p.Read(ctx)
	if err != nil {
		logging.Write(p.Loop.Log, EndpointListUnreadable{Reason: err.Error(), Remedy: "none at once: the known endpoints stay in use; check the platform's list"})
		return
	}
	p.publish(current)
}

// receiveLastRead notes the latest reading that this daemon knows of, and tells whose it was;
// "" before the first.
func (p *Poller) receiveLastRead(now clock.Micros) (reader string) {
	update, known := p.Loop.Update(LastReadKey)
	if !known {
		return ""
	}
	if update.Seq > p.lastReadSeq {
		p.lastReadSeq, p.lastReadReceivedAt = update.Seq, now
	}
	var lastRead LastRead
	if json.Unmarshal(update.Value, &lastRead) != nil {
		return "" // of a later release; the role passes on after the time-out
	}
	return lastRead.By
}

// publish publishes what changed on the list, and that it was read.
func (p *Poller) publish(current []endpoints.Server) {
	known := endpoints.DecodeServers(p.Loop.UpdatesWithPrefix(endpoints.ServerPrefix))
	for _, server := range Diff(known, current, p.missedReads) {
		p.Loop.Publish(ServerUpdate(server, p.Loop.Now()))
	}
	now := p.Loop.Now()
	value, _ := json.Marshal(LastRead{By: p.Loop.Identity.ID, At: now})
	p.lastReadSeq = max(p.lastReadSeq+1, uint64(now))
	p.lastReadReceivedAt = now
	p.Loop.Publish(machine.Update{Key: LastReadKey, Seq: p.lastReadSeq, Value: value})
}

// IsDue tells whether a daemon is to read the list: the last reader goes on; when nothing
// has been received of it for the take-over time-out, the first of the other live cores by
// id takes over, each one after it a little later.
func IsDue(self, lastReader string, members []membership.Member, sinceLastRead clock.Micros, settings Settings) bool {
	if lastReader == self {
		return true
	}
	var candidates []string
	for _, member := range members {
		if member.Kind == membership.Core && member.Status <= membership.Suspect && member.ID != lastReader {
			candidates = append(candidates, member.ID)
		}
	}
	slices.Sort(candidates)
	position := max(0, slices.Index(candidates, self))
	return sinceLastRead >= settings.TakeoverTimeout+clock.Micros(position)*settings.TakeoverStagger
}

// A server's state moves in one direction: a name stands for one incarnation of a server.
// The numbers are the epochs of the updates; they never change.
const (
	stateActive uint64 = iota
	stateDraining
	stateRemoved
)

// ServerUpdate is the update of a server's state as the platform lists it. A draining or
// removed server never comes back, also where another core reads an older list later: the
// state counts before the time. Lists that operators put themselves are updated by sequence
// instead, so that they can take a state back (endpoints.ServerUpdate).
func ServerUpdate(server endpoints.Server, now clock.Micros) machine.Update {
	value, _ := json.Marshal(server)
	state := stateActive
	switch {
	case server.Removed:
		state = stateRemoved
	case server.Draining:
		state = stateDraining
	}
	return machine.Update{Key: endpoints.ServerKey(server.Name), Epoch: state, Seq: uint64(now), Value: value}
}

// removeAfterMisses is how many readings in a row have to lack a server before it counts as
// removed: a list that is read in pages may lack one by chance.
const removeAfterMisses = 2

// Diff gives the servers whose states have to be published, by name: those that are new,
// drain since this reading or have another address, and those that are removed. missedReads
// counts the readings without each known server from call to call.
func Diff(known, current []endpoints.Server, missedReads map[string]int) []endpoints.Server {
	previous := map[string]endpoints.Server{}
	for _, server := range known {
		previous[server.Name] = server
	}
	var out []endpoints.Server
	present := map[string]bool{}
	for _, server := range current {
		present[server.Name] = true
		delete(missedReads, server.Name)
		old, ok := previous[server.Name]
		if !ok || hasChanged(old, server) {
			out = append(out, server)
		}
	}
	for _, server := range known {
		if present[server.Name] || server.Removed {
			continue
		}
		if missedReads[server.Name]++; missedReads[server.Name] >= removeAfterMisses {
			delete(missedReads, server.Name)
			server.Removed = true
			out = append(out, server)
		}
	}
	slices.SortFunc(out, func(a, b endpoints.Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// hasChanged tells whether a listed server's state has to be published again. A removed one
// stays removed, and a draining one draining.
func hasChanged(old, current endpoints.Server) bool {
	if old.Removed {
		return false
	}
	startsDraining := current.Draining && !old.Draining
	return startsDraining || old.Address != current.Address
}
