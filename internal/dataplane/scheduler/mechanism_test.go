package scheduler

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/mechanism"
)

// Each mechanism has an effect, and none while it is disabled.
func TestMechanismsCanBeSwitchedOff(t *testing.T) {
	for name, works := range map[mechanism.Name]func(sc *Scheduler) bool{
		mechanism.BatchMemory: func(sc *Scheduler) bool {
			sc.batch.itemTokens = 1000
			return sc.batchCapacity(endpoints.Server{Slots: 10, Labels: map[string]string{"memory": "little"}}) < 3
		},
		mechanism.BatchPrefillLimit: func(sc *Scheduler) bool {
			return sc.batchUsage(&Request{}, &serverState{prefillingBatchItems: 1}).Prefilling == 1
		},
		mechanism.BatchRunning: func(sc *Scheduler) bool {
			sc.batch.ownLimits = map[string]int{"s": 5}
			sc.batch.byServer = map[string]int{"s": 5}
			sc.SetOtherBatchItems(map[string]int{"s": 2})
			return sc.batchLimit(endpoints.Server{Name: "s"}) == 3
		},
		mechanism.BatchShares: func(sc *Scheduler) bool {
			sc.batch.sequence = []string{"a", "b"}
			return len(sc.ownSlots(BatchAllotment{Size: 1, Total: 2})) == 1
		},
		mechanism.ItemPriority: func(sc *Scheduler) bool {
			item := &Request{IsBatchItem: true, Route: &config.Route{Name: "r", Forward: &config.Forward{Authentication: config.AuthenticationRequired}}}
			return sc.applyConfiguration(item) == nil && item.Priority == 3
		},
		mechanism.ItemPromotion: func(sc *Scheduler) bool {
			route := &config.Route{Forward: &config.Forward{}}
			sc.queue.submit(&Request{IsBatchItem: true, Priority: 1, Route: route})
			sc.countItemStart(&Request{IsBatchItem: true, Priority: 2, Route: route})
			return sc.itemPromotion.startsSinceLower == 1
		},
		mechanism.LevelLimits: func(sc *Scheduler) bool {
			return sc.utilizationLimit(&Request{IsBatchItem: true, Priority: 1}, 0) < 1
		},
		mechanism.LivePromotion: func(sc *Scheduler) bool {
			live := func(priority int64) *Request {
				return &Request{Priority: priority, Route: &config.Route{Forward: &config.Forward{}}}
			}
			sc.queue.submit(live(1))
			for range startsPerPromotion {
				sc.countLiveStart(live(2))
			}
			return sc.livePromotion.isDue
		},
		mechanism.OverdueLast: func(sc *Scheduler) bool {
			sc.queue.submit(&Request{IsBatchItem: true, Route: &config.Route{}, DueAt: 1})
			sc.demoteOverdue(2)
			return sc.OverdueBatchItems() == 1
		},
		mechanism.RetryAvoidance: func(sc *Scheduler) bool {
			return sc.newSelection(&Request{Route: &config.Route{}, AvoidedServers: map[string]int{"s": 1}}, 1).avoided != nil
		},
		mechanism.RetryBudget: func(sc *Scheduler) bool {
			sc.retries.balance = 0
			return !sc.SpendRetry()
		},
		mechanism.ServerBackoff: func(sc *Scheduler) bool { return sc.backoff() > 0 },
		mechanism.Starvation: func(sc *Scheduler) bool {
			return sc.isStarving(&Request{IsBatchItem: true}, 10*clock.Second)
		},
		mechanism.Scorer(config.ScorerPrefixAffinity): func(sc *Scheduler) bool {
			return sc.scorerWeights[config.ScorerPrefixAffinity] > 0
		},
	} {
		if !works(newMechanismScheduler(t)) {
			t.Errorf("%s has no effect", name)
		}
		if works(newMechanismScheduler(t, name)) {
			t.Errorf("%s has an effect while disabled", name)
		}
	}
}

func newMechanismScheduler(t *testing.T, disabled ...mechanism.Name) *Scheduler {
	t.Helper()
	sc := New(Defaults(), 1)
	disable(t, sc, disabled...)
	configuration := &config.Configuration{
		Version:       1,
		ScorerWeights: config.DefaultScorerWeights(),
		Classes:       []config.PriorityClass{{Name: "low", Priority: 1}, {Name: "high", Priority: 2}},
		Routes:        []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{Authentication: config.AuthenticationRequired, Priority: 3}}},
		Pools:         []config.Pool{{Name: "p", Servers: config.Selector{"memory": {"little"}}, MemoryTokens: 2500}},
	}
	configuration.Index()
	sc.SetConfiguration(configuration, 1)
	return sc
}
