package batchstore

import "tuliprudder/internal/batchstore/shard"

// Access says whose batches a call finds. It is sent between daemons: the names of its fields never
// change.
type Access struct {
	// Tenant is the one that the caller's API key names; "" for none.
	Tenant string
	// WithoutTenant finds batches that belong to no tenant, too, by their ID alone.
	WithoutTenant bool
	// AnyTenant finds every batch of opaque requests by its ID alone: callers are not known by keys.
	AnyTenant bool
}

// allows tells whether a call may use a batch, or learn that it is there.
func (a Access) allows(batch *shard.Batch) bool {
	switch {
	case batch.HasNoTenant():
		return a.WithoutTenant || a.AnyTenant
	case a.AnyTenant && batch.IsForwarded():
		return true
	}
	return batch.Tenant == a.Tenant
}

// findBatch returns a batch if the call may use it.
func (sh servedShard) findBatch(id string, by Access) (*shard.Batch, error) {
	batch := sh.state.Batches[id]
	if batch == nil || !by.allows(batch) {
		return nil, errNoSuchBatch(id)
	}
	return batch, nil
}
