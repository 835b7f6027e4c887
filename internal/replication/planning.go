package replication

import "slices"

// IncarnationFunc returns the current incarnation of a daemon. available is false if the daemon is
// unreachable or must not be a member.
type IncarnationFunc func(id string) (incarnation uint64, available bool)

// AllowsDegradedFunc reports whether a group may continue with these members, given by ID, although
// they are fewer than GroupSize.
type AllowsDegradedFunc func(members []string) bool

// ChooseReplacementFunc returns a daemon that can join the given members and is not excluded, or ""
// if there is none.
type ChooseReplacementFunc func(members, excluded []string) (id string)

// ClusterView is what the authority that assigns groups knows about the daemons.
type ClusterView struct {
	// GroupSize is the number of members that a group should have.
	GroupSize         int
	Incarnation       IncarnationFunc
	AllowsDegraded    AllowsDegradedFunc
	ChooseReplacement ChooseReplacementFunc
}

// The reasons for a new assignment, as they are logged (docs/OPERATORS.md).
const (
	reasonReplicaLost    = "replica lost"
	reasonPrimaryLost    = "primary lost"
	reasonGroupRecovered = "group lost, disk of a member read back"
	reasonReplicaMissing = "a copy was missing"
)

// Next plans the next assignment and returns the reason for it: a member is lost, or the group has
// fewer members than GroupSize and another daemon is available. It returns false if the assignment
// should stay, or no better one is possible yet.
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

// Reassign plans the group's next assignment with the given primary and without the excluded
// daemons. Available members stay first; then available daemons of the last complete group join,
// because they need the smallest snapshot; then replacements. It returns false if too few members
// are available.
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
		return a, false // wait for another member to become available
	}
	return builder.next, true
}

// groupBuilder builds an assignment member by member.
type groupBuilder struct {
	view     ClusterView
	excluded []string
	next     Assignment
	ids      []string // IDs of next's members
}

func (b *groupBuilder) isFull() bool { return len(b.ids) >= b.view.GroupSize }

// addReplica adds a daemon if it is available and not excluded and the group is not full. It reports
// whether it did.
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

// currentMember returns a daemon in its current incarnation, and whether it is available.
func (v ClusterView) currentMember(id string) (Member, bool) {
	incarnation, available := v.Incarnation(id)
	return Member{ID: id, Incarnation: incarnation}, available
}

// isLost reports whether a member is unavailable or no longer in the assigned incarnation.
func (v ClusterView) isLost(member Member) bool {
	current, available := v.currentMember(member.ID)
	return !available || current != member
}

// successor picks the next primary: the current one if it is not lost; else, if the group is
// complete, a replica that is not lost; else any available daemon of the last complete group, which
// has recovered its state from disk. It returns "" if there is none.
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
