package replication

// InjectedFaults each disable one safety rule. Only tests set them, to show that the checkers
// detect the violation; in production all are false.
type InjectedFaults struct {
	// SkipEpochCheck accepts messages with stale epochs.
	SkipEpochCheck bool
	// SkipReplicas confirms an entry once it is on the primary's own disk.
	SkipReplicas bool
	// SkipLastReplica confirms an entry once a single replica has it, even if the group has more.
	SkipLastReplica bool
	// SkipSnapshot reports a reassigned group as ready before its replicas have the snapshot on
	// disk.
	SkipSnapshot bool
}
