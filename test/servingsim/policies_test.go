package servingsim

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scheduler"
)

const (
	runLength = 20 * clock.Second
	runs      = 2 // with seeds from 1 on
)

// measure is a figure of a result; less of it is worse.
type measure func(Result) float64

// utility weighs what came in time, and half of what came late, by class.
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

// nonFailedShare is the share of live requests that did not fail.
func nonFailedShare(r Result) float64 {
	owed, failed := 0, 0
	for _, class := range []string{"check", "reply"} {
		owed += r.Classes[class].Total
		failed += r.Classes[class].Failed
	}
	return 1 - float64(failed)/float64(max(1, owed))
}

// savedBytes are the bytes that did not go between zones, in MB below zero.
func savedBytes(r Result) float64 { return -float64(r.CrossZoneBytes) / 1e6 }

// runWithout runs a deployment without a mechanism, once for each seed; "" is none.
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

// overloaded has a tenth more to run than its servers' memory holds, and servers that fail for a while.
func overloaded() Deployment {
	d := MemoryBound(3, 14, 3, 16, 1.1)
	d.FailingServers = 6
	return d
}

// loaded has what its servers can just run.
func loaded() Deployment { return MemoryBound(3, 14, 3, 16, 0.8) }

// batchOverloaded has far more batch items than can be ready in time.
func batchOverloaded() Deployment { return MemoryBound(3, 14, 3, 16, 1.6) }

// halfLoaded has room, and servers that fail for a while.
func halfLoaded() Deployment {
	d := MemoryBound(3, 14, 3, 16, 0.5)
	d.FailingServers = 6
	return d
}

// mechanismCase is a mechanism without which a measure of a deployment falls by atLeast or more.
type mechanismCase struct {
	mechanism mechanism.Name
	of        measure
	minDrop   float64
}

// Each of these mechanisms is worth something to a deployment of many edges and stores before servers
// with little memory. The figures are about half of what was measured (docs/measures/erdene-bazaar.md).
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
			t.Logf("with %.3f, without %.3f", with, without)
			if with-without < c.minDrop {
				t.Errorf("with %.3f, without %.3f: less than %.3f", with, without, c.minDrop)
			}
		})
	}
}

// The same seed gives the same result.
func TestSameSeedGivesSameResult(t *testing.T) {
	first, second := New(halfLoaded(), 7).Run(5*clock.Second), New(halfLoaded(), 7).Run(5*clock.Second)
	if first.String() != second.String() {
		t.Errorf("%s\nand %s", first, second)
	}
}
