package machines

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/config"
)

// limitHistory records since which configuration version each account has had a limit without interruption,
// according to the consecutive configurations that this daemon has received. An owner that learned of a limit
// under one of these versions need not ask every queue again: since then nothing can have been accepted
// without a grant.
type limitHistory struct {
	version uint64 // of the newest configuration
	// since has the versions, by the route's ID for accounts of batches only, and by tenant for others.
	since map[shard.AccountName]uint64
}

// add records the configuration in force. base is the version that was in force before it, 0 if unknown.
func (h *limitHistory) add(configuration *config.Configuration, base uint64) {
	isNext := base > 0 && base == h.version
	since := map[shard.AccountName]uint64{}
	for _, account := range limitedAccounts(configuration) {
		since[account] = configuration.Version
		if earlier := h.since[account]; isNext && earlier > 0 {
			since[account] = earlier
		}
	}
	h.version = configuration.Version
	h.since = since
}

// limitedSince returns the version since which an account has had a limit; 0 if it has none.
func (h *limitHistory) limitedSince(account shard.AccountName) uint64 {
	if account.BatchesOnly() {
		account.Tenant = ""
	}
	return h.since[account]
}

// limitedAccounts lists the routes and the tenants that have a limit.
func limitedAccounts(configuration *config.Configuration) []shard.AccountName {
	var out []shard.AccountName
	add := func(account shard.AccountName) {
		if quotaLimit(configuration, account) > unlimited {
			out = append(out, account)
		}
	}
	for _, route := range configuration.Routes {
		add(shard.AccountName{Route: string(route.ID())})
	}
	for _, tenant := range configuration.Tenants {
		add(shard.AccountName{Tenant: tenant.Name})
	}
	return out
}
