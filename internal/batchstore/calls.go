package batchstore

import (
	"sort"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Call is an ask that came in; its answer carries the number.
type Call struct {
	Number uint64
	Body   any
}

// Apply answers the ask by its type.
func (c Call) Apply(k *Store, now clock.Micros) {
	if k.rejectsWhileUnwritable(c) {
		return
	}
	switch ask := c.Body.(type) {
	case SubmitRequest:
		k.submit(c.Number, ask, now)
	case EndRequest:
		k.endBatch(c.Number, ask, now)
	case BatchStatusRequest:
		k.replyBatchStatus(c.Number, ask, now)
	case ReadRequest:
		k.Reads++
		k.readResults(c.Number, ask, now)
	case ItemBodyRequest:
		k.replyItemBody(c.Number, ask, now)
	case ClaimRequest:
		k.beginClaim(c.Number, ask, now)
	case CompleteClaimRequest:
		k.completeClaim(c.Number, ask, now)
	case StatusRequest:
		k.Emit(machine.Reply{Call: c.Number, Body: k.status()})
	default:
		k.Emit(machine.Reply{Call: c.Number, Err: errs.New(errs.BadInput, "run the same release on all daemons", "a store knows no such ask: %T", ask)})
	}
}

func (k *Store) replyError(call uint64, err error) { k.Emit(machine.Reply{Call: call, Err: err}) }

// servingShard turns away what this store can't serve; nothing was written by then.
// Without a fresh lease it may have been deposed without knowing: then it would
// deny batches that its successor has accepted.
func (k *Store) servingShard(call uint64, shard int, now clock.Micros) (*shardState, *replication.Group, bool) {
	unit := Unit(shard)
	group := k.groups.Group(unit)
	if group.Role != replication.Serving {
		k.replyError(call, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again: the slot is passing to a keeper with two disks", "store %s does not serve slot %d now (%s)", k.self.ID, shard, group.Role))
		return nil, nil, false
	}
	if now >= group.LeaseUntil() && !k.SkipLease {
		k.replyError(call, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again: the slot passes on, or its backup answers again", "store %s has no fresh lease on slot %d", k.self.ID, shard))
		return nil, nil, false
	}
	return k.shard(unit), group, true
}

func (k *Store) submit(call uint64, request SubmitRequest, now clock.Micros) {
	p, group, ok := k.servingShard(call, request.Shard, now)
	if !ok {
		return
	}
	acknowledgement := SubmitResponse{Batch: request.Batch.ID, Items: len(request.Batch.Items), Store: k.self.ID}
	if known := p.state.Batches[request.Batch.ID]; known != nil {
		if known.Hash != request.Batch.Hash {
			k.replyError(call, errs.New(errs.Conflict, "use a new idempotency key for another body", "the key was used for another body (bundle %s)", known.ID))
			return
		}
		acknowledgement.Repeated = true
		// Its entry may still be open: the acknowledgement waits for the last one.
		if group.Unconfirmed() > 0 {
			k.replyWhenConfirmed(group.Unit, group.Seq, call, now+request.Timeout, acknowledgement)
		} else {
			k.Emit(machine.Reply{Call: call, Body: acknowledgement})
		}
		return
	}
	if k.draining {
		k.replyError(call, errs.NewWithRetry(errs.NotReady, 2*clock.Second, "ask again: the slot passes on", "store %s is draining", k.self.ID))
		return
	}
	if k.openItems()+len(request.Batch.Items) > k.set.MaxItems {
		k.replyError(call, errs.NewWithRetry(errs.Busy, 5*clock.Second, "come back after the time given", "store %s has as many waiting items as it may", k.self.ID))
		return
	}
	batch := request.Batch
	batch.State, batch.SubmittedAt, batch.Results = shard.Open, now, nil
	seq := k.appendEntry(group.Unit, shard.SubmitBatch{Batch: batch}, now)
	k.BatchesSubmitted++
	if k.submittedBatches[group.Unit] == nil {
		k.submittedBatches[group.Unit] = map[uint64]string{}
	}
	k.submittedBatches[group.Unit][seq] = batch.ID
	if k.RejectAfterWrite && len(batch.Items)%2 == 0 {
		k.replyError(call, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again", "turned away too late"))
		return
	}
	k.replyWhenConfirmed(group.Unit, seq, call, now+request.Timeout, acknowledgement)
}

// HasBatch tells whether a batch is in a shard's ledger here, confirmed or not.
func (k *Store) HasBatch(shard int, batch string) bool {
	p := k.shards[Unit(shard)]
	return p != nil && p.state.Batches[batch] != nil
}

func (k *Store) openItems() int {
	count := 0
	for _, group := range k.groups.All() {
		if !group.IsPrimary() {
			continue
		}
		for _, batch := range k.shard(group.Unit).state.Batches {
			if batch.State == shard.Open {
				count += len(batch.Items) - len(batch.Results)
			}
		}
	}
	return count
}

// findBatch finds a tenant's batch. Anyone finds one that was handed in without a
// key, by its name; a tenant's stays its own.
func (k *Store) findBatch(call uint64, p *shardState, id, tenant string, anyTenant bool) (*shard.Batch, bool) {
	batch := p.state.Batches[id]
	if batch == nil || !(anyTenant && batch.Key == "") && batch.Tenant != tenant {
		k.replyError(call, errs.New(errs.NotFound, "check the bundle's name and the customer's key", "no bundle %s of this customer", id))
		return nil, false
	}
	return batch, true
}

func (k *Store) endBatch(call uint64, request EndRequest, now clock.Micros) {
	p, group, ok := k.servingShard(call, request.Shard, now)
	if !ok {
		return
	}
	batch, ok := k.findBatch(call, p, request.Batch, request.Tenant, request.AnyTenant)
	if !ok {
		return
	}
	seq := group.Seq
	if batch.State == shard.Open {
		seq = k.appendEntry(group.Unit, shard.EndBatch{Batch: request.Batch, At: now}, now)
		k.Emit(machine.Execute{Task: CancelItems{Batch: request.Batch, Shard: -1}})
	}
	answer := k.batchStatus(p, group, batch)
	if group.Unconfirmed() > 0 {
		k.replyWhenConfirmed(group.Unit, seq, call, now+request.Timeout, answer)
		return
	}
	k.Emit(machine.Reply{Call: call, Body: answer})
}

func (k *Store) batchStatus(p *shardState, group *replication.Group, b *shard.Batch) BatchStatus {
	items, results := b.Counts()
	return BatchStatus{Batch: b.ID, Route: b.Route, State: string(b.State), Items: items, Finished: results,
		Store: k.self.ID, Writer: k.writer, Shard: p.shard, Epoch: group.Epoch, Replicas: group.Peers(), SubmittedAt: b.SubmittedAt, Tenant: b.Tenant}
}

func (k *Store) replyBatchStatus(call uint64, request BatchStatusRequest, now clock.Micros) {
	p, group, ok := k.servingShard(call, request.Shard, now)
	if !ok {
		return
	}
	if known := p.state.Batches[request.Batch]; request.Operator && known != nil {
		request.Tenant = known.Tenant
	}
	if batch, ok := k.findBatch(call, p, request.Batch, request.Tenant, request.AnyTenant); ok {
		status := k.batchStatus(p, group, batch)
		if request.Operator {
			for _, result := range k.resultsAfter(batch, func(int) int64 { return 0 }) {
				result.Output = ""
				status.Results = append(status.Results, result)
			}
		}
		k.Emit(machine.Reply{Call: call, Body: status})
	}
}

// replyItemBody answers with the body of an item that may still run; once it is listed, or
// its batch has ended, the body is let go.
func (k *Store) replyItemBody(call uint64, request ItemBodyRequest, now clock.Micros) {
	p, _, ok := k.servingShard(call, request.Shard, now)
	if !ok {
		return
	}
	if batch := p.state.Batches[request.Batch]; batch != nil {
		if item, waits := batch.PendingItem(request.Item); waits && item.Request != nil {
			k.Emit(machine.Reply{Call: call, Body: ItemBodyResponse{Body: item.Request.Body}})
			return
		}
	}
	k.replyError(call, errs.New(errs.NotFound, "nothing to do: it has its result, its bundle has ended, or there never was such an item", "no item %s of bundle %s waits", request.Item, request.Batch))
}

// readResults answers "all rows after the token", within the reader's bounds. The
// shards' epochs have to be the reader's: a deposed store would leave rows out.
func (k *Store) readResults(call uint64, request ReadRequest, now clock.Micros) {
	var out ReadResponse
	upTo := k.positions.PersistedUpTo()
	shards := make([]int, 0, len(request.Shards))
	for shard := range request.Shards {
		shards = append(shards, shard)
	}
	sort.Ints(shards)
	for _, shardIndex := range shards {
		p, group, ok := k.servingShard(call, shardIndex, now)
		if !ok {
			return
		}
		if group.Epoch != request.Shards[shardIndex] {
			k.replyError(call, errs.NewWithRetry(errs.NotReady, 200*clock.Millisecond, "ask again: the reader hears of the new epoch soon", "slot %d is at epoch %d, not %d", shardIndex, group.Epoch, request.Shards[shardIndex]))
			return
		}
		if request.Batch != "" {
			batch, ok := k.findBatch(call, p, request.Batch, request.Tenant, request.AnyTenant)
			if !ok {
				return
			}
			if request.Indexed {
				k.readByIndex(batch, request, shardIndex, upTo, &out)
			} else {
				k.readAfterToken(batch, request, shardIndex, upTo, &out)
			}
			out.State = string(batch.State)
			out.Items, _ = batch.Counts()
			if k.hasHiddenResults(batch, request, shardIndex, upTo) {
				out.State = string(shard.Open) // not whole to this reader yet
			}
			continue
		}
		for _, id := range sortedBatches(p.state) {
			if batch := p.state.Batches[id]; batch.Tenant == request.Tenant {
				k.readAfterToken(batch, request, shardIndex, upTo, &out)
			}
		}
	}
	if !request.Indexed { // a list read by index is in its own order, and cut already
		sort.SliceStable(out.Results, func(i, j int) bool { return out.Results[i].Position < out.Results[j].Position })
	}
	if !request.Indexed && request.Limit > 0 && len(out.Results) > request.Limit {
		out.Results, out.More = out.Results[:request.Limit], true
	}
	k.Emit(machine.Reply{Call: call, Body: out})
}

// hasHiddenResults tells whether the list has rows that the reader may not read yet.
func (k *Store) hasHiddenResults(batch *shard.Batch, request ReadRequest, shardIndex int, upTo int64) bool {
	if batch.Archived != nil {
		for writer, last := range batch.Archived.LastPositions {
			if last > request.Bound[shardIndex][writer] {
				return true
			}
		}
		return false
	}
	for _, result := range batch.Results {
		if !k.isReadable(result, request.Bound[shardIndex], upTo) {
			return true
		}
	}
	return false
}

// isReadable tells whether the reader may have a row: it never reads past the last
// position it has seen of a writer.
func (k *Store) isReadable(result shard.Result, bound token.Vector, upTo int64) bool {
	return result.Position <= bound[result.Writer] && (result.Writer != k.writer || result.Position <= upTo)
}

// readByIndex reads a batch's list from an index on: an index stays the same row's for
// good, so it stops at the first row that the reader may not have yet (DESIGN §12.5).
func (k *Store) readByIndex(batch *shard.Batch, request ReadRequest, shardIndex int, upTo int64, out *ReadResponse) {
	from := max(0, request.From)
	out.Index = from
	if _, count := batch.Counts(); from >= count {
		return
	}
	results := batch.Results
	if batch.Archived != nil {
		results = k.unarchive(batch).Results
	}
	size := 0
	for i, result := range results {
		if !k.isReadable(result, request.Bound[shardIndex], upTo) {
			return
		}
		if i < from {
			continue
		}
		size += len(result.Output)
		if n := len(out.Results); request.Limit > 0 && n >= request.Limit || request.MaxBytes > 0 && n > 0 && size > request.MaxBytes {
			out.More = true
			return
		}
		out.Results = append(out.Results, result)
	}
}

func (k *Store) readAfterToken(batch *shard.Batch, request ReadRequest, shardIndex int, upTo int64, out *ReadResponse) {
	bound := request.Bound[shardIndex]
	for _, result := range k.resultsAfter(batch, func(writer int) int64 { return request.After[writer] }) {
		if result.Position > request.After[result.Writer] && k.isReadable(result, bound, upTo) {
			out.Results = append(out.Results, result)
		}
	}
}

func (k *Store) beginClaim(call uint64, request ClaimRequest, now clock.Micros) {
	p, group, ok := k.servingShard(call, request.Shard, now)
	if !ok {
		return
	}
	id := shard.ClaimID(request.Claim.Tenant, request.Claim.Key)
	if known := p.state.Claims[id]; known != nil && known.State != shard.Voided {
		if known.Hash != request.Claim.Hash {
			k.replyError(call, errs.New(errs.Conflict, "use a new idempotency key for another body", "the key was used for another body"))
			return
		}
		answer := ClaimResponse{Yours: known.RequestID == request.Claim.RequestID, Claim: *known}
		if group.Unconfirmed() > 0 {
			k.replyWhenConfirmed(group.Unit, group.Seq, call, now+request.Timeout, answer)
		} else {
			k.Emit(machine.Reply{Call: call, Body: answer})
		}
		return
	}
	claim := request.Claim
	claim.State, claim.At = shard.Claimed, now
	seq := k.appendEntry(group.Unit, shard.BeginClaim{Claim: claim}, now)
	k.replyWhenConfirmed(group.Unit, seq, call, now+request.Timeout, ClaimResponse{Yours: true, Claim: claim})
}

func (k *Store) completeClaim(call uint64, request CompleteClaimRequest, now clock.Micros) {
	_, group, ok := k.servingShard(call, request.Shard, now)
	if !ok {
		return
	}
	seq := k.appendEntry(group.Unit, shard.CompleteClaim{ID: request.ID, State: request.State, Response: request.Response}, now)
	k.replyWhenConfirmed(group.Unit, seq, call, now+request.Timeout, CompleteClaimResponse{})
}

func (k *Store) status() StatusResponse {
	response := StatusResponse{Store: k.self.ID, Zone: k.self.Zone, Writer: k.writer, Incarnation: k.self.Incarnation,
		PersistedUpTo: k.positions.PersistedUpTo(), Next: k.positions.Next(), Unfinished: k.positions.Unfinished()}
	for _, group := range k.groups.All() {
		response.Shards = append(response.Shards, ShardStatus{Shard: shardOfUnit(group.Unit), Role: group.Role.String(), Epoch: group.Epoch, Seq: group.Seq, Open: group.Unconfirmed(), Batches: len(k.shard(group.Unit).state.Batches), Peer: group.Peer()})
	}
	return response
}
