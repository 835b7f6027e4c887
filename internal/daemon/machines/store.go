package machines

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Store is the machine of a store daemon: the ledgers, the runs of their items, and
// the quota.
type Store struct {
	*Scheduling
	Ledger              *batchstore.Store
	Runner              *execution.Runner
	cores               coreDirectory
	pendingReservations map[uint64]quota.Release // shares taken for batches that are being written
	// queuedWeights is what requests that are passed on count for, by tenant; count is
	// when it is counted again.
	queuedWeights map[string]int
	countedAt     clock.Micros
	demands       demandTracker
}

// NewStore puts a store's machine together; the seed makes its choices
// repeatable.
func NewStore(self string, ledger *batchstore.Store, maxItems int, seed int64) *Store {
	settings := scheduler.Defaults()
	settings.MaxQueued = 2*maxItems + 1000 // the store's own bound comes first
	s := &Store{Ledger: ledger, cores: coreDirectory{members: map[string]membership.Member{}}, pendingReservations: map[uint64]quota.Release{}, queuedWeights: map[string]int{}, demands: demandTracker{self: self, others: map[string]demand{}}}
	s.Scheduling = newScheduling(self, settings, seed, func(*Scheduling) func(string) int {
		return func(tenant string) int {
			if count, ok := s.queuedWeights[tenant]; ok {
				return count
			}
			return s.Runner.WaitingWeight(tenant)
		}
	})
	s.Quota.ShardMap = func() (state.Map, bool) { return ledger.ClusterMap(), ledger.HasClusterMap() }
	s.Runner = execution.New(execution.Defaults(), s.Calls, s.Scheduler, ledger.MayStart, func(result batchstore.ItemFinished, now clock.Micros) { s.apply(result, now) })
	return s
}

// SetSeeds names the seeds: until this store knows the cores, its heartbeats go
// there, so that one that has restarted is paired without waiting for updates.
func (s *Store) SetSeeds(seeds []string) {
	s.cores.seeds = seeds
	s.apply(batchstore.CorePeers{Peers: s.cores.addresses()}, 0)
}

// apply applies a command to the ledgers and keeps back the effects that are for the
// request path.
func (s *Store) apply(command batchstore.Command, now clock.Micros) {
	for _, effect := range s.Ledger.Do(command, now) {
		switch e := effect.(type) {
		case machine.Execute:
			s.executeTask(e.Task, now)
			continue
		case machine.Reply:
			if release := s.pendingReservations[e.Call]; release != nil {
				// From here on the items count as waiting in the queue.
				delete(s.pendingReservations, e.Call)
				release(now)
			}
		}
		s.Calls.Emit(effect)
	}
}

func (s *Store) executeTask(task any, now clock.Micros) {
	switch w := task.(type) {
	case batchstore.RunItem:
		if configuration := s.Scheduler.Configuration(); configuration != nil {
			if limit := quotaLimit(configuration, w.Tenant, w.Route, w.Request != nil); limit > 0 {
				s.Quota.TrackUsage(quota.TenantQuota{Tenant: w.Tenant, Limit: limit, ConfigurationVersion: configuration.Version})
			}
		}
		s.Runner.Submit(w, now)
	case batchstore.CancelItems:
		s.Runner.Revoke(w, now)
	}
}

// Message handles a message that was received.
func (s *Store) Message(from string, body any, now clock.Micros) []machine.Effect {
	if message, ok := body.(Demand); ok {
		s.demands.receive(message, now)
	} else {
		s.apply(batchstore.Message{From: from, Body: body}, now)
	}
	return s.finishStep(now)
}

// Persisted handles the completion of a write.
func (s *Store) Persisted(token uint64, now clock.Micros) []machine.Effect {
	s.apply(batchstore.Persisted{Token: token}, now)
	return s.finishStep(now)
}

// DiskStateChanged is the shell's word on the disk.
func (s *Store) DiskStateChanged(diskState machine.DiskState, now clock.Micros) []machine.Effect {
	s.apply(batchstore.DiskStateChanged{State: diskState}, now)
	return s.finishStep(now)
}

// CompactAgain asks for a view of now.
func (s *Store) CompactAgain(now clock.Micros) []machine.Effect {
	s.apply(batchstore.CompactAgain{}, now)
	return s.finishStep(now)
}

// UpdateReceived handles an update that was received.
func (s *Store) UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect {
	s.receive(update, now)
	if s.cores.receive(update) {
		s.apply(batchstore.CorePeers{Peers: s.cores.addresses()}, now)
	}
	s.apply(batchstore.UpdateReceived{Update: update}, now)
	return s.finishStep(now)
}

// ReplyReceived handles another daemon's answer.
func (s *Store) ReplyReceived(token uint64, body any, err error, now clock.Micros) []machine.Effect {
	s.Calls.ReplyReceived(token, body, err, now)
	return s.finishStep(now)
}

