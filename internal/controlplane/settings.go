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

// Settings of a core. All spans are in microseconds; the defaults are those of Defaults.
type Settings struct {
	Shards             int                     // of a fleet that is bootstrapped; default 24
	Founders           int                     // cores that bootstrap a fleet; default 3; 0: as many as there are seeds
	Bootstrap          bool                    // this is the first start of the whole fleet: it may be bootstrapped; default false
	Tolerance          int                     // machines with a disk that may be lost at once; default 1
	ShardZones         int                     // zones that the copies of a shard have to be in; default 2
	HeartbeatEvery     clock.Micros            // between two heartbeats to the other cores; default 250 ms
	CoreTimeout        clock.Micros            // after which a core that is not heard counts as lost; default 1.5 s
	ReplaceAfter       clock.Micros            // after which a lost core's vote passes to another; default 4 s
	ReplaceSoonAfter   clock.Micros            // the same where the other core is empty; default 4 s; 0: no sooner
	StoreTimeout       clock.Micros            // after which a store that is not heard counts as lost; default 2 s
	ListenDelay        clock.Micros            // for how long a new primary listens until it decides on stores; default 1.5 s
	BalanceEvery       clock.Micros            // between two moves towards even shares; default 500 ms
	BalanceAfter       clock.Micros            // for how long a store is heard until shards move to it; default 4 s
	PartitionMemory    clock.Micros            // for how long two stores that lost contact share no group; default 30 s
	CompactAfter       int                     // changes on disk until a snapshot replaces them; default 500
	MaxStaleness       clock.Micros            // how old the updates here may be for a store to be evicted; default 2.5 s
	EvictAfter         clock.Micros            // after which a lost store no longer counts as a voter for updates; default 10 s
	AssumeLostAfter    clock.Micros            // after which a core takes the voters for updates that it does not hear for lost; default 20 s
	CheckConfiguration func(body []byte) error // refuses an invalid configuration; default nil: none is
	ParseConfiguration config.ParseFunc        // reads a configuration; default: one of the product's own documents
	PatchFormat        config.PatchFormat      // how operators' patches are written; default: that of the product's own documents
	Acts               exclusive.Settings      // times of permits for acts on outside systems; default: exclusive.Defaults
	Autoscale          bool                    // numbers of servers are planned; default false
	Usage              usage.Settings          // windows of the reports of use; default: none are made
}

// Defaults are the starting values.
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
		PartitionMemory:    30 * clock.Second,
		CompactAfter:       500,
		MaxStaleness:       2500 * clock.Millisecond,
		EvictAfter:         10 * clock.Second,
		AssumeLostAfter:    20 * clock.Second,
		ParseConfiguration: config.Parse,
		PatchFormat:        config.OwnPatchFormat,
		Acts:               exclusive.Defaults(),
		Usage:              usage.Defaults(),
	}
}

// election are the settings of the election.
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

// placement are the settings of the placement.
func (s Settings) placement() placement.Settings {
	return placement.Settings{
		Tolerance:         s.Tolerance,
		Zones:             s.ShardZones,
		PartitionCooldown: s.PartitionMemory,
		BalanceInterval:   s.BalanceEvery,
		BalanceDelay:      s.BalanceAfter,
	}
}

// stores are the settings of the table of stores.
func (s Settings) stores() stores.Settings {
	return stores.Settings{
		Timeout:         s.StoreTimeout,
		ListenDelay:     s.ListenDelay,
		EvictAfter:      s.EvictAfter,
		MaxStaleness:    s.MaxStaleness,
		AssumeLostAfter: s.AssumeLostAfter,
	}
}
