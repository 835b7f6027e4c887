package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/replication"
)

// This file has the errors of a store's calls. All of them guarantee that nothing was written, except
// errUnknownOutcome and errInjectedRejection.

// Delays after which callers should retry, in microseconds.
const (
	retryAfterMove   = clock.Second            // until the shard has moved to another store
	retryAfterUpdate = 200 * clock.Millisecond // until the reader has received the new epoch
	retryAfterDrain  = 2 * clock.Second
	retryAfterFull   = 5 * clock.Second
)

const remedyNewKey = "use a new idempotency key for another body"

func errNotServing(store string, shardIndex int, role replication.Role) error {
	return errs.NewWithRetry(errs.NotReady, retryAfterMove,
		"retry: the shard is moving to another store, or its replicas are receiving a snapshot",
		"store %s does not serve shard %d now (%s)", store, shardIndex, role)
}

func errNoLease(store string, shardIndex int) error {
	return errs.NewWithRetry(errs.NotReady, retryAfterMove,
		"retry: the lease is renewed once the replicas answer again, or the shard moves to another store",
		"store %s has no valid lease on shard %d", store, shardIndex)
}

func errStaleEpoch(shardIndex int, current, requested uint64) error {
	return errs.NewWithRetry(errs.NotReady, retryAfterUpdate,
		"retry: the reader will receive the new epoch shortly",
		"shard %d is at epoch %d, not %d", shardIndex, current, requested)
}

func errUnwritable(store, reason string) error {
	return errs.NewWithRetry(errs.NotReady, retryAfterMove,
		"retry: the shard is moving to another store",
		"store %s can't write: %s", store, reason)
}

func errDraining(store string) error {
	return errs.NewWithRetry(errs.NotReady, retryAfterDrain,
		"retry: the shard is moving to another store",
		"store %s is draining", store)
}

func errQueueFull(store string) error {
	return errs.NewWithRetry(errs.Busy, retryAfterFull,
		"retry after the indicated delay",
		"store %s has reached its limit of unfinished items", store)
}

func errBatchKeyReused(batch string) error {
	return errs.New(errs.Conflict, remedyNewKey, "the idempotency key was already used for another body (batch %s)", batch)
}

func errClaimKeyReused() error {
	return errs.New(errs.Conflict, remedyNewKey, "the idempotency key was already used for another body")
}

func errNoSuchBatch(batch string) error {
	return errs.New(errs.NotFound,
		"check the batch ID and the tenant's API key",
		"this tenant has no batch %s", batch)
}

func errNoPendingItem(batch, item string) error {
	return errs.New(errs.NotFound,
		"no action needed: the item has its result, its batch has ended, or the item never existed",
		"batch %s has no item %s without a result", batch, item)
}

func errUnknownCall(body any) error {
	return errs.New(errs.BadInput,
		"run the same release on all daemons",
		"the store does not support requests of type %T", body)
}

func errUnknownOutcome(reason string) error {
	return errs.NewWithRetry(errs.OutcomeUnknown, retryAfterMove,
		"retry with the same idempotency key",
		"it is unknown whether the request became durable: %s", reason)
}

// errInjectedRejection is the error of InjectedFaults.RejectAfterWrite. It deliberately violates the
// guarantee that a NotReady error means that nothing was written.
func errInjectedRejection() error {
	return errs.NewWithRetry(errs.NotReady, retryAfterMove, "retry", "rejected after the write by an injected fault")
}
