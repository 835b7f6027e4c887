package autoscale

import (
	"slices"

	"tuliprudder/internal/clock"
)

// The policy: up when slots are taken or requests miss their targets, a quarter of a minute later down
// again when neither is so. Requests that share a server slow each other down before its slots are used up
// (one's prefill interrupts the others' tokens), at another utilization for each kind of server; so
// what requests miss counts beside the slots. A burst of 2 to 4 s changes nothing: new servers would serve
// after it.
const (
	// evaluationInterval is between two samples of the load.
	evaluationInterval = clock.Second

	// raiseUtilization is the part of all slots that is to be taken after servers were added for the load. Where
	// hardly any requests miss their targets, less than raiseEvidence of them, servers of that kind bear
	// more: fullUtilization.
	raiseUtilization   = 0.6
	fullUtilization    = 0.85
	toleratedMissRatio = 0.015
	// batchUtilization is the same where batch items would be late otherwise.
	batchUtilization = 0.8
	// raiseSamples is how many of the last samples have to require more servers. A burst of 4 s and a swing of
	// the load within 11 s have fewer.
	raiseSamples = 8
	// raiseMargin is the part of its servers that a service has to be short of.
	raiseMargin = 0.1
	// maxRaise is the largest part of its servers that a service is raised by at once.
	maxRaise = 0.5
	// raiseInterval is between two steps up.
	raiseInterval = 3 * clock.Second

	// raiseMissRatio is the part of a second's live requests that miss their targets, or get no server, from
	// which on it counts; so many of the latest samples have to count for servers to be added.
	raiseMissRatio     = 0.03
	raiseMissesSamples = 7
	// severeMissRatio is the part that adds servers when as many samples in a row have it.
	severeMissRatio     = 0.1
	severeMissesSamples = 3
	// minMisses is the smallest number of such requests.
	minMisses = 10
	// minMissUtilization is the utilization below which they have another cause than a want of servers.
	minMissUtilization = 0.3
	// raisePerMissRatio is how much a service is raised by, as a multiple of the part that missed; maxMissRaise is
	// the most.
	raisePerMissRatio = 3
	maxMissRaise      = 0.3
	// stabilizationTime is how long after new servers have booted what requests miss counts again: they have
	// to be known everywhere, and what waited before has to be gone.
	stabilizationTime = 6 * clock.Second

	// lowerUtilization is the part of all slots that may be taken after servers were taken away. It leaves
	// room for the loss of a zone of two.
	lowerUtilization = 0.4
	// lowerSamples is over how many samples the load has to be low.
	lowerSamples = 12
	// lowerMissRatio is the part of the live requests from which on no server is taken away.
	lowerMissRatio = 0.02
	// maxLower is the largest part of its servers that a service is lowered by at once; one server in each
	// zone may always go.
	maxLower = 0.15
	// lowerInterval is between two steps down, and after servers were added.
	lowerInterval = 3 * clock.Second
)

// sample is a service's load at one time.
type sample struct {
	busy            float64 // slots that requests take or wait for
	requiredSlots   float64 // slots that queued batch items need besides to be in time
	slots, servers  float64
	started, missed float64 // live requests since the sample before
}

// newSample makes a sample of what all daemons have to run, before so many servers with so many slots in all.
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

// utilization is the part of the slots that is taken.
func (s sample) utilization() float64 { return s.busy / max(1, s.slots) }

// serversFor is how many servers the sample requires, at some utilization.
func (s sample) serversFor(utilization float64) float64 {
	slots := s.busy / utilization
	if s.requiredSlots > 0 {
		slots = max(slots, (s.busy+s.requiredSlots)/batchUtilization)
	}
	return slots * s.servers / max(1, s.slots)
}

// mean is the mean of samples; what is counted is summed.
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

// missRatio is the part of the live requests that missed their targets.
func (s sample) missRatio() float64 { return s.missed / max(1, s.started) }

// history are the last samples of a service, the newest last.
type history []sample

func (h history) add(s sample) history {
	h = append(h, s)
	return h[max(0, len(h)-lowerSamples):]
}

// last are the newest samples; nil where there are fewer.
func (h history) last(count int) history {
	if len(h) < count {
		return nil
	}
	return h[len(h)-count:]
}

// decision is how many servers a service is to have, and why.
type decision struct {
	servers float64
	reason  reason
}

// raiseDecision is how many servers a service with so many is raiseDecision to; false where it isn't. What requests miss
// counts only where the latest new servers have served for a while.
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

// relevantMissRatio is the part of the live requests that miss their targets for want of servers; 0 where that is too
// few, or for too short.
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

// countSamplesWithMisses counts the samples in which this part of the live requests missed their targets, and in which
// enough slots were taken for a want of servers.
func (h history) countSamplesWithMisses(ratio float64) (count int) {
	for _, s := range h {
		if s.missRatio() >= ratio && s.missed > 0 && s.utilization() >= minMissUtilization {
			count++
		}
	}
	return count
}

// requiredServers is the number of servers that as many as raiseSamples of the samples require; 0 where there are
// fewer.
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

// lowerDecision is how many servers a service with so many, over some zones, is lowerDecision to; false where it isn't.
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

// reason says why a target changes. It is in the log; the spelling never changes.
type reason string

const (
	reasonLoad    reason = "load"
	reasonMisses  reason = "misses"
	reasonLowLoad reason = "low load"
	reasonBounds  reason = "bounds"
)
