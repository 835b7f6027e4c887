package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// The log events of a core.
type (
	// LostPrimary reports that another core has a higher term; this one is no longer primary.
	LostPrimary struct {
		machine.Info
		Epoch uint64 `json:"epoch"`
	}
	// StoreRejected reports that a store may not join, because its data folder is a copy or belongs
	// to another fleet.
	StoreRejected struct {
		machine.Warning
		Store       string `json:"store"`
		Peer        string `json:"peer"`
		Incarnation uint64 `json:"incarnation"`
		Reason      string `json:"reason"`
	}
	// StoreEvicted reports that an unreachable store no longer counts as a voter for updates.
	StoreEvicted struct {
		machine.Warning
		Store string `json:"store"`
	}
	// StoreRetired reports that nothing depends on the store any more; its machine may be removed.
	StoreRetired struct {
		machine.Info
		Store string `json:"store"`
	}
	// EndpointLimitReached reports that there are more endpoints than a core keeps on disk.
	EndpointLimitReached struct {
		machine.Warning
		Endpoint string `json:"endpoint"`
		Remedy   string `json:"remedy"`
	}
	// DiskWritable reports that the disk accepts writes again; the core resumes its roles after a
	// probation.
	DiskWritable struct {
		machine.Info
		ResumesAfterUS clock.Micros `json:"resumes_after_us"`
	}
	// DiskUnwritable reports that the disk accepts no writes; the core gives up all its roles.
	DiskUnwritable struct {
		machine.Warning
		Reason string `json:"reason"`
		Role   string `json:"role"`
	}
	// RolesResumed reports that the probation of the disk is over.
	RolesResumed struct {
		machine.Info
		Role string `json:"role"`
	}
)

// EventName is the event's key in the log.
func (LostPrimary) EventName() string { return "lost_primary" }

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
func (RolesResumed) EventName() string { return "duties_resumed" }
