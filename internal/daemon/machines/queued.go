package machines

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/quota"
)

// queuedWeights is the weight of the items that wait in this store's shards and are
// forwarded unchanged, by tenant, as last counted. A tenant that has none any more keeps 0.
type queuedWeights struct {
	byTenant  map[string]int
	countedAt clock.Micros
}

// recountInterval is how old the count may be.
const recountInterval = 100 * clock.Millisecond

// queuedWeight is the weight of a tenant's work that waits here outside the scheduler.
func (s *Store) queuedWeight(tenant string) int {
	if weight, ok := s.queued.byTenant[tenant]; ok {
		return weight
	}
	return s.Runner.WaitingWeight(tenant)
}

// recountQueued counts what waits anew, from the shards. The quota has to know each tenant
// before its usage is reported with the next renewal.
func (s *Store) recountQueued(now clock.Micros) {
	previous := s.queued.byTenant
	s.queued = queuedWeights{byTenant: s.Batches.PendingWeights(now), countedAt: now}
	for tenant := range s.queued.byTenant {
		s.trackUsage(tenant, tenant, true)
	}
	for tenant := range previous {
		if _, ok := s.queued.byTenant[tenant]; !ok {
			s.queued.byTenant[tenant] = 0
		}
	}
}

// reportQueued counts anew and has the count reported at once. A map moves whole shards between
// stores: the former owner of one counts it for a second more, so the new one must not wait for the
// next count and the next renewal.
func (s *Store) reportQueued(now clock.Micros) {
	s.recountQueued(now)
	s.Quota.RenewAtNextTick()
}

// trackUsage has the quota report a tenant's usage, where the configuration limits it.
func (s *Store) trackUsage(tenant, route string, forwarded bool) {
	configuration := s.Scheduler.Configuration()
	if configuration == nil {
		return
	}
	if limit := quotaLimit(configuration, tenant, route, forwarded); limit > 0 {
		s.Quota.TrackUsage(quota.TenantQuota{Tenant: tenant, Limit: limit, ConfigurationVersion: configuration.Version})
	}
}
