// Package discovery polls the platform's endpoint list (service discovery; DESIGN §12.4). It
// is a singleton role of the cores: one core reads the list and publishes the changes. If it
// publishes nothing for the take-over time-out, the next core by id takes over. Two cores may
// read at once during a take-over, which is harmless: a server's state only moves forward.
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

// Settings are the poller's intervals and time-outs.
type Settings struct {
	Interval        clock.Micros // between two reads
	TakeoverTimeout clock.Micros // time without a read after which the next core by id takes over
	TakeoverStagger clock.Micros // additional wait of each further core
	ReadTimeout     clock.Micros // of one read
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Interval:        clock.Second,
		TakeoverTimeout: 1600 * clock.Millisecond,
		TakeoverStagger: 300 * clock.Millisecond,
		ReadTimeout:     900 * clock.Millisecond,
	}
}

// checkInterval is how often a poller checks whether a read is due.
const checkInterval = 50 * time.Millisecond

// LastRead is the value of the update that says when the list was last read, and by which
// core. Its JSON is gossiped between releases; the keys must never change.
type LastRead struct {
	By string       `json:"by"`
	At clock.Micros `json:"at"`
}

// Poller reads the list while this daemon has the role. Its exported fields must be set before
// Start.
type Poller struct {
	Settings Settings
	Loop     *eventloop.Loop
	// Read reads the complete list.
	Read func(ctx context.Context) ([]endpoints.Server, error)

	// The fields below belong to the goroutine that Start starts.
	lastReadSeq        uint64       // sequence number of the latest LastRead update known here
	lastReadReceivedAt clock.Micros // local time at which it was received
	nextReadAt         clock.Micros
	missedReads        map[string]int // consecutive reads that lacked a known server, by its name
}

// Start starts the polling goroutine. The clean-up function that it pushes stops it.
func (p *Poller) Start(_ *services.Registry, cleanups *cleanup.Stack) error {
	p.missedReads = map[string]int{}
	p.lastReadReceivedAt = p.Loop.Now()
	cleanup.Every(cleanups, checkInterval, p.poll)
	return nil
}

// poll reads the list if this daemon has the role and a read is due.
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
		logging.Write(p.Loop.Log, EndpointListUnreadable{Reason: err.Error(), Remedy: "no immediate action: the known endpoints stay in use; check that the platform's endpoint list can be read"})
		return
	}
	p.publish(current)
}

// receiveLastRead records the latest LastRead update known to this daemon, and returns the id of
// the core that published it, or "" if there is none yet.
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
		return "" // written by a later release; another core takes over after the time-out
	}
	return lastRead.By
}

// publish publishes the changes of the list, and a new LastRead update.
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

// IsDue reports whether this daemon has to read the list. The last reader continues to read. If
// nothing has been received from it for the take-over time-out, the first of the other live
// cores by id takes over; each further core waits longer by TakeoverStagger.
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

// The states of a server, in the only order in which it passes through them: a name stands for
// one incarnation of a server. The values are the epochs of the gossiped updates and must never
// change.
const (
	stateActive uint64 = iota
	stateDraining
	stateRemoved
)

// ServerUpdate returns the update that publishes a server's state on the platform's list. A
// draining or removed server never becomes active again, even if another core reads an older
// list later: updates are ordered by state first, then by time. Lists that operators put are
// ordered by sequence number instead, so that operators can revert a state
// (endpoints.ServerUpdate).
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

// removeAfterMisses is the number of consecutive reads that must lack a server before it counts
// as removed: a list that is read in pages may lack one by chance.
const removeAfterMisses = 2

// Diff returns the servers whose states have to be published, sorted by name: those that are
// new, have started to drain, have another address, or are removed. missedReads holds the number
// of consecutive reads that lacked each known server; Diff updates it, and the caller passes it
// to the next call.
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

// hasChanged reports whether the state of a listed server has to be published again. A removed
// server stays removed, and a draining one draining.
func hasChanged(old, current endpoints.Server) bool {
	if old.Removed {
		return false
	}
	startsDraining := current.Draining && !old.Draining
	return startsDraining || old.Address != current.Address
}
