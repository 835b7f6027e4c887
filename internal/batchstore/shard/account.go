package shard

import "cmp"

// AccountName identifies the account to which queued work is charged (docs/DESIGN.md §11.3). At least
// one field is set. It is sent between daemons, so the names of its fields must not change.
type AccountName struct {
	// Tenant owns the work; "" for batches that have no tenant.
	Tenant string
	// Route is the ID of the forwarded route of the batches, or the route's name where that is all that
	// is known; "" for work that is charged to one account over all routes.
	Route string
}

// AccountOf returns the account to which a batch's items are charged.
type AccountOf func(batch *Batch) AccountName

// BatchesOnly reports whether the account has only batch items, never live requests.
func (n AccountName) BatchesOnly() bool { return n.Route != "" }

// Compare orders names by tenant, then by route, so that the order is the same in every run.
func (n AccountName) Compare(other AccountName) int {
	return cmp.Or(cmp.Compare(n.Tenant, other.Tenant), cmp.Compare(n.Route, other.Route))
}

// String returns the name as it is shown to operators: the tenant, the route, or both.
func (n AccountName) String() string {
	if n.Tenant == "" || n.Route == "" {
		return n.Tenant + n.Route
	}
	return n.Tenant + "/" + n.Route
}
