package shard

import "cmp"

// AccountName names the account that queued work counts in (docs/DESIGN.md §11.3). At least one of
// its fields is set. It is sent between daemons: the names of its fields never change.
type AccountName struct {
	// Tenant is whose work it is; "" for batches that have no tenant.
	Tenant string
	// Route is the forwarded route of the batches; "" for what counts in one account over all routes.
	Route string
}

// BatchesOnly tells whether no daemon queues live requests in the account.
func (n AccountName) BatchesOnly() bool { return n.Route != "" }

// Compare orders names in a way that doesn't differ between runs.
func (n AccountName) Compare(other AccountName) int {
	return cmp.Or(cmp.Compare(n.Tenant, other.Tenant), cmp.Compare(n.Route, other.Route))
}

// String is the name as operators see it: the tenant, the route, or both.
func (n AccountName) String() string {
	if n.Tenant == "" || n.Route == "" {
		return n.Tenant + n.Route
	}
	return n.Tenant + "/" + n.Route
}
