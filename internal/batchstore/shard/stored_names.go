package shard

// The kinds of entries. These spellings are on disk; they never change.
const (
	kindSubmitBatch   = "enrol"
	kindListResult    = "list"
	kindEndBatch      = "end"
	kindBeginClaim    = "claim"
	kindCompleteClaim = "settle"
	kindPurge         = "forget"
	kindRecordFailure = "record-failure"
)

// formatWithBodies begins an entry whose requests' bodies follow its JSON
// (entry_bodies.go); no JSON begins with it. This byte is on disk; it never changes.
const formatWithBodies = 0

// Statuses of a result. These spellings are on disk; they never change.
const (
	StatusOK     = "ok"
	StatusFailed = "failed"
)

// The states of a batch. These spellings are on disk; they never change.
const (
	Open  BatchState = "open"  // results are still listed
	Done  BatchState = "done"  // every item has its result
	Ended BatchState = "ended" // ended by its tenant before that
)

// States of a claim. These spellings are on disk; they never change.
const (
	Claimed  = "claimed"     // the request's outcome is not known yet
	Answered = "answered"    // the response is stored with the claim
	Voided   = "turned-away" // the request was rejected and never ran: the key is free again
)

// Prefixes of the IDs of claims and of batches. These spellings are on disk, and callers
// hold them; they never change.
const (
	claimPrefix = "c-"
	batchPrefix = "b-"
)
