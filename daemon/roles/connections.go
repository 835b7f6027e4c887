package roles

import (
	"time"

	"tuliprudder/daemon/host"
	"tuliprudder/daemon/machines"
	"tuliprudder/kernel/cleanup"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/services"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
	"tuliprudder/path/upstream"
)

// ConnectionLimiter limits the connections to each server to this daemon's share of
// the server's bound, and closes those to servers that are gone (DESIGN §12.3).
type ConnectionLimiter struct {
	Daemon     *host.Daemon
	Scheduling *machines.Scheduling
	Client     *upstream.Client
	gone       map[string]bool
}

// Start starts the thread.
func (t *ConnectionLimiter) Start(_ *services.Registry, ends *cleanup.Stack) error {
	t.gone = map[string]bool{}
	cleanup.Every(ends, time.Second, t.adjust)
	return nil
}

func (t *ConnectionLimiter) adjust() {
	t.Client.Sweep()
	var servers []registry.Server
	var members []identity.Member
	most := map[string]int64{}
	t.Daemon.Loop.WithMachine(func(clock.Micros) {
		servers, members = t.Scheduling.Scheduler.Servers(), t.Scheduling.Members()
		plan := t.Scheduling.Scheduler.Plan()
		for _, server := range servers {
			if plan != nil {
				most[server.Name] = plan.MostOpen(server.Labels)
			}
		}
	})
	edges, stores, kind := 0, 0, ""
	for _, member := range members {
		switch member.Kind {
		case identity.Edge:
			edges++
		case identity.Store:
			stores++
		}
		if member.ID == t.Daemon.Identity.ID {
			kind = member.Kind
		}
	}
	for _, server := range servers {
		if server.Gone {
			if !t.gone[server.Name] {
				t.gone[server.Name] = true
				t.Client.Forget(server.Address)
			}
			continue
		}
		if bound := most[server.Name]; bound > 0 {
			t.Client.SetMost(server.Address, Connections(kind, int(bound), server.Slots, edges, stores))
		}
	}
}

// Connections is a daemon's part of the connections that a server takes: a store may
// have as many as there are places and a few more, within half of all; the edges
// share the rest.
func Connections(kind string, bound, slots, edges, stores int) int {
	const spare = 4
	store := max(1, min(slots+spare, bound/2/max(1, stores), (bound-edges)/max(1, stores)))
	if kind == identity.Store {
		return store
	}
	return max(1, (bound-store*stores)/max(1, edges))
}
