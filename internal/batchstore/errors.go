package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/replication"
)

// The errors of a store's calls. All but errUnknownOutcome promise that nothing was
// written.

// How long callers should wait before they retry, in microseconds.
const (
	retryAfterMove   = clock.Second            // the shard moves to another store
	retryAfterUpdate = 200 * clock.Millisecond // the reader learns the new epoch
	retryAfterDrain  = 2 * clock.Second
	retryAfterFull   = 5 * clock.Second
)

const remedyNewKey = "use a new idempotency key for another body"

func errNotServing(store string, shardIndex int, role replication.Role) error {
	return errs.NewWithRetry(errs.NotReady, retryAfterMove,
		"retry: the shard is moving to another store, or its replicas are being filled",
		"store %s does not serve shard %d now (%s)", store, shardIndex, role)
}

func errNoLease(store string, shardIndex int) error {
	return errs.NewWithRetry(errs.NotReady, retryAfterMove,
		"retry: the shard moves to another store, or its replicas answer again",
		"store %s has no valid lease on shard %d", store, shardIndex)
}

func errStaleEpoch(shardIndex int, current, requested uint64) error {
	return errs.NewWithRetry(errs.NotReady, retryAfterUpdate,
		"retry: the reader receives the new epoch soon",
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
		"retry after the given time",
		"store %s has as many unfinished items as it may have", store)
}

func errBatchKeyReused(batch string) error {
	return errs.New(errs.Conflict, remedyNewKey, "the key was used for another body (batch %s)", batch)
}

func errClaimKeyReused() error {
	return errs.New(errs.Conflict, remedyNewKey, "the key was used for another body")
}

func errNoSuchBatch(batch string) error {
	return errs.New(errs.NotFound,
		"check the batch's ID and the tenant's key",
		"this tenant has no batch %s", batch)
}

func errNoPendingItem(batch, item string) error {
	return errs.New(errs.NotFound,
		"nothing to do: it has its result, its batch has ended, or there never was such an item",
		"batch %s has no item %s without a result", batch, item)
}

func errUnknownCall(body any) error {
	return errs.New(errs.BadInput,
		"run the same release on all daemons",
		"a store does not know requests of type %T", body)
}

func errUnknownOutcome(reason string) error {
	return errs.NewWithRetry(errs.OutcomeUnknown, retryAfterMove,
		"retry with the same idempotency key",
		"it is not known whether this was made durable: %s", reason)
}

// errInjectedRejection is the error of InjectedFaults.RejectAfterWrite: it breaks the promise
// of its kind.
func errInjectedRejection() error {
	return errs.NewWithRetry(errs.NotReady, retryAfterMove, "retry", "rejected after the write by an injected fault")
}
