package batchstore

// Counters count the store's activity since its start.
type Counters struct {
	ResultsRecorded  int64
	BatchesSubmitted int64
	BatchesArchived  int64
	UnknownOutcomes  int64 // calls answered with errs.OutcomeUnknown
	Takeovers        int64 // assignments of a shard to this store as its primary
	EntriesConfirmed int64 // entries that became durable on every member of their group
	Reads            int64
}
