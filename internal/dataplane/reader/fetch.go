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

// tokenScope returns the scope for which a token is valid: the results of one batch, or a
// tenant's feed.
func tokenScope(fleet, subject string) string { return fleet + "/" + subject }

// fetchPage fetches one page from the stores. The timeout applies to each store's response.
func (r *Reader) fetchPage(request Request, timeout, now clock.Micros, callback func(Page, error, clock.Micros)) {
	if request.BatchID != "" {
		r.fetchBatch(request, timeout, now, callback)
		return
	}
	r.fetchFeed(request, timeout, now, callback)
}

// fetchBatch reads one batch's results, after a token or from an index on. If there are none up to
// the writer's position known to this daemon, and the store's response contains a higher position, it
// reads a second time.
func (r *Reader) fetchBatch(request Request, timeout, now clock.Micros, callback func(Page, error, clock.Micros)) {
	r.fetchBatchOnce(request, timeout, now, func(page Page, positionAdvanced bool, err error, now clock.Micros) {
		if err != nil || page.isReady() || !positionAdvanced {
			callback(page, err, now)
			return
		}
		r.fetchBatchOnce(request, timeout, now, func(page Page, _ bool, err error, now clock.Micros) { callback(page, err, now) })
	})
}

// fetchBatchOnce sends one request to the batch's store. The callback also receives whether the
// response contained a higher position of the writer than the known one.
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

// toReadResponse returns the response of a store's reply, or an error. Reading changes nothing,
// so a read with an unknown outcome may be retried and its error becomes errs.NotReady.
func toReadResponse(body any, err error) (batchstore.ReadResponse, error) {
	if errs.Is(err, errs.OutcomeUnknown) {
		return batchstore.ReadResponse{}, errs.NewWithRetry(errs.NotReady, clock.Second, "retry with the same token", "no response from the store: %v", err)
	}
	if err != nil {
		return batchstore.ReadResponse{}, err
	}
	response, ok := body.(batchstore.ReadResponse)
	if !ok {
		return response, errs.New(errs.ServerFault, "run the same release on all daemons", "store sent a response of unexpected type %T", body)
	}
	return response, nil
}

// feedRead collects the stores' responses for one page of a feed.
type feedRead struct {
	page        Page
	err         error // the last error of a store
	outstanding int   // responses not received yet
}

// fetchFeed reads the results of all of a tenant's batches after a token. It requests from each
// store the shards that the store owns.
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
		callback(Page{}, errs.NewWithRetry(errs.NotReady, clock.Second, "retry with the same token", "a shard is moving to another store; the feed continues after the move"), now)
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

// collect returns a callback that adds one store's response to the page. The callback for the
// last response calls done.
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

// feedRequests returns the requests for one page of a feed, by the stores' addresses.
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
