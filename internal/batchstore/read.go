package batchstore

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
)

// readResults replies with results of one batch, or of all batches of a tenant in some
// shards: those after a vector of positions, or those from an index of the batch's list on.
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

// sortAndLimit puts the results into the order of their positions and cuts the page at the
// limit; 0 is no limit.
func (r *ReadResponse) sortAndLimit(limit int) {
	slices.SortStableFunc(r.Results, func(a, b shard.Result) int { return cmp.Compare(a.Position, b.Position) })
	if limit > 0 && len(r.Results) > limit {
		r.Results = r.Results[:limit]
		r.More = true
	}
}

// readBound is up to which positions a reader may read a shard.
type readBound struct {
	announced     token.Vector // by writer, as the reader has received them
	writer        int          // this store
	persistedUpTo int64        // of this store in this shard
}

func (s *Store) readBoundFor(request ReadRequest, shardIndex int) readBound {
	return readBound{
		announced:     request.Bound[shardIndex],
		writer:        s.identity.Writer,
		persistedUpTo: max(s.positions.PersistedUpTo(), s.shard(Unit(shardIndex)).ownPositionAtTakeover),
	}
}

// allows tells whether the reader may have a result: it never reads past the last position
// that it has received of a writer, nor past what is durable here.
func (b readBound) allows(result shard.Result) bool {
	if result.Writer == b.writer && result.Position > b.persistedUpTo {
		return false
	}
	return result.Position <= b.announced[result.Writer]
}

// allowsAll tells whether the reader may have all results of a batch.
func (b readBound) allowsAll(batch *shard.Batch) bool {
	if batch.Archived != nil { // so all of them are durable
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

// readBatch adds the results and the state of one batch. To a reader that may not have all
// results yet, the batch is open.
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

// readAfter adds a batch's results after a vector of positions.
func (s *Store) readAfter(batch *shard.Batch, after token.Vector, bound readBound, response *ReadResponse) {
	for _, result := range s.resultsAfter(batch, after) {
		if result.Position > after[result.Writer] && bound.allows(result) {
			response.Results = append(response.Results, result)
		}
	}
}

// resultsAfter are a batch's results, if any may lie after a vector of positions: the
// archive is read only then.
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

// readFromIndex adds a batch's results from an index of its list on. A result keeps its
// index for good, so the page ends at the first result that the reader may not have yet
// (docs/DESIGN.md §12.5).
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

// isFull tells whether a page of a number of results has no room for one that makes its
// outputs a number of bytes. The first result always has room.
func (r ReadRequest) isFull(results, bytes int) bool {
	if r.Limit > 0 && results >= r.Limit {
		return true
	}
	return r.MaxBytes > 0 && results > 0 && bytes > r.MaxBytes
}
