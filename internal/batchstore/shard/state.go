// Package shard implements the replicated state of one shard (docs/DESIGN.md §6): its batches,
// each with one ordered list of results, and the idempotency claims of one-shot requests.
//
// The state is a deterministic state machine. Its only inputs are entries (Entry), which
// every member of the shard's replication group applies in the same order; it reads no
// clock and has no side effects. internal/batchstore decides which entries may be appended,
// and internal/replication when an entry is durable.
//
// Invariants: an item has at most one result; a batch that is no longer open does not change,
// except that its items and results move to the archive; all positions of an ownership span
// are higher than those of the previous span.
//
// The types are not safe for concurrent use.
package shard

// State is the replicated state of one shard.
type State struct {
	Batches       map[string]*Batch // by ID
	Claims        map[string]*Claim // by ClaimID
	LastPositions map[int]int64     // highest position of each writer in this shard
	Ownerships    []Ownership       // the most recent spans, in the order of their positions
	// FailedAttempts counts the failed attempts of items in open batches: by the batch's ID, then by
	// the item's index. It is nil until the first failure.
	FailedAttempts map[string]map[int]int
}

// New returns the state of an empty shard.
func New() *State {
	return &State{
		Batches:       map[string]*Batch{},
		Claims:        map[string]*Claim{},
		LastPositions: map[int]int64{},
	}
}

// HasOpenBatch reports whether any batch of the shard is open.
func (s *State) HasOpenBatch() bool {
	for _, batch := range s.Batches {
		if batch.State == Open {
			return true
		}
	}
	return false
}

// PendingWeights returns, by account, the total weight of the items without a result in open batches.
func (s *State) PendingWeights(accountOf AccountOf) map[AccountName]int {
	sum := map[AccountName]int{}
	for _, batch := range s.Batches {
		if weight := batch.PendingWeight(); weight > 0 {
			sum[accountOf(batch)] += weight
		}
	}
	return sum
}

// PendingWeight returns the total weight of the items without a result in one account's open batches.
func (s *State) PendingWeight(account AccountName, accountOf AccountOf) int {
	sum := 0
	for _, batch := range s.Batches {
		if batch.State == Open && accountOf(batch) == account {
			sum += batch.PendingWeight()
		}
	}
	return sum
}

// HighestPosition returns the highest position of any result in the shard, or 0 if there is none.
func (s *State) HighestPosition() int64 {
	highest := int64(0)
	for _, position := range s.LastPositions {
		highest = max(highest, position)
	}
	return highest
}
