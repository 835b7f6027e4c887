// Package reader follows the writers' lists for callers (DESIGN §6.5): per
// batch, and as one feed over all of a caller's batches. It is a part of the
// daemon's machine.
package reader

import (
	"encoding/json"
	"sort"
	"strings"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Reader is one reading daemon's side of the ledgers.
type Reader struct {
	calls        *machine.Calls
	positions    *token.PositionView
	shardMap     state.Map
	pending      map[string]*pendingRead // reads that wait for rows, by name
	arrivalOrder []string                // the same in the order they came
	// MinPollInterval is the least time between two asks of one reader that waits: every
	// writer's word turns the view, and many readers must not ask at each of them.
	MinPollInterval clock.Micros
	// SkipWakeups is a fault planted by tests: the view's turns wake nobody.
	SkipWakeups bool
}

// Request is a page that a caller wants: of one batch's list, or of the feed over
// all its batches. An empty page waits for rows until Wait is over.
type Request struct {
	ID      string // to give it up by
	Tenant  string
	BatchID string // "" for the feed
	Token   string
	Limit   int
	MaxWait clock.Micros
	// ByIndex reads one batch's list from the index From on, without a token: at
	// most MaxBytes of outputs (0: no bound), but at least one row.
	ByIndex   bool
	FromIndex int
	MaxBytes  int
	AnyTenant bool // the caller carries no key: a batch without one is found by its name alone
}

type pendingRead struct {
	Request
	callback    func(Page, error, clock.Micros)
	deadline    clock.Micros
	pollAt      clock.Micros // not asked again before; 0: only once the view turns
	polledAt    clock.Micros
	inFlight    bool
	failedPolls int // asks in a row that no store answered in time
}

// defaultMinPollInterval is MinPollInterval where nothing else is set.
const defaultMinPollInterval = 40 * clock.Millisecond

// transferPollInterval is the same while a shard passes on, where no word need turn the view.
const transferPollInterval = 100 * clock.Millisecond

// New makes a reader.
func New(calls *machine.Calls) *Reader {
	return &Reader{calls: calls, positions: token.NewPositionView(), pending: map[string]*pendingRead{}, MinPollInterval: defaultMinPollInterval}
}

// Receive takes the updates that concern reading.
func (r *Reader) Receive(update machine.Update, now clock.Micros) {
	switch {
	case update.Key == state.MapKey:
		var m state.Map
		if json.Unmarshal(update.Value, &m) != nil || m.Seq <= r.shardMap.Seq {
			return
		}
		r.shardMap = m
		epochs := make([]uint64, len(m.Shards))
		for i, assignment := range m.Shards {
			epochs[i] = assignment.Epoch
		}
		r.positions.SetMap(epochs)
	case strings.HasPrefix(update.Key, token.KeyPrefix):
		if !r.positions.Receive(update) {
			return
		}
	default:
		return
	}
	for _, id := range r.arrivalOrder {
		if p := r.pending[id]; !r.SkipWakeups && p != nil && (p.pollAt == 0 || p.pollAt > p.polledAt+r.MinPollInterval) {
			p.pollAt = max(now, p.polledAt+r.MinPollInterval)
		}
	}
	r.pollDue(now)
}

// Start reads a page; back is told once.
func (r *Reader) Start(request Request, now clock.Micros, callback func(Page, error, clock.Micros)) {
	p := &pendingRead{Request: request, callback: callback, deadline: now + request.MaxWait}
	if request.MaxWait > 0 {
		r.pending[request.ID] = p
		r.arrivalOrder = append(r.arrivalOrder, request.ID)
	}
	r.poll(p, now)
}

// CallerLeft tells that a read's caller has gone.
type CallerLeft struct{ RequestID string }

// CancelRead gives a read up.
func (r *Reader) CancelRead(left CallerLeft) {
	if p := r.pending[left.RequestID]; p != nil {
		r.remove(left.RequestID)
		if p.MaxWait = 0; !p.inFlight {
			p.callback(Page{}, errs.New(errs.NotReady, "ask again with the same token", "the reader left"), 0)
		}
	}
}

func (r *Reader) remove(id string) {
	if r.pending[id] == nil {
		return
	}
	delete(r.pending, id)
	for i, p := range r.arrivalOrder {
		if p == id {
			r.arrivalOrder = append(r.arrivalOrder[:i], r.arrivalOrder[i+1:]...)
			return
		}
	}
}

// Pending is how many reads wait.
func (r *Reader) Pending() int { return len(r.pending) }

// Tick asks again for whom it is due, and ends the waits that are over.
func (r *Reader) Tick(now clock.Micros) { r.pollDue(now) }

func (r *Reader) pollDue(now clock.Micros) {
	for _, id := range append([]string(nil), r.arrivalOrder...) {
		p := r.pending[id]
		switch {
		case p == nil || p.inFlight:
		case now >= p.deadline:
			// A last look: the caller hears what there is now.
			r.remove(id)
			p.MaxWait = 0
			r.poll(p, now)
		case p.pollAt > 0 && now >= p.pollAt:
			r.poll(p, now)
		}
	}
}

func (r *Reader) poll(p *pendingRead, now clock.Micros) {
	p.inFlight, p.pollAt, p.polledAt = true, 0, now
	r.fetchPage(p.Request, p.pollTimeout(), now, func(page Page, err error, now clock.Micros) {
		p.inFlight = false
		if p.failedPolls++; err == nil {
			p.failedPolls = 0
		}
		notReady := errs.Is(err, errs.NotReady)
		complete := err == nil && (len(page.Results) > 0 || (page.State != "" && page.State != string(shard.Open)))
		if p.MaxWait == 0 || complete || (err != nil && !notReady) {
			r.remove(p.ID)
			p.callback(page, err, now)
			return
		}
		if notReady {
			p.pollAt = now + transferPollInterval
		}
	})
}

// ShardMap is the map as heard last.
func (r *Reader) ShardMap() state.Map { return r.shardMap }

// IsReady tells whether every shard has a store that serves it.
func (r *Reader) IsReady() bool {
	_, complete := r.positions.ReadableUpTo()
	return complete
}

// Locate is the shard of a batch or claim and who serves it.
func (r *Reader) Locate(id string) (int, token.Owner, error) {
	if len(r.shardMap.Shards) == 0 {
		return 0, token.Owner{}, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no map of the stores has arrived yet")
	}
	shardIndex := shard.ShardOf(id, len(r.shardMap.Shards))
	owner, ok := r.positions.Owner(shardIndex)
	if !ok {
		return shardIndex, owner, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the slot passes to another store", "slot %d has no store with two disks now", shardIndex)
	}
	return shardIndex, owner, nil
}

// Page is what a caller gets.
type Page struct {
	Results    []shard.Result
	NextToken  string
	State      string
	ItemCount  int
	HasMore    bool
	FirstIndex int // of the first row, where the list is read by index
}

func tokenScope(fleet, subject string) string { return fleet + "/" + subject }

// maxPollTimeout is how long a store may take. Reading changes nothing, so one that
// waits anyway asks anew sooner, and later each time: a lost message must not
// hold its rows back for longer than users bear.
const (
	maxPollTimeout      = 2 * clock.Second
	initialPollTimeout  = 400 * clock.Millisecond
	maxTimeoutDoublings = 3
)

func (p *pendingRead) pollTimeout() clock.Micros {
	if p.MaxWait == 0 {
		return maxPollTimeout
	}
	return min(maxPollTimeout, initialPollTimeout<<min(p.failedPolls, maxTimeoutDoublings))
}

func (r *Reader) fetchPage(request Request, timeout, now clock.Micros, callback func(Page, error, clock.Micros)) {
	if request.BatchID != "" {
		r.fetchBatch(request, timeout, now, callback)
		return
	}
	r.fetchFeed(request, timeout, now, callback)
}

// fetchBatch reads one batch's list after a token, or from an index on.
func (r *Reader) fetchBatch(request Request, timeout, now clock.Micros, callback func(Page, error, clock.Micros)) {
	fleet := r.shardMap.Fleet
	shardIndex, owner, err := r.Locate(request.BatchID)
	if err != nil {
		callback(Page{}, err, now)
		return
	}
	from, err := token.Parse(tokenScope(fleet, request.BatchID), request.Token)
	if err != nil {
		callback(Page{}, err, now)
		return
	}
	after := from.Vector()
	r.calls.Request(owner.Peer, batchstore.ReadRequest{Shards: map[int]uint64{shardIndex: owner.Epoch}, Batch: request.BatchID, Tenant: request.Tenant, AnyTenant: request.AnyTenant,
		After: after, Bound: map[int]token.Vector{shardIndex: r.positions.ReadableInShard(shardIndex)}, Limit: request.Limit,
		Indexed: request.ByIndex, From: request.FromIndex, MaxBytes: request.MaxBytes}, timeout, func(body any, err error, now clock.Micros) {
		response, err := readResponse(body, err)
		if err != nil {
			callback(Page{}, err, now)
			return
		}
		page := Page{Results: response.Results, State: response.State, ItemCount: response.Items, HasMore: response.More, FirstIndex: response.Index}
		if request.ByIndex {
			callback(page, nil, now)
			return
		}
		for _, result := range response.Results {
			after[result.Writer] = max(after[result.Writer], result.Position)
		}
		page.NextToken = token.NewToken(tokenScope(fleet, request.BatchID), after).String()
		callback(page, nil, now)
	})
}

// readResponse turns a store's answer into rows, or what went wrong into words for a
// reader: reading changes nothing, so asking again is always safe.
func readResponse(body any, err error) (batchstore.ReadResponse, error) {
	if err != nil {
		if m := errs.Of(err); m.Kind != errs.OutcomeUnknown {
			return batchstore.ReadResponse{}, err
		}
		return batchstore.ReadResponse{}, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again with the same token", "the store gave no answer: %v", err)
	}
	response, ok := body.(batchstore.ReadResponse)
	if !ok {
		return response, errs.New(errs.ServerFault, "run the same release on all daemons", "the store answered %T", body)
	}
	return response, nil
}

// fetchFeed reads all of a tenant's batches after a token.
func (r *Reader) fetchFeed(request Request, timeout, now clock.Micros, callback func(Page, error, clock.Micros)) {
	fleet := r.shardMap.Fleet
	if fleet == "" {
		callback(Page{}, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no map of the stores has arrived yet"), now)
		return
	}
	from, err := token.Parse(tokenScope(fleet, feedPrefix+request.Tenant), request.Token)
	if err != nil {
		callback(Page{}, err, now)
		return
	}
	after := from.Vector()
	requests, upTo, complete := FeedRequests(r.positions, len(r.shardMap.Shards), request.Tenant, after, request.Limit)
	if !complete {
		callback(Page{}, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again with the same token", "a slot passes to another store; the feed goes on when it has"), now)
		return
	}
	var page Page
	var failed error
	left := len(requests)
	peers := make([]string, 0, left)
	for peer := range requests {
		peers = append(peers, peer)
	}
	sort.Strings(peers)
	for _, peer := range peers {
		r.calls.Request(peer, requests[peer], timeout, func(body any, err error, now clock.Micros) {
			response, err := readResponse(body, err)
			if err != nil {
				failed = err
			}
			page.Results = append(page.Results, response.Results...)
			page.HasMore = page.HasMore || response.More
			if left--; left > 0 {
				return
			}
			if failed != nil {
				callback(Page{}, failed, now)
				return
			}
			page.NextToken = token.NewToken(tokenScope(fleet, feedPrefix+request.Tenant), FinishPage(&page, after, upTo, request.Limit)).String()
			callback(page, nil, now)
		})
	}
}

// FeedRequests works out whom to ask for what: each store for the shards it serves,
// up to the vector that may be read now.
func FeedRequests(positions *token.PositionView, shardCount int, tenant string, after token.Vector, limit int) (map[string]batchstore.ReadRequest, token.Vector, bool) {
	upTo, complete := positions.ReadableUpTo()
	requests := map[string]batchstore.ReadRequest{}
	for shardIndex := 0; shardIndex < shardCount; shardIndex++ {
		owner, ok := positions.Owner(shardIndex)
		if !ok {
			continue
		}
		request, known := requests[owner.Peer]
		if !known {
			request = batchstore.ReadRequest{Shards: map[int]uint64{}, Tenant: tenant, After: after, Bound: map[int]token.Vector{}, Limit: limit}
		}
		request.Shards[shardIndex], request.Bound[shardIndex] = owner.Epoch, upTo
		requests[owner.Peer] = request
	}
	return requests, upTo, complete
}

// FinishPage orders a page, cuts it, and works out the vector after it: where it was
// cut, each writer's last row on it; otherwise all that was readable.
func FinishPage(page *Page, after, upTo token.Vector, limit int) token.Vector {
	sort.SliceStable(page.Results, func(i, j int) bool {
		if page.Results[i].Position != page.Results[j].Position {
			return page.Results[i].Position < page.Results[j].Position
		}
		return page.Results[i].Writer < page.Results[j].Writer
	})
	if limit > 0 && len(page.Results) > limit {
		page.Results, page.HasMore = page.Results[:limit], true
	}
	next := token.Vector{}
	for writer, position := range after {
		next[writer] = position
	}
	if !page.HasMore {
		for writer, position := range upTo {
			next[writer] = max(next[writer], position)
		}
	}
	for _, result := range page.Results {
		next[result.Writer] = max(next[result.Writer], result.Position)
	}
	return next
}
