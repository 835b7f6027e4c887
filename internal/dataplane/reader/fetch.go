package reader

import (
	"maps"
	"slices"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// tokenScope is what a token is valid for: the results of one batch, or a tenant's feed.
func tokenScope(fleet, subject string) string { return fleet + "/" + subject }

// fetchPage fetches one page from the stores. The timeout is for each store's answer.
func (r *Reader) fetchPage(request Request, timeout, now clock.Micros, callback func(Page, error, clock.Micros)) {
	if request.BatchID != "" {
		r.fetchBatch(request, timeout, now, callback)
		return
	}
	r.fetchFeed(request, timeout, now, callback)
}

// fetchBatch reads one batch's results, after a token or from an index on. Where there are none as
// far as this daemon knows the writer's position, and the store tells a later one, it reads once
// more.
func (r *Reader) fetchBatch(request Request, timeout, now clock.Micros, callback func(Page, error, clock.Micros)) {
	r.fetchBatchOnce(request, timeout, now, func(page Page, positionAdvanced bool, err error, now clock.Micros) {
		if err != nil || page.isReady() || !positionAdvanced {
			callback(page, err, now)
			return
		}
		r.fetchBatchOnce(request, timeout, now, func(page Page, _ bool, err error, now clock.Micros) { callback(page, err, now) })
	})
}

// fetchBatchOnce asks the batch's store once, and tells whether that told a later position than was
// known.
func (r *Reader) fetchBatchOnce(request Request, timeout, now clock.Micros, callback func(page Page, positionAdvanced bool, err error, now clock.Micros)) {
	shardIndex, owner, err := r.Locate(request.BatchID)
	if err != nil {
		callback(Page{}, false, err, now)
		return
	}
	scope := tokenScope(r.shardMap.Fleet, request.BatchID)
	from, err := token.Parse(scope, request.Token)
	if err != nil {
		callback(Page{}, false, err, now)
		return
	}
	after := from.Vector()
	read := r.batchReadRequest(request, shardIndex, owner, after)
	r.calls.Request(owner.Peer, read, timeout, func(body any, err error, now clock.Micros) {
		response, err := toReadResponse(body, err)
		if err != nil {
			callback(Page{}, false, err, now)
			return
		}
		page := batchPage(response)
		if !request.ByIndex {
			advance(after, response.Results)
			page.NextToken = token.NewToken(scope, after).String()
		}
		callback(page, r.positions.Advance(response.Writer, response.PersistedUpTo), nil, now)
	})
}

func (r *Reader) batchReadRequest(request Request, shardIndex int, owner token.Owner, after token.Vector) batchstore.ReadRequest {
	return batchstore.ReadRequest{
		Shards:   map[int]uint64{shardIndex: owner.Epoch},
		Batch:    request.BatchID,
		By:       request.Access,
		After:    after,
		Bound:    map[int]token.Vector{shardIndex: r.positions.ReadableInShard(shardIndex)},
		Limit:    request.Limit,
		Indexed:  request.ByIndex,
		From:     request.FromIndex,
		MaxBytes: request.MaxBytes,
	}
}

func batchPage(response batchstore.ReadResponse) Page {
	return Page{
		Results:    response.Results,
		State:      response.State,
		ItemCount:  response.Items,
		HasMore:    response.More,
		FirstIndex: response.Index,
	}
}

// toReadResponse is a store's response, or what went wrong. Reading changes nothing, so a
// read with an unknown outcome may be retried like any other.
func toReadResponse(body any, err error) (batchstore.ReadResponse, error) {
	if errs.Is(err, errs.OutcomeUnknown) {
		return batchstore.ReadResponse{}, errs.NewWithRetry(errs.NotReady, clock.Second, "retry with the same token", "the store gave no answer: %v", err)
	}
	if err != nil {
		return batchstore.ReadResponse{}, err
	}
	response, ok := body.(batchstore.ReadResponse)
	if !ok {
		return response, errs.New(errs.ServerFault, "run the same release on all daemons", "the store answered %T", body)
	}
	return response, nil
}

// feedRead collects the stores' responses for one page of a feed.
type feedRead struct {
	page        Page
	err         error // of a store
	outstanding int   // responses still to come
}

// fetchFeed reads all of a tenant's batches after a token. Each store is asked for the
// shards that it serves.
func (r *Reader) fetchFeed(request Request, timeout, now clock.Micros, callback func(Page, error, clock.Micros)) {
	if r.shardMap.Fleet == "" {
		callback(Page{}, noClusterMapError(), now)
		return
	}
	scope := tokenScope(r.shardMap.Fleet, feedPrefix+request.Access.Tenant)
	from, err := token.Parse(scope, request.Token)
	if err != nil {
		callback(Page{}, err, now)
		return
	}
	upTo, complete := r.positions.ReadableUpTo()
	if !complete {
		callback(Page{}, errs.NewWithRetry(errs.NotReady, clock.Second, "retry with the same token", "a shard moves to another store; the feed goes on when it has"), now)
		return
	}
	after := from.Vector()
	requests := r.feedRequests(request, after, upTo)
	read := &feedRead{outstanding: len(requests)}
	for _, peer := range slices.Sorted(maps.Keys(requests)) {
		r.calls.Request(peer, requests[peer], timeout, read.collect(func(now clock.Micros) {
			if read.err != nil {
				callback(Page{}, read.err, now)
				return
			}
			next := finishPage(&read.page, after, upTo, request.Limit)
			read.page.NextToken = token.NewToken(scope, next).String()
			callback(read.page, nil, now)
		}))
	}
}

// collect takes one store's response; done is called with the last.
func (f *feedRead) collect(done func(now clock.Micros)) machine.Callback {
	return func(body any, err error, now clock.Micros) {
		response, err := toReadResponse(body, err)
		if err != nil {
			f.err = err
		}
		f.page.Results = append(f.page.Results, response.Results...)
		f.page.HasMore = f.page.HasMore || response.More
		f.outstanding--
		if f.outstanding == 0 {
			done(now)
		}
	}
}

// feedRequests are the requests for one page of a feed, by the stores' addresses.
func (r *Reader) feedRequests(request Request, after, upTo token.Vector) map[string]batchstore.ReadRequest {
	requests := map[string]batchstore.ReadRequest{}
	for shardIndex := range r.shardMap.Shards {
		owner, ok := r.positions.Owner(shardIndex)
		if !ok {
			continue
		}
		read, known := requests[owner.Peer]
		if !known {
			read = batchstore.ReadRequest{
				Shards: map[int]uint64{},
				By:     request.Access,
				After:  after,
				Bound:  map[int]token.Vector{},
				Limit:  request.Limit,
			}
		}
		read.Shards[shardIndex] = owner.Epoch
		read.Bound[shardIndex] = upTo
		requests[owner.Peer] = read
	}
	return requests
}
