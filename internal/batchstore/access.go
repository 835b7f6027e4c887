package batchstore

import "tuliprudder/internal/batchstore/shard"

// Access determines which batches a call may access. It is sent between daemons, so the names of its
// fields must not change.
type Access struct {
	// Tenant is the tenant of the caller's API key; "" if there is none.
	Tenant string
	// WithoutTenant also allows batches that belong to no tenant, by their ID alone.
	WithoutTenant bool
	// AnyTenant allows every batch of opaque requests by its ID alone. It is set where callers are
	// not identified by API keys.
	AnyTenant bool
}

// allows reports whether a call may use a batch, or learn that it exists.
func (a Access) allows(batch *shard.Batch) bool {
	switch {
	case batch.HasNoTenant():
		return a.WithoutTenant || a.AnyTenant
	case a.AnyTenant && batch.IsForwarded():
		return true
	}
	return batch.Tenant == a.Tenant
}

// findBatch returns a batch if the call may use it, and otherwise a NotFound error.
func (sh servedShard) findBatch(id string, by Access) (*shard.Batch, error) {
	batch := sh.state.Batches[id]
	if batch == nil || !by.allows(batch) {
		return nil, errNoSuchBatch(id)
	}
	return batch, nil
}
