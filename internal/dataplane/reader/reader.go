// Package reader reads results for callers: the results of one batch, or the feed over
// all batches of a tenant (docs/DESIGN.md section 6.5). Results come in pages; a token
// in each says where the next one begins.
//
// A read that finds nothing may wait: it is polled again when the stores announce new
// positions (wakeups.go), until there is something to return or its time is up. Pages are
// fetched from the stores that own the batches' shards (fetch.go). No result is returned
// above the positions that the stores announced as persisted, so a token never skips one.
//
// Reader is a part of an edge's state machine: time comes in with each call, messages go
// out as effects of machine.Calls. It is not safe for concurrent use.
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

// InjectedFaults switch single safeguards off. They are set by tests only, which check
// that a run without the safeguard violates a guarantee.
type InjectedFaults struct {
	// SkipWakeups leaves pending reads alone when new positions are announced.
	SkipWakeups bool
}

// Reader is one daemon's reads.
type Reader struct {
	// MinPollInterval is the least time between two polls of one pending read; default
	// 40 ms. Every store announces its positions often, and many reads must not poll at
	// each announcement.
	MinPollInterval clock.Micros
	// PollInterval is after how long a read of a batch that waits is polled again though nothing
	// was announced; 0, the default: it is not. Stores may announce their positions seldom, since
	// each announcement goes to every daemon; a poll brings the position of the one that matters.
	PollInterval clock.Micros
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	calls     *machine.Calls
	positions *token.KnownPositions // what the stores announced
	shardMap  state.Map             // Seq 0 before any is known
	pending   pendingReads
}

// New makes a reader.
func New(calls *machine.Calls) *Reader {
	return &Reader{
		MinPollInterval: defaultMinPollInterval,
		calls:           calls,
		positions:       token.NewKnownPositions(),
		pending:         newPendingReads(),
	}
}

// Receive takes the updates that concern reading: cluster maps and the stores'
// announcements. Others are ignored.
func (r *Reader) Receive(update machine.Update, now clock.Micros) {
	if !r.apply(update) {
		return
	}
	r.wakePending(now)
	r.pollDue(now)
}

// apply takes an update; it returns whether more may be readable after it.
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

// setShardMap takes a cluster map; false where it is no newer than the known one.
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

// Start reads a page. The callback is called once: with the page, or with an error. A
// read that waits (MaxWait) is known by its ID until then.
func (r *Reader) Start(request Request, now clock.Micros, callback func(Page, error, clock.Micros)) {
	p := &pendingRead{
		Request:  request,
		callback: callback,
		waits:    request.MaxWait > 0,
		deadline: now + request.MaxWait,
	}
	if p.waits {
		r.pending.add(p)
	}
	r.poll(p, now)
}

// CallerDisconnected is the message that the caller of a read has disconnected.
type CallerDisconnected struct{ RequestID string }

// CancelRead ends a pending read: its callback gets an error, or what a poll that is
// under way still brings.
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

// Pending is how many reads wait.
func (r *Reader) Pending() int { return len(r.pending.byID) }

// Tick polls the pending reads that are due, and ends those whose time is up.
func (r *Reader) Tick(now clock.Micros) { r.pollDue(now) }

// ShardMap is the cluster map known here.
func (r *Reader) ShardMap() state.Map { return r.shardMap }

// IsReady tells whether every shard has a store that serves it.
func (r *Reader) IsReady() bool {
	_, complete := r.positions.ReadableUpTo()
	return complete
}

// Locate finds the shard of a batch or idempotency claim by its id, and the store that
// serves it. Its error is of kind errs.NotReady.
func (r *Reader) Locate(id string) (shardIndex int, owner token.Owner, err error) {
	if len(r.shardMap.Shards) == 0 {
		return 0, token.Owner{}, noClusterMapError()
	}
	shardIndex = shard.ShardOf(id, len(r.shardMap.Shards))
	owner, ok := r.positions.Owner(shardIndex)
	if !ok {
		return shardIndex, owner, errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the shard moves to another store",
			"shard %d has no store now that keeps two copies", shardIndex)
	}
	return shardIndex, owner, nil
}

func noClusterMapError() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the daemon has just started", "no cluster map has arrived yet")
}
