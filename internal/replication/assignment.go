package replication

import (
	"encoding/json"
	"slices"
)

// Member is one incarnation of a daemon. After a restart the daemon counts as a different member
// and must be assigned again.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"life"`
}

// Assignment names the members of one replication group under one epoch, as recorded by the
// authority that assigns groups: the voters for the control state, the control state for the
// shards. Its JSON is stored on disk, so the keys must not change.
type Assignment struct {
	Epoch    uint64   `json:"epoch"`
	Primary  Member   `json:"owner"`
	Replicas []Member `json:"replicas"`
	// Complete reports whether every member has the full state on disk.
	Complete bool `json:"complete"`
	// Trusted lists the daemons of the last complete group. Each of them has every confirmed
	// entry, so the next primary must be one of them.
	Trusted []string `json:"trusted"`
}

// UnmarshalJSON also decodes the format of the previous release, which had a single replica.
func (a *Assignment) UnmarshalJSON(data []byte) error {
	type plain Assignment
	var read struct {
		plain
		Backup Member `json:"backup"`
	}
	if err := json.Unmarshal(data, &read); err != nil {
		return err
	}
	*a = Assignment(read.plain)
	if len(a.Replicas) == 0 && read.Backup.ID != "" {
		a.Replicas = []Member{read.Backup}
	}
	a.Trusted = slices.DeleteFunc(a.Trusted, func(id string) bool { return id == "" })
	return nil
}

// IsZero reports whether the group has never been assigned.
func (a Assignment) IsZero() bool { return a.Epoch == 0 }

// Equal reports whether two assignments are the same.
func (a Assignment) Equal(b Assignment) bool {
	return a.Epoch == b.Epoch && a.Primary == b.Primary && a.Complete == b.Complete &&
		slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Trusted, b.Trusted)
}

// Members returns the primary followed by the replicas, or nil before the first assignment.
func (a Assignment) Members() []Member {
	if a.IsZero() {
		return nil
	}
	return append([]Member{a.Primary}, a.Replicas...)
}

// IDs returns the members' IDs, the primary's first.
func (a Assignment) IDs() []string {
	var ids []string
	for _, member := range a.Members() {
		ids = append(ids, member.ID)
	}
	return ids
}

// IsReplica reports whether a member is one of the replicas.
func (a Assignment) IsReplica(member Member) bool { return slices.Contains(a.Replicas, member) }

// IsTrusted reports whether a daemon belongs to the last complete group and so has every confirmed
// entry.
func (a Assignment) IsTrusted(id string) bool { return id != "" && slices.Contains(a.Trusted, id) }

// MustKeep reports whether a daemon must keep its state of this group. Members must, and until the
// group is complete so must the members of the last complete group.
func (a Assignment) MustKeep(id string) bool {
	return slices.Contains(a.IDs(), id) || !a.Complete && a.IsTrusted(id)
}

// Completed returns the assignment marked as complete: every member has the full state on disk.
func (a Assignment) Completed() Assignment {
	a.Complete = true
	a.Trusted = a.IDs()
	return a
}

// Successors returns the daemons that are eligible as the next primary.
func (a Assignment) Successors() []string {
	if a.Complete {
		return a.IDs()
	}
	return a.Trusted
}
