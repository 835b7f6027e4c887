package servingsim

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/batchshare"
	"tuliprudder/internal/dataplane/connections"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/observations"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// store is the part of a store daemon that runs batch items. Its batches are kept in memory and count as
// durable at once.
type store struct {
	world     *World
	id        string // also its address
	zone      string
	calls     *machine.Calls
	scheduler *scheduler.Scheduler
	runner    *execution.Runner
	tracker   *batchshare.Tracker
	exchange  *observations.Exchange
	members   map[string]membership.Member
	nextShare clock.Micros
	open      map[*server]int // connections in use
}

// shareInterval is the time between two exchanges of demand among the stores.
const shareInterval = 100 * clock.Millisecond

func newStore(w *World, id, zone string) *store {
	s := &store{
		world: w, id: id, zone: zone, calls: machine.NewCalls(), tracker: batchshare.NewTracker(id),
		members: map[string]membership.Member{}, open: map[*server]int{},
		scheduler: scheduler.New(scheduler.Defaults(), w.random.Int63()),
	}
	s.scheduler.AdjustSettings(w.adjust)
	s.scheduler.SetZone(zone)
	s.exchange = observations.New(id, s.scheduler)
	mayRun := func(int, string, int, clock.Micros) bool { return true }
	s.runner = execution.New(execution.Defaults(), s.calls, s.scheduler, mayRun, s.recordReport)
	w.after(clock.Micros(w.random.Int63n(int64(tickInterval))), s.tick)
	return s
}

func (s *store) receiveUpdate(update machine.Update) {
	switch {
	case strings.HasPrefix(update.Key, membership.KeyPrefix):
		if member, ok := membership.Decode(update.Value); ok {
			s.members[member.ID] = member
		}
	case update.Key == state.ConfigurationKey:
		configuration, _ := s.world.configuration(nil)
		configuration.Version = 1
		s.scheduler.SetConfiguration(configuration, s.world.now)
	case strings.HasPrefix(update.Key, endpoints.ServerPrefix):
		var server endpoints.Server
		if json.Unmarshal(update.Value, &server) == nil {
			s.scheduler.SetServer(server)
		}
	}
}

func (s *store) receive(_ string, body any) {
	switch message := body.(type) {
	case batchshare.Demand:
		s.tracker.Receive(message, s.world.now)
	case observations.Reports:
		s.exchange.Receive(message, s.world.now)
	}
	s.finishStep()
}

func (s *store) tick() {
	now := s.world.now
	if now >= s.nextShare {
		s.nextShare = now + shareInterval
		own := batchshare.LocalDemand{Items: s.runner.Pending(), Overdue: s.scheduler.OverdueBatchItems(), Tokens: s.runner.PendingWeight(), Running: s.scheduler.RunningBatchItems()}
		s.tracker.Announce(own, s.members, s.calls.Emit, now)
		allotment := s.tracker.Allotment(own, s.members, now)
		allotment.Connections = s.connectionShares()
		s.scheduler.SetBatchAllotment(allotment)
		s.scheduler.SetOtherBatchItems(s.tracker.RunningForOtherStores(s.scheduler.ServerNames()))
	}
	s.runner.Tick(now)
	s.exchange.Tick(s.members, s.calls.Emit, now)
	s.scheduler.Match(now)
	s.finishStep()
	s.world.after(tickInterval, s.tick)
}

func (s *store) finishStep() {
	s.scheduler.MatchUntilStable(s.world.now)
	for _, effect := range s.calls.Drain() {
		switch effect := effect.(type) {
		case machine.Send:
			s.world.send(s.id, s.zone, effect.To, effect.Body)
		case machine.Execute:
			if attempt, ok := effect.Task.(execution.Attempt); ok {
				s.run(attempt)
			}
		}
	}
}

// connectionShares counts, by kind, the daemons that share the servers' connections.
func (s *store) connectionShares() (shares connections.DaemonCounts) {
	for _, member := range s.members {
		shares.Add(member.Kind)
	}
	return shares
}

// maxConnections returns the most connections that this store may have to one server.
func (s *store) maxConnections() int {
	deployment := s.world.Deployment
	if deployment.MaxConnections == 0 {
		return math.MaxInt
	}
	return s.connectionShares().LimitFor(membership.Store, deployment.MaxConnections, deployment.Engine.Slots)
}

// submit adds the items of a batch to the runner.
func (s *store) submit(b *batch) {
	for i, item := range b.items {
		s.runner.Submit(batchstore.RunItem{
			Batch: b.id, Item: i, ItemID: fmt.Sprint(b.id, "-", i), Tenant: batchRoute, Route: batchRoute,
			Request: &shard.Request{Tokens: int64(item.promptTokens + item.outputTokens)}, SubmittedAt: b.submittedAt, ConfigurationVersion: 1,
		}, s.world.now)
	}
	s.finishStep()
}

// run sends an item to its server.
func (s *store) run(attempt execution.Attempt) {
	w := s.world
	target := w.servers[attempt.ForwardedItem.Instance]
	if s.open[target] >= s.maxConnections() {
		w.after(0, func() {
			s.runner.HandleAttemptResult(execution.AttemptResult{AttemptID: attempt.ID, Outcome: modelclient.NotStarted}, w.now)
			s.finishStep()
		})
		return
	}
	s.open[target]++
	item := w.item(attempt.ForwardedItem.Batch, attempt.ForwardedItem.ItemID)
	delay := w.oneWay(s.zone, target.zone)
	w.countServerBytes(s.zone, target.zone, bytesOf(item.promptTokens, item.outputTokens))
	j := &job{id: attempt.ForwardedItem.ItemID, promptTokens: item.promptTokens, outputTokens: item.outputTokens}
	j.onStart = func(load serverLoad) {
		w.after(delay, func() {
			s.runner.HandleAttemptStarted(execution.AttemptStarted{AttemptID: attempt.ID, Load: w.loadReport(load)}, w.now)
			s.finishStep()
		})
	}
	j.onEnd = func(outcome jobOutcome, _ serverLoad) {
		result := execution.AttemptResult{AttemptID: attempt.ID, Outcome: modelclient.Complete}
		switch outcome {
		case jobRejected:
			result.Outcome = modelclient.NotStarted
		case jobFailed:
			result.Outcome, result.ServerFailed = modelclient.Interrupted, true
		}
		w.after(delay, func() {
			s.open[target]--
			s.runner.HandleAttemptResult(result, w.now)
			s.finishStep()
		})
	}
	w.after(delay, func() { target.submit(j) })
}

// recordReport records an item's final result. Reports of failed attempts are ignored.
func (s *store) recordReport(report batchstore.Command, now clock.Micros) {
	if result, ok := report.(batchstore.ItemFinished); ok {
		s.world.itemFinished(result.Batch, result.Item, result.Status == shard.StatusOK, now)
	}
}
