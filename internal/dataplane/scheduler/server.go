package scheduler

import (
	"maps"
	"slices"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

const (
	// latencySmoothing is the divisor of the moving average of durations: each new value
	// has a weight of 1/8, as in TCP's round-trip estimate (RFC 6298 section 2).
	latencySmoothing = 8
	// maxBackoffFactor limits the backoff after consecutive failures, in multiples of
	// Settings.ServerBackoff.
	maxBackoffFactor = 3
)

// serverState is what this daemon knows of one server. "Own" requests are those of this
// daemon.
type serverState struct {
	server endpoints.Server
	// maxConnections is the server's maximum number of connections in the configuration in force; 0: unlimited.
	maxConnections int64
	scaledPool     string // the autoscaled pool that it is in, in the configuration in force; "": none

	load      endpoints.Load
	loadEpoch uint64 // epoch of the load's reader

	ownRequests   int            // number assigned now
	runIntervals  []*runInterval // of own requests that run or ended after the latest load report
	otherRequests int            // of other daemons, at the latest load report

	outcomes            outcomeRate
	reportedLoad        endpoints.ReportedLoad // the latest load that the server reported to a daemon of the zone
	reportedAt          clock.Micros
	weights             observedWeights
	latency             clock.Micros // moving average of a request's duration; 0: unknown
	consecutiveFailures int
	backoffUntil        clock.Micros

	prefilling           []*Assignment // own requests without a first event, oldest first
	prefillTokens        int64         // their prompt tokens
	runningBatchItems    int
	prefillingBatchItems int
	lastProgressAt       clock.Micros // latest first event or end of an own request
}

// runInterval is the time during which one request runs on a server; endedAt is 0 until it ends.
type runInterval struct{ startedAt, endedAt clock.Micros }

func (i *runInterval) isRunningAt(at clock.Micros) bool {
	return i.startedAt <= at && i.endsAfter(at)
}

func (i *runInterval) endsAfter(at clock.Micros) bool { return i.endedAt == 0 || i.endedAt > at }

// ServerSnapshot is this daemon's view of one server, for operators.
type ServerSnapshot struct {
	endpoints.Server
	Load        endpoints.Load `json:"load"`
	OwnRequests int            `json:"own"`        // of this daemon, running now
	Latency     clock.Micros   `json:"latency_us"` // moving average; 0: unknown
}

// SetServer adds or updates a server from its entry in the endpoint list. If its address has
// changed, the load, weights, latency and failures known of the old address are discarded.
func (sc *Scheduler) SetServer(server endpoints.Server) {
	s := sc.servers[server.Name]
	if s == nil {
		s = &serverState{}
		sc.servers[server.Name] = s
	}
	if s.server.Address != server.Address {
		s.load = endpoints.Load{}
		s.otherRequests = 0
		s.outcomes = outcomeRate{}
		s.reportedLoad, s.reportedAt = endpoints.ReportedLoad{}, 0
		s.weights = observedWeights{}
		s.latency = 0
		s.consecutiveFailures = 0
		s.backoffUntil = 0
	}
	s.server = server
	sc.configureServer(s)
	sc.changed = true
}

// configureServer applies the configuration in force to a server.
func (sc *Scheduler) configureServer(s *serverState) {
	if sc.configuration != nil {
		s.maxConnections = sc.configuration.MaxConnections(s.server.Labels)
		s.scaledPool = sc.configuration.ScaledPoolOf(s.server.Labels)
	}
}

// SetLoad records a load report. A report of a lower epoch is ignored: it is from a daemon
// that no longer reads this server's load.
func (sc *Scheduler) SetLoad(name string, epoch uint64, load endpoints.Load) {
	s := sc.servers[name]
	if s == nil || epoch < s.loadEpoch {
		return
	}
	s.loadEpoch = epoch
	s.setLoad(load)
	sc.changed = true
}

// Servers returns the known servers, sorted by name.
func (sc *Scheduler) Servers() []endpoints.Server {
	out := make([]endpoints.Server, 0, len(sc.servers))
	for _, s := range sc.servers {
		out = append(out, s.server)
	}
	slices.SortFunc(out, func(a, b endpoints.Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ServerNames returns the names of the known servers, in no particular order.
func (sc *Scheduler) ServerNames() []string { return slices.Collect(maps.Keys(sc.servers)) }

// Snapshot returns this daemon's view of the servers, sorted by name, and the queued weight of
// each tenant, for operators.
func (sc *Scheduler) Snapshot() (servers []ServerSnapshot, queuedWeights map[string]int) {
	for _, s := range sc.servers {
		servers = append(servers, ServerSnapshot{Server: s.server, Load: s.load, OwnRequests: s.ownRequests, Latency: s.latency})
	}
	slices.SortFunc(servers, func(a, b ServerSnapshot) int { return strings.Compare(a.Name, b.Name) })
	return servers, maps.Clone(sc.queue.weights)
}

// runIntervalRetention is how long the run interval of an ended request is kept at most. Load reports remove run
// intervals earlier; this bounds their number while there are none.
const runIntervalRetention = 10 * clock.Second

// add counts a new assignment.
func (s *serverState) add(a *Assignment) {
	s.ownRequests++
	s.runIntervals = slices.DeleteFunc(s.runIntervals, func(i *runInterval) bool { return !i.endsAfter(a.AssignedAt - runIntervalRetention) })
	s.runIntervals = append(s.runIntervals, a.interval)
	s.prefilling = append(s.prefilling, a)
	s.prefillTokens += a.promptTokens
	if a.isBatchItem {
		s.runningBatchItems++
		s.prefillingBatchItems++
	}
}

// setLoad records a load report. The requests that it counts beyond the own requests that ran
// at that time are those of other daemons.
func (s *serverState) setLoad(load endpoints.Load) {
	own := 0
	for _, interval := range s.runIntervals {
		if interval.isRunningAt(load.ReadAt) {
			own++
		}
	}
	s.runIntervals = slices.DeleteFunc(s.runIntervals, func(i *runInterval) bool { return !i.endsAfter(load.ReadAt) })
	s.load = load
	s.otherRequests = max(0, load.Running+load.Waiting-own)
}

func (s *serverState) recordSuccess(duration, now clock.Micros) {
	s.lastProgressAt = now
	s.consecutiveFailures = 0
	if duration <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = duration
	}
	s.latency += (duration - s.latency) / latencySmoothing
}

// recordFailure gives the server a backoff that grows with the number of consecutive failures.
func (s *serverState) recordFailure(backoff, now clock.Micros) {
	s.consecutiveFailures = min(s.consecutiveFailures+1, maxBackoffFactor)
	s.backoffUntil = now + backoff*clock.Micros(s.consecutiveFailures)
}

// isHealthy reports whether the server was healthy at the latest load report. A server without
// a report counts as healthy.
func (s *serverState) isHealthy() bool { return s.load.ReadAt == 0 || s.load.Healthy }

// unresponsiveFor returns how long the server has made no progress although this daemon
// has requests in prefill there; 0 if it has none.
func (s *serverState) unresponsiveFor(now clock.Micros) clock.Micros {
	if len(s.prefilling) == 0 {
		return 0
	}
	return now - max(s.lastProgressAt, s.prefilling[0].AssignedAt)
}
