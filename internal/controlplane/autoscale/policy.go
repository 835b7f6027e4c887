package autoscale

import (
	"slices"

	"tuliprudder/internal/clock"
)

// The scaling policy: add servers when slots are in use or requests miss their latency targets, and remove them
// again about 15 s after both have ceased. Requests that share a server slow each other down before all of
// its slots are in use (the prefill of one interrupts the decoding of the others), at a utilization that
// depends on the kind of server. The policy therefore considers misses as well as utilization. It ignores bursts
// of 2 to 4 s, because new servers would be ready only after them.
const (
	// evaluationInterval is the time between two samples of the load.
	evaluationInterval = clock.Second

	// raiseUtilization is the intended fraction of slots in use after servers were added because of load. Where
	// fewer than toleratedMissRatio of the requests miss their targets, this kind of server can run at a
	// higher utilization, and fullUtilization applies instead.
	raiseUtilization   = 0.6
	fullUtilization    = 0.85
	toleratedMissRatio = 0.015
	// batchUtilization is the same where servers are added to finish batch items by their deadlines.
	batchUtilization = 0.8
	// raiseSamples is the number of recent samples that must require more servers. A burst of 4 s, or load that
	// oscillates with a period of up to 11 s, yields fewer.
	raiseSamples = 8
	// raiseMargin is the shortage of servers, as a fraction of the current number, above which servers are added.
	raiseMargin = 0.1
	// maxRaise is the largest increase in one step, as a fraction of the current number of servers.
	maxRaise = 0.5
	// raiseInterval is the minimum time between two increases.
	raiseInterval = 3 * clock.Second

	// raiseMissRatio is the fraction of the live requests of a sample that must miss their targets, or get no
	// server, for the sample to count; servers are added once raiseMissesSamples recent samples count.
	raiseMissRatio     = 0.03
	raiseMissesSamples = 7
	// severeMissRatio is the fraction at which severeMissesSamples consecutive samples suffice.
	severeMissRatio     = 0.1
	severeMissesSamples = 3
	// minMisses is the number of such requests below which misses are ignored.
	minMisses = 10
	// minMissUtilization is the utilization below which misses have another cause than a shortage of servers.
	minMissUtilization = 0.3
	// raisePerMissRatio is the increase for misses as a multiple of the fraction of requests that missed;
	// maxMissRaise is its upper limit.
	raisePerMissRatio = 3
	maxMissRaise      = 0.3
	// stabilizationTime is how long misses are ignored after new servers have booted: all daemons have to learn
	// of the servers first, and requests that queued before have to finish.
	stabilizationTime = 6 * clock.Second

	// lowerUtilization is the largest fraction of slots in use after servers were removed. It leaves enough
	// capacity for the loss of one of two zones.
	lowerUtilization = 0.4
	// lowerSamples is the number of samples over which the load must be low.
	lowerSamples = 12
	// lowerMissRatio is the fraction of live requests with misses at which no servers are removed.
	lowerMissRatio = 0.02
	// maxLower is the largest decrease in one step, as a fraction of the current number of servers; one server
	// in each zone may always be removed.
	maxLower = 0.15
	// lowerInterval is the minimum time between two decreases, and between the boot of added servers and a
	// decrease.
	lowerInterval = 3 * clock.Second
)

// sample is the load of a service at one point in time.
type sample struct {
	busy            float64 // slots that requests occupy or wait for
	requiredSlots   float64 // further slots that queued batch items need to finish by their deadlines
	slots, servers  float64
	started, missed float64 // live requests since the previous sample
}

// newSample returns a sample of the load of all daemons on the given number of servers, which have the given
// number of slots in total.
func newSample(load Load, servers int64, slots int) sample {
	return sample{
		busy:          float64(load.Busy)/milli + float64(load.Queued),
		requiredSlots: float64(load.Required) / milli,
		slots:         float64(slots),
		servers:       float64(servers),
		started:       float64(load.Started + load.Rejected),
		missed:        float64(load.Rejected + load.Late),
	}
}

// utilization returns the fraction of the slots that are in use.
func (s sample) utilization() float64 { return s.busy / max(1, s.slots) }

