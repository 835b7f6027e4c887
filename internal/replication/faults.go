package replication

// InjectedFaults disable one safety rule each. They are set by tests only, which show that the
// checkers notice the violation; in operation all are false.
type InjectedFaults struct {
	// SkipEpochCheck accepts messages of stale epochs.
	SkipEpochCheck bool
	// SkipReplicas confirms an entry once it is on the primary's own disk.
	SkipReplicas bool
	// SkipLastReplica confirms an entry once a single replica has it, even if the group has more.
	SkipLastReplica bool
	// SkipSnapshot reports a group that is assigned anew as ready before its replicas have the
	// snapshot on disk.
	SkipSnapshot bool
}
