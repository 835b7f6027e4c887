package program

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/roles"
	"tuliprudder/internal/dataplane/gateway"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/settings"
)

// edgeDrainTimeout is how long a stopping edge waits for open requests to finish.
const edgeDrainTimeout = 6 * clock.Second

// Edge is the program of an edge daemon, which carries callers' traffic (DESIGN §7).
type Edge struct {
	settings  machines.EdgeSettings
	maxQueued int64
}

// NewEdge returns an edge with the default settings.
func NewEdge() *Edge { return &Edge{settings: machines.EdgeDefaults()} }

// Name returns the name of the program.
func (*Edge) Name() string { return "edge" }

// Kind returns the kind of an edge.
func (*Edge) Kind() string { return membership.Edge }

// NeedsDisk returns false: an edge stores no data.
func (*Edge) NeedsDisk() bool { return false }

// AddSettings adds the settings of an edge to reader.
func (e *Edge) AddSettings(reader *settings.Reader, common *settings.Common) {
	s := &e.settings
	e.maxQueued = int64(s.Scheduler.MaxQueued)
	reader.Int(&e.maxQueued, "most-waiting", e.maxQueued, 1, 1_000_000, "live requests that may wait here; more are rejected")
	reader.Int(&s.Scheduler.MaxStaleness, "staleness-us", s.Scheduler.MaxStaleness, 500_000, 10_000_000, "age of the cluster's state, in microseconds, past which requests are rejected")
	reader.Int(&s.PollInterval, "poll-every-us", s.PollInterval, 50_000, 10_000_000, "microseconds between two polls of a model server's load")
	reader.Deprecated("scout-every-us", "poll-every-us")
	addDisable(reader, &s.Scheduler.Disabled)
	reader.AddCheck(func() {
		if common.DataDir != "" {
			reader.Faultf("-data %q: an edge stores nothing on disk; omit this setting", common.DataDir)
		}
	})
}

// Assemble adds the parts of an edge to the daemon.
func (e *Edge) Assemble(daemon *host.Daemon) error {
	e.settings.Scheduler.MaxQueued = int(e.maxQueued)
	edge := roles.NewEdge(daemon, e.settings)
	api := &gateway.Handler{
		Settings:    gateway.Defaults(),
		CallMachine: daemon.Loop.CallLocalContext,
		Notify:      daemon.Loop.Notify,
		Now:         daemon.Loop.Now,
	}
	api.RegisterRoutes(daemon.HTTP)
	daemon.Admin.Ready = func() string { return notReadyReason(daemon, edge) }
	daemon.OnDrain(func() {
		daemon.Loop.Notify(machines.Drain{})
		host.WaitUntil(edgeDrainTimeout, func() bool { return daemon.HTTP.OpenRequests() == 0 })
	})
	return nil
}

// notReadyReason returns why an edge can't serve callers, or "" if it can.
func notReadyReason(daemon *host.Daemon, edge *roles.Edge) (reason string) {
	daemon.Loop.WithMachine(func(now clock.Micros) {
		switch {
		case edge.Scheduler.Configuration() == nil:
			reason = "no configuration has arrived yet"
		case !edge.Reader.IsReady():
			reason = "not every shard has a store yet"
		case !edge.Scheduler.IsFresh(now):
			reason = "the cluster's state is out of date"
		}
	})
	return reason
}
