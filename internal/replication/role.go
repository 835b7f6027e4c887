package replication

// Role is what this member does in its group's current epoch.
type Role int

const (
	// Idle is a member that takes no part in the group, but keeps the state of an earlier
	// incarnation or epoch on disk. Only a new epoch gives it another role.
	Idle Role = iota
	// SendingSnapshot is a primary that is sending its state to its replicas.
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

// String returns the role as it is shown to operators.
func (r Role) String() string { return roleNames[r] }
