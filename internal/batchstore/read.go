package batchstore

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
)

// readResults replies with the results of one batch, or of all batches of a tenant in the given shards:
// those after a vector of positions or, for an indexed read, those from an index of the batch's result
// list on.
func (s *Store) readResults(call uint64, request ReadRequest, now clock.Micros) {
	s.Reads++
	response := ReadResponse{Writer: s.identity.Writer, PersistedUpTo: s.positions.PersistedUpTo()}
	for _, shardIndex := range slices.Sorted(maps.Keys(request.Shards)) {
		served, err := s.requireServingAtEpoch(shardIndex, request.Shards[shardIndex], now)
		if err == nil {
			err = s.readShard(served, request, &response)
		}
		if err != nil {
			s.replyError(call, err)
			return
		}
	}
	if !request.Indexed {
		response.sortAndLimit(request.Limit)
	}
	s.reply(call, response)
}

// sortAndLimit sorts the results by position and truncates the page to the limit; 0 means no limit.
func (r *ReadResponse) sortAndLimit(limit int) {
	slices.SortStableFunc(r.Results, func(a, b shard.Result) int { return cmp.Compare(a.Position, b.Position) })
	if limit > 0 && len(r.Results) > limit {
		r.Results = r.Results[:limit]
		r.More = true
	}
}

// readBound limits the positions up to which a reader may read a shard.
type readBound struct {
	announced     token.Vector // last positions by writer, as received by the reader
	writer        int          // this store
	persistedUpTo int64        // last durable position of this store in the shard
}

func (s *Store) readBoundFor(request ReadRequest, shardIndex int) readBound {
	return readBound{
		announced:     request.Bound[shardIndex],
		writer:        s.identity.Writer,
		persistedUpTo: max(s.positions.PersistedUpTo(), s.shard(Unit(shardIndex)).ownPositionAtTakeover),
	}
}

// allows reports whether the reader may receive a result. A reader never receives a result past the last
// position that it has received from the result's writer, nor one that is not durable on this store.
func (b readBound) allows(result shard.Result) bool {
	if result.Writer == b.writer && result.Position > b.persistedUpTo {
		return false
	}
	return result.Position <= b.announced[result.Writer]
}

// allowsAll reports whether the reader may receive all results of a batch.
func (b readBound) allowsAll(batch *shard.Batch) bool {
	if batch.Archived != nil { // all results of an archived batch are durable
		for writer, last := range batch.Archived.LastPositions {
			if last > b.announced[writer] {
				return false
			}
		}
		return true
	}
	return !slices.ContainsFunc(batch.Results, func(result shard.Result) bool { return !b.allows(result) })
}

// readShard adds the results of one shard to the response.
func (s *Store) readShard(served servedShard, request ReadRequest, response *ReadResponse) error {
	bound := s.readBoundFor(request, served.index)
	if request.Batch != "" {
		return s.readBatch(served, request, bound, response)
	}
	for _, id := range sortedBatchIDs(served.state) {
		if batch := served.state.Batches[id]; request.By.allows(batch) {
			s.readAfter(batch, request.After, bound, response)
		}
	}
	return nil
}

// readBatch adds the results and the state of one batch to the response. The batch is reported as open
// if the reader may not receive all its results yet.
func (s *Store) readBatch(served servedShard, request ReadRequest, bound readBound, response *ReadResponse) error {
	batch, err := served.findBatch(request.Batch, request.By)
	if err != nil {
		return err
	}
	if request.Indexed {
		s.readFromIndex(batch, request, bound, response)
	} else {
		s.readAfter(batch, request.After, bound, response)
	}
	response.State = string(batch.State)
	if !bound.allowsAll(batch) {
		response.State = string(shard.Open)
	}
	response.Items, _ = batch.Counts()
	return nil
}

// readAfter adds the results of a batch after a vector of positions to the response.
func (s *Store) readAfter(batch *shard.Batch, after token.Vector, bound readBound, response *ReadResponse) {
	for _, result := range s.resultsAfter(batch, after) {
		if result.Position > after[result.Writer] && bound.allows(result) {
			response.Results = append(response.Results, result)
		}
	}
}

// resultsAfter returns all results of a batch, or none if the batch is archived and no result lies
// after a vector of positions. The archive is read only if needed.
func (s *Store) resultsAfter(batch *shard.Batch, after token.Vector) []shard.Result {
	if batch.Archived == nil {
		return batch.Results
	}
	for writer, last := range batch.Archived.LastPositions {
		if last > after[writer] {
			return s.readArchived(batch).Results
		}
	}
	return nil
}

// readFromIndex adds the results of a batch from an index of its result list on to the response. The
// index of a result never changes, so the page ends at the first result that the reader may not receive
// yet (docs/DESIGN.md §12.5).
func (s *Store) readFromIndex(batch *shard.Batch, request ReadRequest, bound readBound, response *ReadResponse) {
	from := max(0, request.From)
	response.Index = from
	if _, count := batch.Counts(); from >= count {
		return
	}
	results := batch.Results
	if batch.Archived != nil {
		results = s.readArchived(batch).Results
	}
	size := 0
	for i, result := range results {
		if !bound.allows(result) {
			return
		}
		if i < from {
			continue
		}
		size += len(result.Output)
		if request.isFull(len(response.Results), size) {
			response.More = true
			return
		}
		response.Results = append(response.Results, result)
	}
}

// isFull reports whether a page that has the given number of results can't take another one that brings
// its outputs to the given number of bytes. The byte limit does not apply to the first result.
func (r ReadRequest) isFull(results, bytes int) bool {
	if r.Limit > 0 && results >= r.Limit {
		return true
	}
	return r.MaxBytes > 0 && results > 0 && bytes > r.MaxBytes
}
