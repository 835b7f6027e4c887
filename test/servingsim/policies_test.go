package servingsim

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scheduler"
)

const (
	runLength = 20 * clock.Second
	runs      = 2 // seeds 1 to runs
)

// measure extracts a figure from a result; higher is better.
type measure func(Result) float64

// utility returns the weighted mean over the classes of the share completed in time plus half of the
// share completed late.
func utility(r Result) float64 {
	weights := map[string]float64{"check": 17, "reply": 4, batchRoute: 9}
	sum, whole := 0.0, 0.0
	for name, weight := range weights {
		class := r.Classes[name]
		sum += weight * (class.InTimeShare() + float64(class.Late)/float64(max(1, class.Total))/2)
		whole += weight
	}
	return sum / whole
}

// nonFailedShare returns the share of live requests that did not fail.
func nonFailedShare(r Result) float64 {
	owed, failed := 0, 0
	for _, class := range []string{"check", "reply"} {
		owed += r.Classes[class].Total
		failed += r.Classes[class].Failed
	}
	return 1 - float64(failed)/float64(max(1, owed))
}

// savedBytes returns the negated traffic between zones in MB, so that higher is better.
func savedBytes(r Result) float64 { return -float64(r.CrossZoneBytes) / 1e6 }

// runWithout runs a deployment once per seed with one mechanism disabled; "" disables none.
func runWithout(t *testing.T, deployment Deployment, without mechanism.Name) []Result {
	t.Helper()
	disabled, err := mechanism.Parse(string(without))
	if err != nil {
		t.Fatal(err)
	}
	deployment.Adjust = func(settings *scheduler.Settings) { settings.Disabled = disabled }
	var out []Result
	for seed := int64(1); seed <= runs; seed++ {
		out = append(out, New(deployment, seed).Run(runLength))
	}
	return out
}

func mean(of measure, results []Result) float64 {
	sum := 0.0
	for _, result := range results {
		sum += of(result)
	}
	return sum / float64(len(results))
}

// overloaded returns a deployment whose load exceeds its servers' memory by a tenth, with servers that
// fail in the middle third of the run.
func overloaded() Deployment {
	d := MemoryBound(3, 14, 3, 16, 1.1)
	d.FailingServers = 6
	return d
}

// loaded returns a deployment whose load its servers can just handle.
func loaded() Deployment { return MemoryBound(3, 14, 3, 16, 0.8) }

// batchOverloaded returns a deployment with far more batch items than can complete in time.
func batchOverloaded() Deployment { return MemoryBound(3, 14, 3, 16, 1.6) }

// halfLoaded returns a deployment with spare capacity, and servers that fail in the middle third of the
// run.
func halfLoaded() Deployment {
	d := MemoryBound(3, 14, 3, 16, 0.5)
	d.FailingServers = 6
	return d
}

// mechanismCase is a mechanism whose absence lowers a measure of a deployment by at least minDrop.
type mechanismCase struct {
	mechanism mechanism.Name
	of        measure
	minDrop   float64
}

// Checks that disabling any of these mechanisms lowers its measure in a deployment of many edges and
// stores in front of servers with little memory. The bounds are about half of the measured differences
// (docs/measures/erdene-bazaar.md).
func TestDisablingMechanismLowersMeasure(t *testing.T) {
	for name, c := range map[string]struct {
		deployment Deployment
		cases      []mechanismCase
	}{
		"overloaded": {overloaded(), []mechanismCase{
			{mechanism.BatchMemory, utility, 0.08},
			{mechanism.BatchRunning, utility, 0.06},
			{mechanism.BatchShares, utility, 0.07},
			{mechanism.Scorer("queue"), utility, 0.005},
			{mechanism.Scorer("reading"), utility, 0.01},
		}},
		"heaped":          {batchOverloaded(), []mechanismCase{{mechanism.OverdueLast, utility, 0.01}}},
		"loaded":          {loaded(), []mechanismCase{{mechanism.Scorer("zone"), savedBytes, 0.8}}},
		"few connections": {ConnectionBound(3, 14, 3, 16), []mechanismCase{{mechanism.BatchConnections, utility, 0.028}}},
		"half loaded": {halfLoaded(), []mechanismCase{
			{mechanism.Scorer("reliability"), nonFailedShare, 0.002},
			{mechanism.ServerBackoff, utility, 0.03},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testMechanisms(t, c.deployment, c.cases)
		})
	}
}

func testMechanisms(t *testing.T, deployment Deployment, cases []mechanismCase) {
	all := runWithout(t, deployment, "")
	for _, c := range cases {
		t.Run(string(c.mechanism), func(t *testing.T) {
			t.Parallel()
			with, without := mean(c.of, all), mean(c.of, runWithout(t, deployment, c.mechanism))
			t.Logf("mean measure %.3f with the mechanism, %.3f without", with, without)
			if with-without < c.minDrop {
				t.Errorf("mean measure %.3f with the mechanism, %.3f without: want a drop of at least %.3f", with, without, c.minDrop)
			}
		})
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	first, second := New(halfLoaded(), 7).Run(5*clock.Second), New(halfLoaded(), 7).Run(5*clock.Second)
	if first.String() != second.String() {
		t.Errorf("two runs with the same seed differ:\n%s\nand %s", first, second)
	}
}
