package program

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/roles"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/settings"
)

// Core is the program of a core daemon (DESIGN §5).
type Core struct {
	settings                      controlplane.Settings
	shards, tolerance, shardZones int64
}

// NewCore returns a core with the default settings.
func NewCore() *Core { return &Core{settings: controlplane.Defaults()} }

// Name returns the name of the program.
func (*Core) Name() string { return "core" }

// Kind returns the kind of a core.
func (*Core) Kind() string { return membership.Core }

// NeedsDisk returns true: a core stores the control state.
func (*Core) NeedsDisk() bool { return true }

// AddSettings adds the settings of a core to reader.
func (c *Core) AddSettings(reader *settings.Reader, _ *settings.Common) {
	s := &c.settings
	c.shards, c.tolerance, c.shardZones = int64(s.Shards), int64(s.Tolerance), int64(s.ShardZones)
	reader.Int(&c.shards, "slots", c.shards, 1, 1024, "shards of batches in a cluster that is being formed")
	reader.Int(&s.StoreTimeout, "store-silent-us", s.StoreTimeout, 500_000, 60_000_000, "microseconds without a heartbeat after which a store counts as failed, if a second daemon confirms it")
	reader.Int(&s.CoreTimeout, "core-silent-us", s.CoreTimeout, 500_000, 60_000_000, "microseconds without a heartbeat after which a core counts as failed")
	reader.Int(&s.ReplaceAfter, "replace-after-us", s.ReplaceAfter, 1_000_000, 3_600_000_000, "microseconds without a heartbeat after which a core's vote passes to another core")
	reader.Int(&c.tolerance, "tolerance", c.tolerance, 0, 4, "machines with a disk that may fail at the same time; all data is kept in one more replica than this")
	reader.Int(&c.shardZones, "shard-zones", c.shardZones, 1, 5, "zones that the replicas of a shard are spread over, if there are enough replicas")
	reader.Flags.BoolVar(&s.Bootstrap, "bootstrap", false, "first start of the whole cluster: the cores at the seeds form it")
}

// Assemble adds the parts of a core to the daemon.
func (c *Core) Assemble(daemon *host.Daemon) error {
	c.settings.Shards = int(c.shards)
	c.settings.Tolerance = int(c.tolerance)
	c.settings.ShardZones = int(c.shardZones)
	c.settings.CheckConfiguration = config.Validate
	_, err := roles.NewCore(daemon, c.settings, nil)
	return err
}

// DrainCore makes a core hand over its leadership and its vote, and waits until other cores
// have both, for at most timeout.
func DrainCore(daemon *host.Daemon, core *controlplane.Core, timeout clock.Micros) {
	daemon.Loop.Notify(controlplane.Drain{})
	host.WaitUntil(timeout, func() (released bool) {
		daemon.Loop.WithMachine(func(now clock.Micros) { released = !core.IsNeeded(now) })
		return released
	})
}
