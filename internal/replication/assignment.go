package replication

import (
	"encoding/json"
	"slices"
)

// Member is one incarnation of one daemon. A daemon that restarted is another member and has to
// be assigned anew.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"life"`
}

// Assignment names the members of one replication group under one epoch, as recorded by the
// authority that assigns groups: the voters for the control state, the control state for the
// shards. Its JSON is on disk; the keys never change.
type Assignment struct {
	Epoch    uint64   `json:"epoch"`
	Primary  Member   `json:"owner"`
	Replicas []Member `json:"replicas"`
	// Complete: every member has the whole state on disk.
	Complete bool `json:"complete"`
	// Trusted are the daemons of the last complete group. Each of them has every confirmed entry,
	// so the next primary must be one of them.
	Trusted []string `json:"trusted"`
}

// UnmarshalJSON also reads the form of the release before, which had one replica.
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

// IsZero reports whether the group was never assigned.
func (a Assignment) IsZero() bool { return a.Epoch == 0 }

// Equal compares two assignments.
func (a Assignment) Equal(b Assignment) bool {
	return a.Epoch == b.Epoch && a.Primary == b.Primary && a.Complete == b.Complete &&
		slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Trusted, b.Trusted)
}

// Members lists the primary and then the replicas; none before the first assignment.
func (a Assignment) Members() []Member {
	if a.IsZero() {
		return nil
	}
	return append([]Member{a.Primary}, a.Replicas...)
}

// IDs lists the members' identities, the primary's first.
func (a Assignment) IDs() []string {
	var ids []string
	for _, member := range a.Members() {
		ids = append(ids, member.ID)
	}
	return ids
}

// IsReplica reports whether an incarnation of a daemon is one of the replicas.
func (a Assignment) IsReplica(member Member) bool { return slices.Contains(a.Replicas, member) }

// IsTrusted reports whether a daemon has every confirmed entry.
func (a Assignment) IsTrusted(id string) bool { return id != "" && slices.Contains(a.Trusted, id) }

// MustKeep reports whether a daemon must keep what it has of this group: its members, and until
// the group is complete those of the last complete one.
func (a Assignment) MustKeep(id string) bool {
	return slices.Contains(a.IDs(), id) || !a.Complete && a.IsTrusted(id)
}

// Completed is the assignment once every member has the whole state on disk.
func (a Assignment) Completed() Assignment {
	a.Complete = true
	a.Trusted = a.IDs()
	return a
}

// Successors are the daemons of which one has to be the next primary.
func (a Assignment) Successors() []string {
	if a.Complete {
		return a.IDs()
	}
	return a.Trusted
}