// serversFor returns the number of servers that the sample requires at the given utilization.
func (s sample) serversFor(utilization float64) float64 {
	slots := s.busy / utilization
	if s.requiredSlots > 0 {
		slots = max(slots, (s.busy+s.requiredSlots)/batchUtilization)
	}
	return slots * s.servers / max(1, s.slots)
}

// mean averages the samples; counts of requests are summed instead.
func mean(samples history) sample {
	var out sample
	for _, s := range samples {
		out.busy += s.busy / float64(len(samples))
		out.requiredSlots += s.requiredSlots / float64(len(samples))
		out.slots += s.slots / float64(len(samples))
		out.servers += s.servers / float64(len(samples))
		out.started += s.started
		out.missed += s.missed
	}
	return out
}

// missRatio returns the fraction of the live requests that missed their targets.
func (s sample) missRatio() float64 { return s.missed / max(1, s.started) }

// history holds the last samples of a service, the newest last.
type history []sample

func (h history) add(s sample) history {
	h = append(h, s)
	return h[max(0, len(h)-lowerSamples):]
}

// last returns the given number of newest samples, or nil if there are fewer.
func (h history) last(count int) history {
	if len(h) < count {
		return nil
	}
	return h[len(h)-count:]
}

// decision is the number of servers that a service should have, and the reason.
type decision struct {
	servers float64
	reason  reason
}

// raiseDecision returns the number of servers to which a service is raised from the current one; false if it is
// not raised. Misses are considered only with countMisses, once the most recently added servers have served for
// a while.
func (h history) raiseDecision(current float64, countMisses bool) (decision, bool) {
	out := decision{servers: current}
	if required := h.requiredServers(); required > current*(1+raiseMargin) {
		out = decision{min(required, current*(1+maxRaise)), reasonLoad}
	}
	misses := h.relevantMissRatio()
	if byMisses := current * (1 + min(raisePerMissRatio*misses, maxMissRaise)); countMisses && byMisses > out.servers {
		out = decision{byMisses, reasonMisses}
	}
	return out, out.servers > current
}

// relevantMissRatio returns the fraction of the live requests that miss their targets for a shortage of servers; 0
// if they are too few or have lasted for too short a time.
func (h history) relevantMissRatio() float64 {
	latest, all := mean(h.last(severeMissesSamples)), mean(h)
	switch {
	case h.last(severeMissesSamples).countSamplesWithMisses(severeMissRatio) == severeMissesSamples && latest.missed >= minMisses:
		return latest.missRatio()
	case h.countSamplesWithMisses(raiseMissRatio) >= raiseMissesSamples && all.missed >= minMisses:
		return all.missRatio()
	}
	return 0
}

// countSamplesWithMisses counts the samples in which at least this fraction of the live requests missed their
// targets, and in which the utilization was high enough for a shortage of servers to be the cause.
func (h history) countSamplesWithMisses(ratio float64) (count int) {
	for _, s := range h {
		if s.missRatio() >= ratio && s.missed > 0 && s.utilization() >= minMissUtilization {
			count++
		}
	}
	return count
}

// requiredServers returns the number of servers that at least raiseSamples of the samples require; 0 if there
// are fewer samples.
func (h history) requiredServers() float64 {
	utilization := fullUtilization
	if mean(h).missRatio() >= toleratedMissRatio {
		utilization = raiseUtilization
	}
	var required []float64
	for _, s := range h {
		required = append(required, s.serversFor(utilization))
	}
	if len(required) < raiseSamples {
		return 0
	}
	slices.Sort(required)
	return required[len(required)-raiseSamples]
}

// lowerDecision returns the number of servers to which a service in the given number of zones is lowered from the
// current one; false if it is not lowered.
func (h history) lowerDecision(current, zones float64) (decision, bool) {
	samples := h.last(lowerSamples)
	if samples == nil {
		return decision{}, false
	}
	all := mean(samples)
	required := all.serversFor(lowerUtilization)
	if required >= current || all.missed >= minMisses && all.missRatio() >= lowerMissRatio {
		return decision{}, false
	}
	return decision{max(required, current-max(zones, current*maxLower)), reasonLowLoad}, true
}

// reason is the cause of a change of a target. It appears in the log; the spelling never changes.
type reason string

const (
	reasonLoad    reason = "load"
	reasonMisses  reason = "misses"
	reasonLowLoad reason = "low load"
	reasonBounds  reason = "bounds"
)
