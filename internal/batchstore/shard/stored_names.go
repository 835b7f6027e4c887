package shard

// The kinds of entries. They are stored on disk and must not change.
const (
	kindSubmitBatch   = "enrol"
	kindListResult    = "list"
	kindEndBatch      = "end"
	kindBeginClaim    = "claim"
	kindCompleteClaim = "settle"
	kindPurge         = "forget"
	kindRecordFailure = "record-failure"
)

// formatWithBodies is the first byte of an entry whose request bodies follow its JSON
// (entry_bodies.go); no JSON begins with it. It is stored on disk and must not change.
const formatWithBodies = 0

// Statuses of a result. They are stored on disk and must not change.
const (
	StatusOK     = "ok"
	StatusFailed = "failed"
)

// The states of a batch. They are stored on disk and must not change.
const (
	Open  BatchState = "open"  // results are still listed
	Done  BatchState = "done"  // every item has its result
	Ended BatchState = "ended" // ended by its tenant before every item had a result
)

// States of a claim. They are stored on disk and must not change.
const (
	Claimed  = "claimed"     // the request's outcome is not known yet
	Answered = "answered"    // the response is stored with the claim
	Voided   = "turned-away" // the request was rejected and never ran: the key is free again
)

// Prefixes of the IDs of claims and of batches. They are stored on disk and known to clients,
// and must not change.
const (
	claimPrefix = "c-"
	batchPrefix = "b-"
)
