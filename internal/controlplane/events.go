package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// The log events of a core.
type (
	// CampaignStarted tells that this core asks the voters for a term.
	CampaignStarted struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// BootstrapStarted tells that this core asks the other cores at the seeds to found the cluster.
	BootstrapStarted struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// TermWon tells that the voters granted this core a term; its replicas are filled next.
	TermWon struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
	}
	// BecamePrimary tells that the term is committed, and this core serves.
	BecamePrimary struct {
		machine.Info
		Term   uint64   `json:"term"`
		Member string   `json:"member"`
		Group  []string `json:"group"`
		Voters []string `json:"voters"`
	}
	// LostPrimary tells that another core has a higher term; this one no longer serves.
	LostPrimary struct {
		machine.Info
		Epoch uint64 `json:"epoch"`
	}
	// ForeignCoreIgnored tells that a core of another fleet sends heartbeats to this one.
	ForeignCoreIgnored struct {
		machine.Warning
		Peer  string `json:"peer"`
		Fleet string `json:"fleet"`
	}
	// ShardAssigned tells that a shard has a new replication group.
	ShardAssigned struct {
		machine.Info
		Shard  int      `json:"shard"`
		Epoch  uint64   `json:"epoch"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
		// CopiesMissing is how many copies fewer than configured the group has, for want of
		// stores.
		CopiesMissing int `json:"copies_missing,omitempty"`
	}
	// ShardMoved tells that a shard moves to another store for even shares or zones.
	ShardMoved struct {
		machine.Info
		Shard  int      `json:"shard"`
		Epoch  uint64   `json:"epoch"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
	}
	// StoreRejected tells that a store may not join, since its data folder is a copy or of another
	// fleet.
	StoreRejected struct {
		machine.Warning
		Store       string `json:"store"`
		Peer        string `json:"peer"`
		Incarnation uint64 `json:"incarnation"`
		Reason      string `json:"reason"`
	}
	// StoreEvicted tells that an unreachable store no longer counts as a voter for updates.
	StoreEvicted struct {
		machine.Warning
		Store string `json:"store"`
	}
	// StoreRetired tells that nothing depends on the store any more; its machine may be removed.
	StoreRetired struct {
		machine.Info
		Store string `json:"store"`
	}
	// EndpointLimitReached tells that there are more endpoints than a core keeps on disk.
	EndpointLimitReached struct {
		machine.Warning
		Endpoint string `json:"endpoint"`
		Remedy   string `json:"remedy"`
	}
	// DiskWritable tells that the disk takes writes again; the core resumes its duties after probation.
	DiskWritable struct {
		machine.Info
		ResumesAfterUS clock.Micros `json:"resumes_after_us"`
	}
	// DiskUnwritable tells that the disk takes no writes; the core gives up all duties.
	DiskUnwritable struct {
		machine.Warning
		Reason string `json:"reason"`
		Role   string `json:"role"`
	}
	// DutiesResumed tells that the probation of the disk is over.
	DutiesResumed struct {
		machine.Info
		Role string `json:"role"`
	}
)

// EventName is the event's key in the log.
func (CampaignStarted) EventName() string { return "campaign_started" }

// EventName is the event's key in the log.
func (BootstrapStarted) EventName() string { return "bootstrap_started" }

// EventName is the event's key in the log.
func (TermWon) EventName() string { return "term_won" }

// EventName is the event's key in the log.
func (BecamePrimary) EventName() string { return "became_primary" }

// EventName is the event's key in the log.
func (LostPrimary) EventName() string { return "lost_primary" }

// EventName is the event's key in the log.
func (ForeignCoreIgnored) EventName() string { return "foreign_core_ignored" }

// EventName is the event's key in the log.
func (ShardAssigned) EventName() string { return "shard_assigned" }

// EventName is the event's key in the log.
func (ShardMoved) EventName() string { return "shard_moved" }

// EventName is the event's key in the log.
func (StoreRejected) EventName() string { return "store_rejected" }

// EventName is the event's key in the log.
func (StoreEvicted) EventName() string { return "store_evicted" }

// EventName is the event's key in the log.
func (StoreRetired) EventName() string { return "store_retired" }

// EventName is the event's key in the log.
func (EndpointLimitReached) EventName() string { return "endpoint_limit_reached" }

// EventName is the event's key in the log.
func (DiskWritable) EventName() string { return "disk_writable" }

// EventName is the event's key in the log.
func (DiskUnwritable) EventName() string { return "disk_unwritable" }

// EventName is the event's key in the log.
func (DutiesResumed) EventName() string { return "duties_resumed" }