// Call handles a request, or the event loop's report on a run.
func (s *Store) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	switch request := body.(type) {
	case batchstore.SubmitRequest:
		s.submit(number, request, now)
	case execution.AttemptResult:
		s.Runner.HandleAttemptResult(request, now)
		s.Calls.Emit(machine.Reply{Call: number})
	case execution.AttemptStarted:
		s.Runner.HandleAttemptStarted(request, now)
		s.Calls.Emit(machine.Reply{Call: number})
	case batchstore.Drain:
		s.apply(request, now)
		s.Calls.Emit(machine.Reply{Call: number})
	default:
		if !s.Quota.Call(number, body, now) {
			s.apply(batchstore.Call{Number: number, Body: body}, now)
		}
	}
	return s.finishStep(now)
}

// submit takes shares for a batch's items before anything is written: from then
// on they count as waiting until they start. A repeated key needs none.
func (s *Store) submit(number uint64, request batchstore.SubmitRequest, now clock.Micros) {
	configuration := s.Scheduler.Configuration()
	switch {
	case s.Ledger.HasBatch(request.Shard, request.Batch.ID):
		s.apply(batchstore.Call{Number: number, Body: request}, now)
		return
	case !s.Scheduler.IsFresh(now):
		s.reject(number, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; another store may take the slot over", "the store does not hear most of the fleet"))
		return
	case configuration == nil || configuration.Version < request.Batch.ConfigurationVersion:
		s.reject(number, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the store has just started", "the plan has not arrived at the store yet"))
		return
	}
	forward, weight := false, 0
	for _, item := range request.Batch.Items {
		forward = forward || item.Request != nil
		weight += item.Request.Weight()
	}
	limit := quotaLimit(configuration, request.Batch.Tenant, request.Batch.Route, forward)
	switch {
	case limit == notConfigured && forward:
		s.reject(number, errs.New(errs.UnknownRoute, "have the operators add the route to the plan", "the plan in force passes no bundles on by a route %q", request.Batch.Route))
		return
	case limit == notConfigured:
		s.reject(number, errs.New(errs.Unauthorised, "have the operators add the customer to the plan", "the plan has no customer %q", request.Batch.Tenant))
		return
	case limit == unlimited:
		s.apply(batchstore.Call{Number: number, Body: request}, now)
		return
	}
	s.recountQueued(now)
	s.Quota.Reserve(quota.TenantQuota{Tenant: request.Batch.Tenant, Limit: limit, ConfigurationVersion: configuration.Version}, weight, now, func(release quota.Release, err error, now clock.Micros) {
		if err != nil {
			s.reject(number, err)
			return
		}
		if !forward {
			s.pendingReservations[number] = release
			s.apply(batchstore.Call{Number: number, Body: request}, now)
			return
		}
		// Once it is written its requests are counted from the ledger.
		s.apply(batchstore.Call{Number: number, Body: request}, now)
		s.recountQueued(now)
		release(now)
	})
}

// Results of quota where there is no bound, and where the configuration has no such route
// or tenant.
const (
	unlimited     = 0
	notConfigured = -1
)

// quotaLimit is how much may wait: of a tenant by its class, of a route whose
// requests are passed on by its own bound on tokens (DESIGN §11.3, §12.5).
func quotaLimit(configuration *config.Configuration, tenant, route string, forward bool) int64 {
	if forward {
		found, _ := configuration.Route(route)
		if found == nil || found.Forward == nil || found.Kind != config.Batch {
			return notConfigured
		}
		return max(unlimited, found.Forward.MaxQueuedTokens)
	}
	if class := configuration.ClassOfTenant(tenant); class != nil {
		return class.Quota
	}
	return notConfigured
}

func (s *Store) reject(number uint64, err error) {
	s.Calls.Emit(machine.Reply{Call: number, Err: err})
}

// recountQueued counts what waits from the ledger; what is told of at renewals has to be
// known to the quota.
func (s *Store) recountQueued(now clock.Micros) {
	s.countedAt = now
	previous := s.queuedWeights
	s.queuedWeights = s.Ledger.PendingWeights(now)
	configuration := s.Scheduler.Configuration()
	for tenant := range s.queuedWeights {
		if configuration != nil {
			if limit := quotaLimit(configuration, tenant, tenant, true); limit > 0 {
				s.Quota.TrackUsage(quota.TenantQuota{Tenant: tenant, Limit: limit, ConfigurationVersion: configuration.Version})
			}
		}
	}
	for tenant := range previous {
		if _, ok := s.queuedWeights[tenant]; !ok {
			s.queuedWeights[tenant] = 0
		}
	}
}

// recountInterval is how old the count of what waits may be.
const recountInterval = 100 * clock.Millisecond

// Tick runs the duties that are due.
func (s *Store) Tick(now clock.Micros) []machine.Effect {
	s.apply(batchstore.Tick{}, now)
	if now-s.countedAt >= recountInterval {
		s.recountQueued(now)
		s.demands.announce(s.Runner.Pending(), s.members, s.Calls.Emit, now)
		s.Scheduler.SetBatchShare(s.demands.share(s.Runner.Pending(), now))
	}
	s.Runner.Tick(now)
	s.Quota.Tick(now)
	s.Scheduler.Match(now)
	return s.finishStep(now)
}
