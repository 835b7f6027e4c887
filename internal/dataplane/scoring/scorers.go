package scoring

import "tuliprudder/internal/clock"

// Each scorer below returns a score from 0 to 1, or 0 and a reason to exclude the server.
// Some only score, some only exclude.

const (
	// maxPrefilling is how many items of one store a server may have in prefill at a
	// time: engines prefill between the decoding steps of other requests, and delay
	// those.
	maxPrefilling = 1
	// prefillScaleTokens is how many tokens still to be prefilled halve the score.
	prefillScaleTokens = 2000
	// maxUnresponsiveTime is how long a server may show no progress before requests go
	// elsewhere.
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

// Adapter excludes a server without the adapter that the route names.
func Adapter(required Requirements, c Candidate) (float64, string) {
	if required.Adapter != "" && c.Labels["adapter"] != required.Adapter {
		return 0, "doesn't have the adapter " + required.Adapter
	}
	return 0, ""
}

// Weights excludes a server with other weights than the route names, or of another version than the
// request wants.
func Weights(required Requirements, c Candidate) (float64, string) {
	if required.Weights != "" && c.Labels["weights"] != required.Weights {
		return 0, "doesn't have the weights " + required.Weights
	}
	if required.WeightVersion != 0 && c.WeightVersion != 0 && c.WeightVersion != required.WeightVersion {
		return 0, "has another version of its weights"
	}
	return 0, ""
}

// BatchShare excludes a server that has as many of this store's batch items as it may
// have.
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

// Utilization scores free capacity, and excludes a server that is full for this priority.
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

// PrefixAffinity scores a server that ran the same prompt prefix last, as its KV cache
// may still have it. The score falls with the server's utilization, so that affinity
// doesn't overload it.
func PrefixAffinity(_ Requirements, c Candidate) (float64, string) {
	if !c.HasPrefix || c.Slots <= 0 {
		return 0, ""
	}
	return max(0, 1-c.utilization()), ""
}

// Speed scores a server by how close its latency comes to that of the fastest.
func Speed(_ Requirements, c Candidate) (float64, string) {
	if c.Latency <= 0 || c.FastestLatency <= 0 {
		return defaultSpeedScore, ""
	}
	return min(1, float64(c.FastestLatency)/float64(c.Latency)), ""
}

// Spread scores a server with few own requests. Unlike load reports, their number is
// never out of date.
func Spread(_ Requirements, c Candidate) (float64, string) { return 1 / float64(1+c.OwnRequests), "" }

// Prefill scores a server with few tokens still to be prefilled.
func Prefill(_ Requirements, c Candidate) (float64, string) {
	return 1 / (1 + float64(c.PrefillTokens)/prefillScaleTokens), ""
}

// Responsiveness scores a server that has shown progress lately.
func Responsiveness(_ Requirements, c Candidate) (float64, string) {
	if c.UnresponsiveFor > maxUnresponsiveTime {
		return 0, ""
	}
	return 1, ""
}

// Reliability scores a server that has failed few of its requests lately.
func Reliability(_ Requirements, c Candidate) (float64, string) { return 1 - c.FailureRate, "" }

// Locality scores a server of this daemon's own zone.
func Locality(_ Requirements, c Candidate) (float64, string) {
	if c.SameZone {
		return 1, ""
	}
	return 0, ""
}

// Queue scores a server by how few requests wait there, as it told of late. It doesn't count what
// runs: daemons that hear of the same server with few requests at the same time would all choose it.
func Queue(_ Requirements, c Candidate) (float64, string) { return 1 / (1 + c.WaitingRequests), "" }

// Rotation scores a server by its position in this daemon's own rotation. Daemons begin
// their rotations at different servers, so that those that don't know yet of each other's
// latest requests seldom choose the same one.
func Rotation(_ Requirements, c Candidate) (float64, string) { return 1 - c.Rotation, "" }
