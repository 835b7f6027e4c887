package replication

// Role is what this member does in its group's current epoch.
type Role int

const (
	// Idle members keep what is on disk of an earlier incarnation or epoch and take no part in
	// the group. Only a new epoch gives a member another role.
	Idle Role = iota
	// SendingSnapshot is a primary that brings its replicas to its own state.
	SendingSnapshot
	// AwaitingCommit is a primary whose replicas all have its state on disk. It waits until the
	// authority that assigns groups has recorded the group as complete (Groups.CommitGroup).
	AwaitingCommit
	// Serving is a primary that appends entries and confirms them.
	Serving
	// ReceivingSnapshot is a replica that does not have the primary's state on disk yet.
	ReceivingSnapshot
	// Replicating is a replica that appends the primary's entries and grants it leases.
	Replicating
)

// String gives the role as operators read it.
func (r Role) String() string { return roleNames[r] }
