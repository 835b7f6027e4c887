package scheduler

import (
	"maps"
	"slices"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

const (
	// latencySmoothing is the divisor of the moving average of latencies: each new one
	// counts an eighth, as in TCP's round-trip estimate (RFC 6298 section 2).
	latencySmoothing = 8
	// maxBackoffFactor bounds how often ServerBackoff a server is left alone after
	// failures in a row.
	maxBackoffFactor = 3
)

// serverState is what this daemon knows of one server. Counts of "own" requests are
// those of this daemon.
type serverState struct {
	server endpoints.Server
	// maxConnections is how many connections it takes, by the configuration in force; 0: any number.
	maxConnections int64
	scaledPool     string // the scaled pool that it is in, by the same; "": none

	load      endpoints.Load
	loadEpoch uint64 // of the reader that load is from

	ownRequests   int            // assigned now
	runIntervals  []*runInterval // own requests since the latest load report
	otherRequests int            // of other daemons, at the latest load report

	outcomes            outcomeRate
	reportedLoad        endpoints.ReportedLoad // the latest load that the server told a daemon of the zone
	reportedAt          clock.Micros
	weights             observedWeights
	latency             clock.Micros // moving average of a request's duration; 0: unknown
	consecutiveFailures int
	backoffUntil        clock.Micros

	prefilling           []*Assignment // own requests without a first event, the oldest first
	prefillTokens        int64         // their prompt tokens
	runningBatchItems    int
	prefillingBatchItems int
	lastProgressAt       clock.Micros // latest first event or end of an own request
}

// runInterval is the time of one request on a server; endedAt is 0 while it runs.
type runInterval struct{ startedAt, endedAt clock.Micros }

func (i *runInterval) isRunningAt(at clock.Micros) bool {
	return i.startedAt <= at && i.endsAfter(at)
}

func (i *runInterval) endsAfter(at clock.Micros) bool { return i.endedAt == 0 || i.endedAt > at }

// ServerSnapshot is one server as this daemon sees it, for the operators.
type ServerSnapshot struct {
	endpoints.Server
	Load        endpoints.Load `json:"load"`
	OwnRequests int            `json:"own"`        // of this daemon, running now
	Latency     clock.Micros   `json:"latency_us"` // moving average; 0: unknown
}

// SetServer takes a server's entry in the endpoint list. A server that comes back under
// another address starts without its past.
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

// configureServer notes what the configuration in force says about a server.
func (sc *Scheduler) configureServer(s *serverState) {
	if sc.configuration != nil {
		s.maxConnections = sc.configuration.MaxConnections(s.server.Labels)
		s.scaledPool = sc.configuration.ScaledPoolOf(s.server.Labels)
	}
}

// SetLoad takes a load report. One of a lower epoch is ignored: it is from a daemon
// that no longer reads this server.
func (sc *Scheduler) SetLoad(name string, epoch uint64, load endpoints.Load) {
	s := sc.servers[name]
	if s == nil || epoch < s.loadEpoch {
		return
	}
	s.loadEpoch = epoch
	s.setLoad(load)
	sc.changed = true
}

// Servers lists the servers known here, by name.
func (sc *Scheduler) Servers() []endpoints.Server {
	out := make([]endpoints.Server, 0, len(sc.servers))
	for _, s := range sc.servers {
		out = append(out, s.server)
	}
	slices.SortFunc(out, func(a, b endpoints.Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ServerNames are the names of the servers known here, in no order.
func (sc *Scheduler) ServerNames() []string { return slices.Collect(maps.Keys(sc.servers)) }

// Snapshot is this daemon's view of the servers, by name, and the queued weight of each
// tenant, for the operators.
func (sc *Scheduler) Snapshot() (servers []ServerSnapshot, queuedWeights map[string]int) {
	for _, s := range sc.servers {
		servers = append(servers, ServerSnapshot{Server: s.server, Load: s.load, OwnRequests: s.ownRequests, Latency: s.latency})
	}
	slices.SortFunc(servers, func(a, b ServerSnapshot) int { return strings.Compare(a.Name, b.Name) })
	return servers, maps.Clone(sc.queue.weights)
}

// runIntervalRetention is for how long a request that has ended is remembered where no load is read.
const runIntervalRetention = 10 * clock.Second

// add counts a new assignment in.
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

// setLoad takes a load report: what it counts beyond the own requests that ran at that
// time are other daemons' requests.
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

// recordFailure gives the server a backoff that grows with the failures in a row.
func (s *serverState) recordFailure(backoff, now clock.Micros) {
	s.consecutiveFailures = min(s.consecutiveFailures+1, maxBackoffFactor)
	s.backoffUntil = now + backoff*clock.Micros(s.consecutiveFailures)
}

// isHealthy tells whether the server answered at the latest load report; one without a
// report is taken for healthy.
func (s *serverState) isHealthy() bool { return s.load.ReadAt == 0 || s.load.Healthy }

// unresponsiveFor is how long the server has shown no progress although this daemon
// has requests in prefill there; 0 where it has none.
func (s *serverState) unresponsiveFor(now clock.Micros) clock.Micros {
	if len(s.prefilling) == 0 {
		return 0
	}
	return now - max(s.lastProgressAt, s.prefilling[0].AssignedAt)
}
