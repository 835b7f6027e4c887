// Package shard is the replicated state of one shard (docs/DESIGN.md §6): its batches,
// each with one ordered list of results, and the idempotency claims of one-shot requests.
//
// The state is a deterministic state machine. Its only inputs are entries (Entry), which
// every member of the shard's replication group applies in the same order; it reads no
// clock and has no effects. What may be appended, and when an entry is durable, is decided
// outside: by internal/batchstore and internal/replication.
//
// Invariants: an item has at most one result; a batch that is no longer open never changes
// again, except that its results move to the archive; positions of one ownership span all
// lie above those of the span before.
//
// Nothing here may be used by two goroutines at once.
package shard

// State is the state that one replication group replicates.
type State struct {
	Batches       map[string]*Batch // by ID
	Claims        map[string]*Claim // by ClaimID
	LastPositions map[int]int64     // highest position of each writer in this shard
	Ownerships    []Ownership       // the newest spans, in the order of their positions
	// FailedAttempts counts the attempts that servers failed of items in open batches: by the batch's
	// ID, then by the item's index. nil where there are none.
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

// HasOpenBatch tells whether any batch of the shard is open.
func (s *State) HasOpenBatch() bool {
	for _, batch := range s.Batches {
		if batch.State == Open {
			return true
		}
	}
	return false
}

// PendingWeights are the weights of the items without a result in open batches, by account.
func (s *State) PendingWeights() map[AccountName]int {
	sum := map[AccountName]int{}
	for _, batch := range s.Batches {
		if weight := batch.PendingWeight(); weight > 0 {
			sum[batch.Account()] += weight
		}
	}
	return sum
}

// PendingWeight is that of one account.
func (s *State) PendingWeight(account AccountName) int {
	sum := 0
	for _, batch := range s.Batches {
		if batch.State == Open && batch.Account() == account {
			sum += batch.PendingWeight()
		}
	}
	return sum
}

// HighestPosition is the highest position of any result of the shard; 0 without results.
func (s *State) HighestPosition() int64 {
	highest := int64(0)
	for _, position := range s.LastPositions {
		highest = max(highest, position)
	}
	return highest
}
