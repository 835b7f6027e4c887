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

// limitInterval is the interval at which the connection limits are recomputed.
const limitInterval = time.Second

// ConnectionLimiter limits the connections to each model server to this daemon's share of
// the server's limit, and closes connections to removed servers (DESIGN §12.3). Its
// exported fields must be set before Start.
type ConnectionLimiter struct {
	Daemon     *host.Daemon
	Scheduling *machines.Scheduling
	Client     *upstream.Client

	removedServers map[string]bool // by name; those whose connections have been closed
}

// Start starts the goroutine that adjusts the limits. The clean-up function that it pushes stops
// the goroutine.
func (c *ConnectionLimiter) Start(_ *services.Registry, cleanups *cleanup.Stack) error {
	c.removedServers = map[string]bool{}
	cleanup.Every(cleanups, limitInterval, c.adjustLimits)
	return nil
}

// adjustLimits sets the connection limit of each server, and closes the connections to removed
// servers.
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

// removeServer has the client close its connections to a removed server, the first time it is
// called for that server.
func (c *ConnectionLimiter) removeServer(server endpoints.Server) {
	if !c.removedServers[server.Name] {
		c.removedServers[server.Name] = true
		c.Client.RemoveServer(server.Address)
	}
}

// connectionSnapshot holds the inputs of the limits, read at one point in time.
type connectionSnapshot struct {
	servers []endpoints.Server
	limits  map[string]int64 // maximum connections by server name; 0 if none is configured
	kind    string           // of this daemon; "" until it is in its own member list
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
