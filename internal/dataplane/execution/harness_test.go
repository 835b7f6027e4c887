package execution

import (
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
)

// harness is a Runner for which the test acts as the event loop and the store.
type harness struct {
	*Runner
	t            *testing.T
	scheduler    *scheduler.Scheduler
	machineCalls *machine.Calls
	now          clock.Micros
	results      []batchstore.ItemFinished
	failures     []batchstore.AttemptFailed
}

const hour = 3600 * clock.Second

func newHarness(t *testing.T, servers ...string) *harness {
	b := &harness{t: t, machineCalls: machine.NewCalls(), scheduler: scheduler.New(scheduler.Defaults(), 1), now: hour}
	b.Runner = New(Defaults(), b.machineCalls, b.scheduler, func(int, string, int, clock.Micros) bool { return true },
		func(report batchstore.Command, _ clock.Micros) {
			switch report := report.(type) {
			case batchstore.ItemFinished:
				b.results = append(b.results, report)
			case batchstore.AttemptFailed:
				b.failures = append(b.failures, report)
			}
		})
	b.setConfiguration(1, config.Forward{MaxAttempts: 3, ItemRetention: 24 * hour})
	for _, name := range servers {
		b.scheduler.SetServer(endpoints.Server{Name: name, Address: name + ":1", Slots: 4})
	}
	return b
}

// setConfiguration applies a configuration that has a route forwarding batches ("r") and a batch
// route that does not forward ("chat").
func (b *harness) setConfiguration(version uint64, forward config.Forward) {
	configuration := &config.Configuration{Version: version, ScorerWeights: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}},
		Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &forward}, {Name: "chat", Kind: config.Batch}}}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
}

func (b *harness) submitItem(item int, tokens int64) { b.submitFailedItem(item, tokens, 0) }

// submitFailedItem submits an item with attempts that failed under previous owners of its shard.
func (b *harness) submitFailedItem(item int, tokens int64, failedAttempts int) {
	b.Submit(batchstore.RunItem{Batch: "b", Item: item, ItemID: fmt.Sprint("i", item), Tenant: "r", Route: "r", SubmittedAt: hour, ConfigurationVersion: 1,
		Request: &shard.Request{Target: "/x", Body: []byte(fmt.Sprint("body ", item)), Tokens: tokens}, FailedAttempts: failedAttempts}, b.now)
}

// startedAttempts runs the scheduler and returns the attempts that it starts.
func (b *harness) startedAttempts() []Attempt {
	b.scheduler.AdvanceFreshness(b.now)
	b.scheduler.MatchUntilStable(b.now)
	var out []Attempt
	for _, effect := range b.machineCalls.Drain() {
		if work, ok := effect.(machine.Execute); ok {
			if attempt, ok := work.Task.(Attempt); ok {
				out = append(out, attempt)
			}
		}
	}
	return out
}

// nextAttempt advances the time by 5 s, so that the scheduler considers the servers again, and
// returns the only attempt that starts.
func (b *harness) nextAttempt() Attempt {
	b.t.Helper()
	b.now += 5 * clock.Second
	attempts := b.startedAttempts()
	if len(attempts) != 1 {
		b.t.Fatalf("started %d attempts, want 1: %+v", len(attempts), attempts)
	}
	return attempts[0]
}

// finishNext reports a result for the only attempt that starts next.
func (b *harness) finishNext(result AttemptResult) Attempt {
	b.t.Helper()
	attempt := b.nextAttempt()
	result.AttemptID = attempt.ID
	b.HandleAttemptResult(result, b.now)
	return attempt
}

func (b *harness) expectOnlyResult(status, output string) {
	b.t.Helper()
	if len(b.results) != 1 || b.results[0].Status != status || b.results[0].Output != output || b.Pending() != 0 {
		b.t.Fatalf("results %+v with %d items pending, want %s %q and none pending", b.results, b.Pending(), status, output)
	}
}

func (b *harness) expectNoResult() {
	b.t.Helper()
	if len(b.results) > 0 {
		b.t.Fatalf("results %+v, want none", b.results)
	}
}
