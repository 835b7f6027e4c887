package machines

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/errs"
)

// submit reserves quota for a batch's items before anything is written; from then on they count
// as queued until they have results. A batch that this store already has needs no quota, and one
// for a shard that this store does not serve is rejected by the shard.
func (s *Store) submit(number uint64, request batchstore.SubmitRequest, now clock.Micros) {
	_, isServing := s.Batches.ServingEpoch(request.Shard, now)
	if !isServing || s.Batches.HasBatch(request.Shard, request.Batch.ID) {
		s.write(number, request, now)
		return
	}
	configuration := s.Scheduler.Configuration()
	if err := s.checkReady(configuration, request.Batch, now); err != nil {
		s.reject(number, err)
		return
	}
	account := accountOf(configuration, &request.Batch)
	limit := quotaLimit(configuration, account)
	switch {
	case limit == notConfigured:
		s.reject(number, notConfiguredError(account))
	case limit == unlimited:
		s.write(number, request, now)
	default:
		accountQuota := quota.AccountQuota{
			Account:              account,
			Limit:                limit,
			ConfigurationVersion: configuration.Version,
			LimitedSince:         s.limits.limitedSince(account),
		}
		s.Quota.ReserveInShard(accountQuota, request.Shard, batchWeight(request.Batch), now, func(err error, now clock.Micros) {
			if err != nil {
				s.reject(number, err)
				return
			}
			s.write(number, request, now)
		})
	}
}

// accountOf returns the account of a batch. A batch that was stored without the ID of its route is charged to
// the account of the route that it has under the configuration in force.
func accountOf(configuration *config.Configuration, batch *shard.Batch) shard.AccountName {
	account := batch.Account()
	if configuration == nil || !account.BatchesOnly() || batch.RouteID != "" {
		return account
	}
	if route := configuration.ResolveRoute(batch.RouteReference()); route != nil {
		account.Route = string(route.ID())
	}
	return account
}

// write submits the batch to its shard.
func (s *Store) write(number uint64, request batchstore.SubmitRequest, now clock.Micros) {
	s.apply(batchstore.Call{Number: number, Body: request}, now)
}

// checkReady returns an error if this store can't decide on a batch yet: it has no contact with a
// majority of the voters, or lacks the configuration with which the edge accepted the batch.
func (s *Store) checkReady(configuration *config.Configuration, batch shard.Batch, now clock.Micros) error {
	switch {
	case !s.Scheduler.IsFresh(now):
		return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; another store may take the shard over", "the store has no contact with a majority of the voters")
	case configuration == nil || configuration.Version < batch.ConfigurationVersion:
		return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the store has just started", "the configuration has not arrived at the store yet")
	}
	return nil
}

// batchWeight returns how much quota a batch takes.
func batchWeight(batch shard.Batch) int {
	weight := 0
	for _, item := range batch.Items {
		weight += item.Request.Weight()
	}
	return weight
}

func notConfiguredError(account shard.AccountName) error {
	if account.BatchesOnly() {
		return errs.New(errs.UnknownRoute, "have the operators add the route to the configuration", "the configuration in force forwards no batches on a route %q", account.Route)
	}
	return errs.New(errs.Unauthorised, "have the operators add the tenant to the configuration", "the configuration has no tenant %q", account.Tenant)
}

// reportNewLimits reports the pending work of accounts whose limit is new to the accounts' owners: it
// may have been accepted without a grant, before this store received the configuration.
func (s *Store) reportNewLimits(previous, current *config.Configuration, now clock.Micros) {
	s.reportPending(current, now, func(account shard.AccountName) bool {
		return previous == nil || quotaLimit(previous, account) <= unlimited
	})
}

// reportServedShards reports the pending work of all accounts if this store has begun to serve a shard:
// the shard's former primary may have accepted work without a grant and ended before reporting it.
func (s *Store) reportServedShards(now clock.Micros) {
	configuration := s.Scheduler.Configuration()
	if configuration == nil {
		return
	}
	isNew := false
	for shardIndex := range s.Batches.ClusterMap().Shards {
		epoch, isServing := s.Batches.ServingEpoch(shardIndex, now)
		if isServing && s.servedEpochs[shardIndex] != epoch {
			s.servedEpochs[shardIndex] = epoch
			isNew = true
		}
	}
	if isNew {
		s.reportPending(configuration, now, func(shard.AccountName) bool { return true })
	}
}

// reportPending reports the pending work of the included accounts that have a limit to their owners.
func (s *Store) reportPending(current *config.Configuration, now clock.Micros, isIncluded func(account shard.AccountName) bool) {
	var due []quota.AccountQuota
	for account := range s.Batches.PendingWeights(now) {
		limit := quotaLimit(current, account)
		if limit <= unlimited || !isIncluded(account) {
			continue
		}
		due = append(due, quota.AccountQuota{
			Account:              account,
			Limit:                limit,
			ConfigurationVersion: current.Version,
			LimitedSince:         s.limits.limitedSince(account),
		})
	}
	if len(due) > 0 {
		s.Quota.ReportPending(due, now)
	}
}

// Results of quotaLimit if there is no limit, and if the configuration has no such route or
// tenant.
const (
	unlimited     = 0
	notConfigured = -1
)

// quotaLimit returns how much work may be queued in an account. A tenant's limit is that of its
// priority class; on a route whose requests are forwarded unchanged, it is the route's token limit,
// which applies to each tenant separately (DESIGN §11.3, §12.5).
func quotaLimit(configuration *config.Configuration, account shard.AccountName) int64 {
	if account.BatchesOnly() {
		route := configuration.RouteByID(config.RouteID(account.Route))
		if route == nil || route.Forward == nil || route.Kind != config.Batch {
			return notConfigured
		}
		return max(unlimited, route.Forward.MaxQueuedTokens)
	}
	if class := configuration.ClassOfTenant(account.Tenant); class != nil {
		return class.Quota
	}
	return notConfigured
}
