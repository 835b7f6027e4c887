package shard

// The kinds of changes. These spellings are on disk; they never change.
const (
	kindEnrol  = "enrol"
	kindList   = "list"
	kindEnd    = "end"
	kindClaim  = "claim"
	kindSettle = "settle"
	kindForget = "forget"
)

// rawFormat begins a change with the bodies of requests behind it (raw.go); no JSON does.
// This byte is on disk; it never changes.
const rawFormat = 0

// Statuses of a row. These spellings are on disk; they never change.
const (
	StatusOK     = "ok"
	StatusFailed = "failed"
)

// The states of a batch. These spellings are on disk; they never change.
const (
	Open  BatchState = "open"
	Done  BatchState = "done"
	Ended BatchState = "ended"
)

// States of a claim. These spellings are on disk; they never change.
const (
	Claimed  = "claimed"
	Answered = "answered"
	Voided   = "turned-away"
)

// What the names of claims and of batches begin with. These spellings are on disk, and
// callers hold them; they never change.
const (
	claimPrefix = "c-"
	batchPrefix = "b-"
)
