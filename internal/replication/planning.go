package replication

import "slices"

// IncarnationFunc gives the current incarnation of a daemon; false where the daemon can't
// be reached or may not be a member.
type IncarnationFunc func(id string) (incarnation uint64, available bool)

// AllowsDegradedFunc reports whether a group may go on with these members, by id, although they
// are fewer than it should have.
type AllowsDegradedFunc func(members []string) bool

// ChooseReplacementFunc picks a further member for a group that has some, none of the excluded
// daemons; "" where there is none.
type ChooseReplacementFunc func(members, excluded []string) (id string)

// ClusterView is what the authority that assigns groups knows of the daemons.
type ClusterView struct {
	// GroupSize is the number of members that a group should have.
	GroupSize         int
	Incarnation       IncarnationFunc
	AllowsDegraded    AllowsDegradedFunc
	ChooseReplacement ChooseReplacementFunc
}

// The reasons for another assignment, as they are logged (docs/OPERATORS.md).
const (
	reasonReplicaLost    = "replica lost"
	reasonPrimaryLost    = "primary lost"
	reasonGroupRecovered = "group lost, disk of a member read back"
	reasonReplicaMissing = "a copy was missing"
)

// Next plans the assignment that should follow, with the reason: where a member is lost, or the
// group has fewer members than it should and another is available. It returns false when the
// assignment should stay, or nothing better is available yet.
func Next(a Assignment, view ClusterView) (next Assignment, reason string, changed bool) {
	allAvailable := !slices.ContainsFunc(a.Members(), view.isLost)
	if allAvailable && len(a.Members()) >= view.GroupSize {
		return a, "", false
	}
	primary, reason := view.successor(a)
	if primary == "" {
		return a, "", false
	}
	next, ok := Reassign(a, view, primary, nil)
	if !ok {
		return a, "", false
	}
	if !allAvailable {
		return next, reason, true
	}
	if len(next.Members()) <= len(a.Members()) {
		return a, "", false
	}
	return next, reasonReplicaMissing, true
}

// Reassign plans the group's next assignment under a given primary, without the excluded daemons.
// Available members stay, then available daemons of the last complete group join, which need the
// shortest snapshot, then replacements. It returns false when too few members are available.
func Reassign(a Assignment, view ClusterView, primary string, excluded []string) (next Assignment, ok bool) {
	first, ok := view.currentMember(primary)
	if !ok {
		return a, false
	}
	builder := &groupBuilder{
		view:     view,
		excluded: excluded,
		next:     Assignment{Epoch: a.Epoch + 1, Primary: first, Trusted: a.Successors()},
		ids:      []string{primary},
	}
	for _, id := range append(a.IDs(), builder.next.Trusted...) {
		builder.addReplica(id)
	}
	builder.addReplacements()
	if !builder.isFull() && !view.AllowsDegraded(builder.ids) {
		return a, false // wait for a further member
	}
	return builder.next, true
}

// groupBuilder fills an assignment.
type groupBuilder struct {
	view     ClusterView
	excluded []string
	next     Assignment
	ids      []string // of next's members
}

func (b *groupBuilder) isFull() bool { return len(b.ids) >= b.view.GroupSize }

// addReplica adds a daemon if it may be a member and there is need of one.
func (b *groupBuilder) addReplica(id string) bool {
	if b.isFull() || slices.Contains(b.ids, id) || slices.Contains(b.excluded, id) {
		return false
	}
	member, available := b.view.currentMember(id)
	if !available {
		return false
	}
	b.next.Replicas = append(b.next.Replicas, member)
	b.ids = append(b.ids, id)
	return true
}

func (b *groupBuilder) addReplacements() {
	for !b.isFull() {
		id := b.view.ChooseReplacement(b.ids, b.excluded)
		if id == "" || !b.addReplica(id) {
			return
		}
	}
}

// currentMember gives a daemon in its present incarnation.
func (v ClusterView) currentMember(id string) (Member, bool) {
	incarnation, available := v.Incarnation(id)
	return Member{ID: id, Incarnation: incarnation}, available
}

// isLost reports whether a member is not available in the incarnation that was assigned.
func (v ClusterView) isLost(member Member) bool {
	current, available := v.currentMember(member.ID)
	return !available || current != member
}

// successor picks the next primary: the present one if it is available, else a replica of a
// complete group that is, else any daemon of the last complete group that is back with its disk.
// "" where there is none.
func (v ClusterView) successor(a Assignment) (id, reason string) {
	if !v.isLost(a.Primary) {
		return a.Primary.ID, reasonReplicaLost
	}
	if a.Complete {
		for _, replica := range a.Replicas {
			if !v.isLost(replica) {
				return replica.ID, reasonPrimaryLost
			}
		}
	}
	successors := a.Successors()
	for _, id := range append([]string{a.Primary.ID}, successors...) {
		if _, available := v.Incarnation(id); available && slices.Contains(successors, id) {
			return id, reasonGroupRecovered
		}
	}
	return "", ""
}
