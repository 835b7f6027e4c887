package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/placement"
	"tuliprudder/internal/controlplane/stores"
	"tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/exclusive"
)

// Settings configure a core. All durations are in microseconds; Defaults returns the defaults.
type Settings struct {
	Shards             int                     // number of shards of a newly bootstrapped fleet; default 24
	Founders           int                     // cores that bootstrap a fleet; default 3; 0: as many as there are seeds
	Bootstrap          bool                    // this is the first start of the complete fleet: it may be bootstrapped; default false
	Tolerance          int                     // machines with a disk that may be lost at the same time; default 1
	ShardZones         int                     // zones that the copies of a shard must span; default 2
	HeartbeatEvery     clock.Micros            // interval of heartbeats to the other cores; default 250 ms
	CoreTimeout        clock.Micros            // without a heartbeat, after which a core counts as lost; default 1.5 s
	ReplaceAfter       clock.Micros            // after which a lost core's vote passes to another core; default 4 s
	ReplaceSoonAfter   clock.Micros            // the same if the other core is empty; default 4 s; 0: same as ReplaceAfter
	StoreTimeout       clock.Micros            // without a heartbeat, after which a store counts as lost; default 2 s
	ListenDelay        clock.Micros            // for which a new primary waits for heartbeats before it decides on stores; default 1.5 s
	BalanceEvery       clock.Micros            // interval of moves that balance the shards; default 500 ms
	BalanceAfter       clock.Micros            // for which a store must send heartbeats before shards move to it; default 4 s
	PartitionCooldown  clock.Micros            // for which two stores that lost contact share no group; default 30 s
	CompactAfter       int                     // changes on disk until a snapshot replaces them; default 500
	MaxStaleness       clock.Micros            // maximum age of this core's updates at which it may evict a store; default 2.5 s
	EvictAfter         clock.Micros            // after which a lost store no longer counts as a voter for updates; default 10 s
	AssumeLostAfter    clock.Micros            // after which a core assumes that unreachable voters for updates are lost; default 20 s
	CheckConfiguration func(body []byte) error // rejects an invalid configuration; default nil: none is rejected
	ParseConfiguration config.ParseFunc        // parses a configuration; default: the product's own format
	PatchFormat        config.PatchFormat      // format of operators' patches; default: the product's own format
	Acts               exclusive.Settings      // durations of permits for acts on external systems; default: exclusive.Defaults
	Autoscale          bool                    // plans the numbers of servers; default false
	Usage              usage.Settings          // windows of usage reports; default: no reports
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Shards:             24,
		Founders:           3,
		Tolerance:          1,
		ShardZones:         2,
		HeartbeatEvery:     250 * clock.Millisecond,
		CoreTimeout:        1500 * clock.Millisecond,
		ReplaceAfter:       4 * clock.Second,
		ReplaceSoonAfter:   4 * clock.Second,
		StoreTimeout:       2 * clock.Second,
		ListenDelay:        1500 * clock.Millisecond,
		BalanceEvery:       500 * clock.Millisecond,
		BalanceAfter:       4 * clock.Second,
		PartitionCooldown:  30 * clock.Second,
		CompactAfter:       500,
		MaxStaleness:       2500 * clock.Millisecond,
		EvictAfter:         10 * clock.Second,
		AssumeLostAfter:    20 * clock.Second,
		ParseConfiguration: config.Parse,
		PatchFormat:        config.NativePatchFormat,
		Acts:               exclusive.Defaults(),
		Usage:              usage.Defaults(),
	}
}

// election returns the settings of the election.
func (s Settings) election() election.Settings {
	return election.Settings{
		Bootstrap:         s.Bootstrap,
		Founders:          s.Founders,
		Tolerance:         s.Tolerance,
		HeartbeatInterval: s.HeartbeatEvery,
		CoreTimeout:       s.CoreTimeout,
		ReplaceAfter:      s.ReplaceAfter,
		ReplaceSoonAfter:  s.ReplaceSoonAfter,
	}
}

// placement returns the settings of the placement.
func (s Settings) placement() placement.Settings {
	return placement.Settings{
		Tolerance:         s.Tolerance,
		Zones:             s.ShardZones,
		PartitionCooldown: s.PartitionCooldown,
		BalanceInterval:   s.BalanceEvery,
		BalanceDelay:      s.BalanceAfter,
	}
}

// stores returns the settings of the table of stores.
func (s Settings) stores() stores.Settings {
	return stores.Settings{
		Timeout:         s.StoreTimeout,
		ListenDelay:     s.ListenDelay,
		EvictAfter:      s.EvictAfter,
		MaxStaleness:    s.MaxStaleness,
		AssumeLostAfter: s.AssumeLostAfter,
	}
}
