package batchstore

// Counters count what the store did since its start.
type Counters struct {
	ResultsRecorded  int64
	BatchesSubmitted int64
	BatchesArchived  int64
	UnknownOutcomes  int64 // calls that were answered with errs.OutcomeUnknown
	Takeovers        int64 // shards that were assigned to this store as their primary
	EntriesConfirmed int64 // entries that became durable on every member of their group
	Reads            int64
}
