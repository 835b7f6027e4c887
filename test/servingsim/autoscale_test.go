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
	scaledServers   = 8 // of a zone
	// serverPrice is what a server costs in a second, in the unit of the requests' values.
	serverPrice = 2.2
)

// scaled is a deployment whose servers come and go; at scale 1 their slots are taken to about two thirds.
func scaled(scale float64) Deployment {
	d := Bazaar(scaledZones, 6, 2, scaledServers, 1)
	d.Engine = Engine{
		Slots: 8, QueueLimit: 24, MemoryTokens: 327_000, StepTime: 1530, PrefillRate: 0.13,
		ChunkTokens: 4096, FirstDelay: 16 * clock.Millisecond, EventTokens: 24,
	}
	d.Live = []LiveClass{
		{Name: "check", PerSecond: 11 * scaledServers * scale, PromptTokens: 2370, OutputTokens: 30, Target: 300 * clock.Millisecond, Timeout: 2 * clock.Second, MaxAttempts: 1, Retries: 1},
		{Name: "reply", PerSecond: 3.3 * scaledServers * scale, PromptTokens: 1460, OutputTokens: 172, Target: 250 * clock.Millisecond, Timeout: 4 * clock.Second, MaxAttempts: 2, Resumable: true, Retries: 1},
	}
	d.Batch = BatchClass{
		HeapEvery: clock.Second, HeapBatches: int(math.Round(2.4 * scaledServers * scaledZones * scale / 30)), Items: 30,
		PromptTokens: 768, OutputTokens: 672, Due: 8 * clock.Second, CompletionWindow: 8 * clock.Second,
	}
	d.ScorerWeights = map[string]float64{"fullness": 4, "turn": 1.5, "reading": 6, "silence": 20, "queue": 2, "zone": 2, "reliability": 20}
	d.TellsLoad = false
	return d
}

// withAutoscale is a deployment whose servers are scaled.
func withAutoscale(d Deployment) Deployment {
	d.Autoscale = config.Autoscale{Min: scaledServers * 7 / 8, Max: 2 * scaledServers, BootTime: 4 * clock.Second}
	return d
}

// profit is the value of what was served less the price of the servers, over the value of all.
func profit(r Result) float64 {
	values := map[string]float64{"check": 2, "reply": 3, batchRoute: 7.2}
	sum, all := 0.0, 0.0
	for name, value := range values {
		class := r.Classes[name]
		sum += value * (float64(class.InTime) + float64(class.Late)/2)
		all += value * float64(class.Owed)
	}
	return (sum - serverPrice*float64(r.ServerTime)/float64(clock.Second)) / all
}

// wave is a load that swings by a third within 11 s.
func wave(elapsed clock.Micros) float64 {
	return 1 + 0.35*math.Sin(2*math.Pi*float64(elapsed)/float64(11*clock.Second))
}

// burst is a wave with so many times the load from 15 s on, for a while.
func burst(factor float64, length clock.Micros) func(clock.Micros) float64 {
	return func(elapsed clock.Micros) float64 {
		if elapsed >= 15*clock.Second && elapsed < 15*clock.Second+length {
			return factor * wave(elapsed)
		}
		return wave(elapsed)
	}
}

func TestScalingTrial(t *testing.T) {
	type trial struct {
		name string
		d    Deployment
		load func(clock.Micros) float64
	}
	crashed := scaled(0.9)
	crashed.Crash = Crash{After: 12 * clock.Second, For: 4500 * clock.Millisecond, Share: 0.17}
	for _, c := range []trial{
		{"loaded", scaled(1.2), wave}, {"overloaded", scaled(1.6), wave},
		{"burst", scaled(0.9), burst(1.7, 3*clock.Second)}, {"lasting", scaled(0.9), burst(1.8, 30*clock.Second)}, {"crash", crashed, wave},
	} {
		d := c.d
		d.LoadFactor = c.load
		for seed := int64(1); seed <= 2; seed++ {
			fixed, scaledRun := New(d, seed).Run(scaledRunLength), New(withAutoscale(d), seed).Run(scaledRunLength)
			t.Logf("%s fixed  %.3f scaled %.3f servers %.1f", c.name, profit(fixed), profit(scaledRun), float64(scaledRun.ServerTime)/float64(scaledRunLength))
			for name, class := range scaledRun.Classes {
				t.Logf("     %s %.3f %.3f late %.3f %.3f", name, fixed.Classes[name].InTimeShare(), class.InTimeShare(), float64(fixed.Classes[name].Late)/float64(fixed.Classes[name].Owed), float64(class.Late)/float64(class.Owed))
			}
			for _, change := range scaledRun.Changes {
				if change.Zone == "zone-0" {
					t.Logf("     %.1f %d %d", float64(change.After)/1e6, change.From, change.To)
				}
			}
		}
	}
}
