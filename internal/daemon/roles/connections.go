package roles

import (
	"time"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/connections"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/upstream"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/services"
)

// limitInterval is the time between two adjustments of the limits.
const limitInterval = time.Second

// ConnectionLimiter limits the connections to each model server to this daemon's share of
// the server's limit, and closes those to servers that are removed (DESIGN §12.3). Its
// exported fields are set before Start.
type ConnectionLimiter struct {
	Daemon     *host.Daemon
	Scheduling *machines.Scheduling
	Client     *upstream.Client

	removedServers map[string]bool // removed servers that the client was told of, by name
}

// Start starts the goroutine that adjusts the limits; the clean-up that it pushes ends it.
func (c *ConnectionLimiter) Start(_ *services.Registry, cleanups *cleanup.Stack) error {
	c.removedServers = map[string]bool{}
	cleanup.Every(cleanups, limitInterval, c.adjustLimits)
	return nil
}

// adjustLimits sets the limit of each server, and forgets removed ones.
func (c *ConnectionLimiter) adjustLimits() {
	c.Client.CloseExpired()
	snapshot := c.snapshot()
	for _, server := range snapshot.servers {
		if server.Removed {
			c.removeServer(server)
			continue
		}
		if limit := snapshot.limits[server.Name]; limit > 0 {
			c.Client.SetMaxConnections(server.Address, snapshot.shares.LimitFor(snapshot.kind, limit, server.Slots))
		}
	}
}

// removeServer closes the connections to a removed server, once.
func (c *ConnectionLimiter) removeServer(server endpoints.Server) {
	if !c.removedServers[server.Name] {
		c.removedServers[server.Name] = true
		c.Client.RemoveServer(server.Address)
	}
}

// connectionSnapshot is what the limits depend on, at one moment.
type connectionSnapshot struct {
	servers []endpoints.Server
	limits  map[string]int64 // of connections to a server, by its name; 0: none
	kind    string           // of this daemon; "" while it does not know itself
	shares  connections.DaemonCounts
}

func (c *ConnectionLimiter) snapshot() connectionSnapshot {
	snapshot := connectionSnapshot{limits: map[string]int64{}}
	var members []membership.Member
	c.Daemon.Loop.WithMachine(func(clock.Micros) {
		snapshot.servers, members = c.Scheduling.Scheduler.Servers(), c.Scheduling.Members()
		configuration := c.Scheduling.Scheduler.Configuration()
		if configuration == nil {
			return
		}
		for _, server := range snapshot.servers {
			snapshot.limits[server.Name] = configuration.MaxConnections(server.Labels)
		}
	})
	for _, member := range members {
		snapshot.shares.Add(member.Kind)
		if member.ID == c.Daemon.Identity.ID {
			snapshot.kind = member.Kind
		}
	}
	return snapshot
}
