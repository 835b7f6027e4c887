package scoring

import "tuliprudder/internal/clock"

// Each scorer below returns a score from 0 to 1, or 0 and a reason to exclude the server.
// Some scorers never exclude a server, and some do nothing else.

const (
	// maxPrefilling limits the items of one store that a server may have in prefill at a
	// time: engines prefill between the decoding steps of other requests, which this
	// delays.
	maxPrefilling = 1
	// prefillScaleTokens is the number of tokens to prefill that halves the score.
	prefillScaleTokens = 2000
	// maxUnresponsiveTime is how long a server may make no progress before other servers
	// are preferred.
	maxUnresponsiveTime = 350 * clock.Millisecond
	// defaultSpeedScore is the speed score of a server whose latency is unknown.
	defaultSpeedScore = 0.5
)

// Draining excludes a server that is draining.
func Draining(_ Requirements, c Candidate) (float64, string) {
	if c.Draining {
		return 0, "draining"
	}
	return 0, ""
}

// Health excludes a server that is unhealthy or in backoff.
func Health(_ Requirements, c Candidate) (float64, string) {
	switch {
	case !c.Healthy:
		return 0, "unhealthy"
	case c.Now < c.BackoffUntil:
		return 0, "in backoff after a rejection or failure"
	default:
		return 0, ""
	}
}

// Adapter excludes a server that does not have the adapter that the route requires.
func Adapter(required Requirements, c Candidate) (float64, string) {
	if required.Adapter != "" && c.Labels["adapter"] != required.Adapter {
		return 0, "doesn't have the adapter " + required.Adapter
	}
	return 0, ""
}

// Weights excludes a server that has other weights than the route requires, or another version of them than
// the request requires.
func Weights(required Requirements, c Candidate) (float64, string) {
	if required.Weights != "" && c.Labels["weights"] != required.Weights {
		return 0, "doesn't have the weights " + required.Weights
	}
	if required.WeightVersion != 0 && c.WeightVersion != 0 && c.WeightVersion != required.WeightVersion {
		return 0, "has another version of its weights"
	}
	return 0, ""
}

// BatchShare excludes a server that already has its share of this store's batch items, or has one
// of them in prefill.
func BatchShare(_ Requirements, c Candidate) (float64, string) {
	usage := c.BatchUsage
	switch {
	case usage == nil:
		return 0, ""
	case usage.Prefilling >= maxPrefilling:
		return 0, "prefills a batch item"
	case usage.Running >= usage.Limit:
		return 0, "this store's share for batch items is full"
	default:
		return 0, ""
	}
}

// Utilization scores the free capacity of a server, and excludes a server whose utilization has
// reached the limit for the request's priority.
func Utilization(_ Requirements, c Candidate) (float64, string) {
	if c.Slots <= 0 {
		return 0, "has no slots"
	}
	utilization := c.utilization()
	if utilization >= c.UtilizationLimit {
		return 0, "full for this priority"
	}
	return max(0, 1-utilization), ""
}

// PrefixAffinity prefers the server that last ran a request with the same prompt prefix, because its
// KV cache may still contain the prefix. The score falls with the server's utilization, so that
// affinity does not overload the server.
func PrefixAffinity(_ Requirements, c Candidate) (float64, string) {
	if !c.HasPrefix || c.Slots <= 0 {
		return 0, ""
	}
	return max(0, 1-c.utilization()), ""
}

// Speed scores a server by the ratio of the fastest server's latency to its own.
func Speed(_ Requirements, c Candidate) (float64, string) {
	if c.Latency <= 0 || c.FastestLatency <= 0 {
		return defaultSpeedScore, ""
	}
	return min(1, float64(c.FastestLatency)/float64(c.Latency)), ""
}

// Spread prefers a server with few own requests. Unlike load reports, their number is never out of
// date.
func Spread(_ Requirements, c Candidate) (float64, string) { return 1 / float64(1+c.OwnRequests), "" }

// Prefill prefers a server with few tokens left to prefill.
func Prefill(_ Requirements, c Candidate) (float64, string) {
	return 1 / (1 + float64(c.PrefillTokens)/prefillScaleTokens), ""
}

// Responsiveness prefers a server that has made progress lately.
func Responsiveness(_ Requirements, c Candidate) (float64, string) {
	if c.UnresponsiveFor > maxUnresponsiveTime {
		return 0, ""
	}
	return 1, ""
}

// Reliability prefers a server on which few requests have failed lately.
func Reliability(_ Requirements, c Candidate) (float64, string) { return 1 - c.FailureRate, "" }

// Locality prefers a server in this daemon's own zone.
func Locality(_ Requirements, c Candidate) (float64, string) {
	if c.SameZone {
		return 1, ""
	}
	return 0, ""
}

// Queue prefers a server with few waiting requests, as it reported lately. Running requests do not
// count: daemons that learn at the same time of a server with few requests would all choose it.
func Queue(_ Requirements, c Candidate) (float64, string) { return 1 / (1 + c.WaitingRequests), "" }

// Rotation scores a server by its position in this daemon's own rotation. Daemons start their
// rotations at different servers, so that daemons that do not know each other's latest requests yet
// seldom choose the same server.
func Rotation(_ Requirements, c Candidate) (float64, string) { return 1 - c.Rotation, "" }
