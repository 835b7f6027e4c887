package machines

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/batchshare"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/observations"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
)

// Store is the machine of a store daemon: its replicas of the shards, the execution of
// their items, and quota shares.
type Store struct {
	*Scheduling
	Batches *batchstore.Store // the shard replicas held here
	Runner  *execution.Runner

	cores   coreDirectory
	demands *batchshare.Tracker
	limits  limitHistory
	// servedEpochs are, by shard, the epochs for which this store has reported the pending work of the
	// shard to the owners of accounts.
	servedEpochs map[int]uint64
	// nextDemandUpdate is when the allotment of servers for batch items is due to be updated.
	nextDemandUpdate clock.Micros
}

// demandInterval is how often the stores exchange and compare their demands.
const demandInterval = 100 * clock.Millisecond

// schedulerQueueMargin is how many requests the scheduler may queue beyond twice the store's
// maximum of items, so that the store's own limit rejects first.
const schedulerQueueMargin = 1000

// NewStore makes the machine of the store with the id self; the seed makes its random choices
// repeatable.
func NewStore(self string, batches *batchstore.Store, maxItems int, seed int64) *Store {
	settings := scheduler.Defaults()
	settings.MaxQueued = 2*maxItems + schedulerQueueMargin
	s := &Store{
		Batches: batches,
		cores:   newCoreDirectory(),
		demands: batchshare.NewTracker(self),

		servedEpochs: map[int]uint64{},
	}
	s.Scheduling = newScheduling(self, settings, seed, batches.ClusterMap)
	s.Quota.Shards = batches
	batches.AccountOf = func(batch *shard.Batch) shard.AccountName { return accountOf(s.Scheduler.Configuration(), batch) }
	s.Runner = execution.New(execution.Defaults(), s.Calls, s.Scheduler, batches.MayStart, s.apply)
	return s
}

// SetSeeds sets the seed addresses. Until this store knows the cores, it sends its heartbeats to
// them, so that a restarted store gets its shards without waiting for updates.
func (s *Store) SetSeeds(seeds []string) {
	s.cores.seeds = seeds
	s.apply(batchstore.CorePeers{Peers: s.cores.addresses()}, 0)
}

// apply applies a command to the store's shards. It executes the effects that are meant for
// components of this machine, and emits the others.
func (s *Store) apply(command batchstore.Command, now clock.Micros) {
	for _, effect := range s.Batches.Do(command, now) {
		if e, ok := effect.(machine.Execute); ok {
			s.executeTask(e.Task, now)
			continue
		}
		s.Calls.Emit(effect)
	}
}

// executeTask passes a task of the shards to the runner.
func (s *Store) executeTask(task any, now clock.Micros) {
	switch t := task.(type) {
	case batchstore.RunItem:
		s.Runner.Submit(t, now)
	case batchstore.CancelItems:
		s.Runner.Cancel(t, now)
	}
}

// Message handles a message that was received.
func (s *Store) Message(from string, body any, now clock.Micros) []machine.Effect {
	switch message := body.(type) {
	case batchshare.Demand:
		s.demands.Receive(message, now)
	case observations.Reports:
		s.Observations.Receive(message, now)
	default:
		s.apply(batchstore.Message{From: from, Body: body}, now)
	}
	return s.finishStep(now)
}

// Persisted handles the completion of a write.
func (s *Store) Persisted(token uint64, now clock.Micros) []machine.Effect {
	s.apply(batchstore.Persisted{Token: token}, now)
	return s.finishStep(now)
}

// DiskStateChanged handles a change of whether the disk takes writes.
func (s *Store) DiskStateChanged(diskState machine.DiskState, now clock.Micros) []machine.Effect {
	s.apply(batchstore.DiskStateChanged{State: diskState}, now)
	return s.finishStep(now)
}

// CompactAgain makes another snapshot, since the last one could not be written.
func (s *Store) CompactAgain(now clock.Micros) []machine.Effect {
	s.apply(batchstore.CompactAgain{}, now)
	return s.finishStep(now)
}

// UpdateReceived handles an update that was received.
func (s *Store) UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect {
	previous := s.Scheduler.Configuration()
	s.receive(update, now)
	if current := s.Scheduler.Configuration(); current != previous {
		s.limits.add(current, s.configurationBase)
		s.reportNewLimits(previous, current, now)
	}
	if s.cores.receive(update) {
		s.apply(batchstore.CorePeers{Peers: s.cores.addresses()}, now)
	}
	s.apply(batchstore.UpdateReceived{Update: update}, now)
	return s.finishStep(now)
}

// ReplyReceived handles another daemon's reply.
func (s *Store) ReplyReceived(token uint64, body any, err error, now clock.Micros) []machine.Effect {
	s.Calls.ReplyReceived(token, body, err, now)
	return s.finishStep(now)
}

// Call handles a request: a report from the daemon itself, or a request from another daemon.
func (s *Store) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	switch {
	case s.handleReport(body, now):
		s.acknowledge(number)
	case s.Quota.Call(number, body, now):
	default:
		s.handleBatchCall(number, body, now)
	}
	return s.finishStep(now)
}

// handleReport handles a report from the daemon itself; it returns false if the body is not one.
func (s *Store) handleReport(body any, now clock.Micros) bool {
	switch report := body.(type) {
	case execution.AttemptResult:
		s.Runner.HandleAttemptResult(report, now)
	case execution.AttemptStarted:
		s.Runner.HandleAttemptStarted(report, now)
	case batchstore.Drain:
		s.apply(report, now)
	default:
		return false
	}
	return true
}

// handleBatchCall passes a request to the shards. A submitted batch needs quota first.
func (s *Store) handleBatchCall(number uint64, body any, now clock.Micros) {
	if request, ok := body.(batchstore.SubmitRequest); ok {
		s.submit(number, request, now)
		return
	}
	s.apply(batchstore.Call{Number: number, Body: body}, now)
}

// shareCapacity announces this store's demand to the other stores, and limits its own use of the servers
// according to theirs.
func (s *Store) shareCapacity(now clock.Micros) {
	own := batchshare.LocalDemand{
		Items:   s.Runner.Pending(),
		Overdue: s.Scheduler.OverdueBatchItems(),
		Tokens:  s.Runner.PendingWeight(),
		Running: s.Scheduler.RunningBatchItems(),
	}
	s.demands.Announce(own, s.members, s.Calls.Emit, now)
	allotment := s.demands.Allotment(own, s.members, now)
	allotment.Connections = s.connectionShares()
	s.Scheduler.SetBatchAllotment(allotment)
	s.Scheduler.SetOtherBatchItems(s.demands.RunningForOtherStores(s.Scheduler.ServerNames()))
}

// Tick runs the work that is due.
func (s *Store) Tick(now clock.Micros) []machine.Effect {
	s.apply(batchstore.Tick{}, now)
	if now >= s.nextDemandUpdate {
		s.nextDemandUpdate = now + demandInterval
		s.shareCapacity(now)
		s.reportServedShards(now)
	}
	s.Runner.Tick(now)
	s.Quota.Tick(now)
	s.Observations.Tick(s.members, s.Calls.Emit, now)
	s.Reports.Tick(now)
	s.Scheduler.Match(now)
	return s.finishStep(now)
}
