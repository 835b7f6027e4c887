// Package reader reads results for callers: the results of one batch, or the feed of all
// batches of a tenant (docs/DESIGN.md section 6.5). Results are returned in pages; a token
// in each page says where the next one begins.
//
// A read that finds no results may wait: it is polled again when the stores announce new
// positions (wakeups.go), until there is something to return or its deadline passes. Pages
// are fetched from the stores that own the batches' shards (fetch.go). No result is returned
// above the positions that the stores announced as persisted, so a token never skips one.
//
// Reader is part of an edge's state machine: each call passes the current time, and messages
// are sent as effects of machine.Calls. It is not safe for concurrent use.
package reader

import (
	"encoding/json"
	"strings"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// InjectedFaults disable individual safeguards. They are set by tests only, which verify
// that a run without the safeguard violates a guarantee.
type InjectedFaults struct {
	// SkipWakeups disables the polls of pending reads when new positions are announced.
	SkipWakeups bool
}

// Reader handles the reads of one daemon.
type Reader struct {
	// MinPollInterval is the minimum time between two polls of one pending read; default
	// 40 ms. Every store announces its positions often, and many pending reads must not all
	// be polled at each announcement.
	MinPollInterval clock.Micros
	// PollInterval is the interval at which a pending read of a batch is polled without an
	// announcement; 0, the default, disables these polls. Stores may announce their positions
	// rarely, since each announcement goes to every daemon; the response to a poll contains the
	// position of the only store that matters for the read.
	PollInterval clock.Micros
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	calls     *machine.Calls
	positions *token.KnownPositions // as announced by the stores
	shardMap  state.Map             // Seq is 0 until a map is received
	pending   pendingReads
	stopping  bool // no read waits for results
}

// New returns a Reader that sends its requests through calls.
func New(calls *machine.Calls) *Reader {
	return &Reader{
		MinPollInterval: defaultMinPollInterval,
		calls:           calls,
		positions:       token.NewKnownPositions(),
		pending:         newPendingReads(),
	}
}

// Receive handles the updates that affect reading: cluster maps and the stores'
// announcements. Other updates are ignored.
func (r *Reader) Receive(update machine.Update, now clock.Micros) {
	if !r.apply(update) {
		return
	}
	r.wakePending(now)
	r.pollDue(now)
}

// apply applies an update and reports whether more results may be readable after it.
func (r *Reader) apply(update machine.Update) bool {
	switch {
	case update.Key == state.MapKey:
		return r.setShardMap(update.Value)
	case strings.HasPrefix(update.Key, token.KeyPrefix):
		return r.positions.Receive(update)
	default:
		return false
	}
}

// setShardMap replaces the cluster map. It returns false if the new one can't be decoded or is not
// newer than the known one.
func (r *Reader) setShardMap(value []byte) bool {
	var m state.Map
	if json.Unmarshal(value, &m) != nil || m.Seq <= r.shardMap.Seq {
		return false
	}
	r.shardMap = m
	epochs := make([]uint64, len(m.Shards))
	for i, assignment := range m.Shards {
		epochs[i] = assignment.Epoch
	}
	r.positions.SetShardEpochs(epochs)
	return true
}

// Start reads a page. The callback is called once, with the page or with an error. Until
// then, CancelRead can end a read with a MaxWait by its ID.
func (r *Reader) Start(request Request, now clock.Micros, callback func(Page, error, clock.Micros)) {
	p := &pendingRead{
		Request:  request,
		callback: callback,
		waits:    request.MaxWait > 0 && !r.stopping,
		deadline: now + request.MaxWait,
	}
	if p.waits {
		r.pending.add(p)
	}
	r.poll(p, now)
}

// CallerDisconnected reports that the caller of a read has disconnected.
type CallerDisconnected struct{ RequestID string }

// CancelRead ends a pending read. Its callback is called with an error, or with the outcome of
// the poll if one is in flight.
func (r *Reader) CancelRead(disconnected CallerDisconnected) {
	p := r.pending.byID[disconnected.RequestID]
	if p == nil {
		return
	}
	r.pending.remove(p.ID)
	p.waits = false
	if !p.inFlight {
		p.callback(Page{}, errs.New(errs.NotReady, "retry with the same token", "the caller disconnected"), 0)
	}
}

// EndWaits makes no read wait for results from now on, because the daemon stops: the pending ones end
// with what can be read now.
func (r *Reader) EndWaits(now clock.Micros) {
	r.stopping = true
	for _, p := range r.pending.inOrder() {
		r.endWait(p, now)
	}
}

// Pending returns the number of pending reads.
func (r *Reader) Pending() int { return len(r.pending.byID) }

// Tick polls the pending reads that are due, and ends those whose deadline has passed.
func (r *Reader) Tick(now clock.Micros) { r.pollDue(now) }

// ShardMap returns the latest cluster map received.
func (r *Reader) ShardMap() state.Map { return r.shardMap }

// IsReady reports whether every shard has a known owner.
func (r *Reader) IsReady() bool {
	_, complete := r.positions.ReadableUpTo()
	return complete
}

// Locate returns the shard of a batch or idempotency claim with the given ID, and the store
// that owns the shard. Its error is of kind errs.NotReady.
func (r *Reader) Locate(id string) (shardIndex int, owner token.Owner, err error) {
	if len(r.shardMap.Shards) == 0 {
		return 0, token.Owner{}, noClusterMapError()
	}
	shardIndex = shard.ShardOf(id, len(r.shardMap.Shards))
	owner, ok := r.positions.Owner(shardIndex)
	if !ok {
		return shardIndex, owner, errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the shard is moving to another store",
			"shard %d currently has no store that keeps two copies of its data", shardIndex)
	}
	return shardIndex, owner, nil
}

func noClusterMapError() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the daemon has just started", "no cluster map has been received yet")
}
