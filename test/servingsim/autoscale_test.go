package servingsim

import (
	"math"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

const (
	scaledRunLength = 34 * clock.Second
	scaledZones     = 3
	scaledServers   = 8 // per zone
	// serverCostPerSecond is the cost of one server for one second, in the unit of the requests' values.
	serverCostPerSecond = 2.2
)

// autoscaleBase returns the deployment that the autoscaling tests start from, still without
// autoscaling; at scale 1 about two thirds of its slots are in use.
func autoscaleBase(scale float64) Deployment {
	d := MemoryBound(scaledZones, 6, 2, scaledServers, 1)
	d.Engine = Engine{
		Slots: 8, QueueLimit: 24, MemoryTokens: 327_000, StepTime: 1530, PrefillRate: 0.13,
		ChunkTokens: 4096, FirstDelay: 16 * clock.Millisecond, EventTokens: 24,
	}
	d.Live = []LiveClass{
		{Name: "check", PerSecond: 11 * scaledServers * scale, PromptTokens: 2370, OutputTokens: 30, Target: 300 * clock.Millisecond, Timeout: 2 * clock.Second, MaxAttempts: 1, Retries: 1},
		{Name: "reply", PerSecond: 3.3 * scaledServers * scale, PromptTokens: 1460, OutputTokens: 172, Target: 250 * clock.Millisecond, Timeout: 4 * clock.Second, MaxAttempts: 2, Resumable: true, Retries: 1},
	}
	d.Batch = BatchClass{
		BurstInterval: clock.Second, BatchesPerBurst: int(math.Round(2.4 * scaledServers * scaledZones * scale / 30)), Items: 30,
		PromptTokens: 768, OutputTokens: 672, Due: 8 * clock.Second, CompletionWindow: 8 * clock.Second,
	}
	d.ScorerWeights = map[string]float64{"fullness": 4, "turn": 1.5, "reading": 6, "silence": 20, "queue": 2, "zone": 2, "reliability": 20}
	d.ReportsLoad = false
	return d
}

// withAutoscale enables autoscaling for a deployment.
func withAutoscale(d Deployment) Deployment {
	d.Autoscale = config.Autoscale{Min: scaledServers * 7 / 8, Max: 2 * scaledServers, BootTime: 4 * clock.Second}
	return d
}

// profit returns the value of the completed requests (late ones count half) less the cost of the
// servers, as a fraction of the value of all requests.
func profit(r Result) float64 {
	values := map[string]float64{"check": 2, "reply": 3, batchRoute: 7.2}
	sum, all := 0.0, 0.0
	for name, value := range values {
		class := r.Classes[name]
		sum += value * (float64(class.InTime) + float64(class.Late)/2)
		all += value * float64(class.Total)
	}
	return (sum - serverCostPerSecond*float64(r.ServerTime)/float64(clock.Second)) / all
}

// sinusoidalLoad returns a load factor that varies by about a third either way, with a period of 11 s.
func sinusoidalLoad(elapsed clock.Micros) float64 {
	return 1 + 0.35*math.Sin(2*math.Pi*float64(elapsed)/float64(11*clock.Second))
}

// loadWithBurst returns a sinusoidal load that is multiplied by factor for length, from 15 s on.
func loadWithBurst(factor float64, length clock.Micros) func(clock.Micros) float64 {
	return func(elapsed clock.Micros) float64 {
		if elapsed >= 15*clock.Second && elapsed < 15*clock.Second+length {
			return factor * sinusoidalLoad(elapsed)
		}
		return sinusoidalLoad(elapsed)
	}
}

// partlyFailing returns a deployment at normal load in which about a sixth of the servers fail for 4.5 s.
func partlyFailing() Deployment {
	d := autoscaleBase(0.9)
	d.Crash = Crash{After: 12 * clock.Second, For: 4500 * clock.Millisecond, Share: 0.17}
	return d
}

// scalingCase is a deployment and the effect that autoscaling must have on it.
type scalingCase struct {
	deployment Deployment
	load       func(elapsed clock.Micros) float64
	minGain    float64 // least change of the profit, averaged over the seeds; negative: a loss is allowed
	maxRaises  int     // most scale-ups of the first zone in a run
}

// Compares the profit with and without autoscaling under several load patterns. The bounds are about
// half of the measured gain, or twice the measured loss.
func TestAutoscalingProfitGain(t *testing.T) {
	for name, c := range map[string]scalingCase{
		"low load":                    {autoscaleBase(0.6), sinusoidalLoad, 0.002, 0},
		"normal load":                 {autoscaleBase(0.9), sinusoidalLoad, -0.005, 0},
		"burst of 3 s":                {autoscaleBase(0.9), loadWithBurst(1.7, 3*clock.Second), -0.015, 1},
		"constant overload":           {autoscaleBase(1.6), sinusoidalLoad, 0.08, 3},
		"a sixth of the servers down": {partlyFailing(), sinusoidalLoad, -0.013, 1},
		"overload from 15 s on":       {autoscaleBase(1.1), loadWithBurst(2, 30*clock.Second), 0.045, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testScaling(t, c)
		})
	}
}

func testScaling(t *testing.T, c scalingCase) {
	c.deployment.LoadFactor = c.load
	gain := 0.0
	for seed := int64(1); seed <= runs; seed++ {
		fixed := New(c.deployment, seed).Run(scaledRunLength)
		scaled := New(withAutoscale(c.deployment), seed).Run(scaledRunLength)
		gain += (profit(scaled) - profit(fixed)) / runs
		raises, reversals := countRaisesAndReversals(scaled.Changes)
		t.Logf("seed %d: profit %.3f with autoscaling, %.3f without; %d raises, %d reversals", seed, profit(scaled), profit(fixed), raises, reversals)
		if raises > c.maxRaises || reversals > 1 {
			t.Errorf("seed %d: too many raises or reversals: target changes %+v", seed, scaled.Changes)
		}
	}
	if gain < c.minGain {
		t.Errorf("mean profit gain of autoscaling is %.4f, want at least %.4f", gain, c.minGain)
	}
}

// countRaisesAndReversals counts the scale-ups of the first zone, and the changes whose direction is
// opposite to that of the change before.
func countRaisesAndReversals(changes []TargetChange) (raises, reversals int) {
	wasRaised, isFirst := false, true
	for _, change := range changes {
		if change.Zone != zoneName(0) {
			continue
		}
		isRaised := change.To > change.From
		if isRaised {
			raises++
		}
		if !isFirst && isRaised != wasRaised {
			reversals++
		}
		wasRaised, isFirst = isRaised, false
	}
	return raises, reversals
}
