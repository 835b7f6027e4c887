package roles

import (
	"github.com/prometheus/client_golang/prometheus"

	"tuliprudder/internal/daemon/host"
	"tuliprudder/internal/daemon/metrics"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/logging"
)

// MonitorCallerConnections registers the metrics of how callers' connections to a server end, and
// logs each connection that this daemon closed without a response. It must be called before the
// server starts.
func MonitorCallerConnections(d *host.Daemon, server *httpserver.RawServer) {
	stats := &server.Unanswered
	d.Admin.Metrics.Register(metrics.NewModule(callerMetrics, func() callerSample {
		return callerSample{
			closedIdle:          stats.ClosedIdle.Load(),
			closedUnanswered:    stats.ClosedByServer.Load(),
			callersDisconnected: stats.CallersDisconnected.Load(),
			longestWait:         stats.LongestWait.Load(),
		}
	}))
	server.OnUnanswered = func(ended httpserver.Unanswered) {
		logging.Write(d.Log, ConnectionClosedUnanswered{
			Caller:       ended.Remote,
			RequestBytes: ended.RequestBytes,
			AgeUS:        ended.Age.Microseconds(),
		})
	}
}

// callerSample counts how callers' connections have ended since the daemon started.
type callerSample struct{ closedIdle, closedUnanswered, callersDisconnected, longestWait int64 }

// callerMetrics defines the metrics of callers' connections (docs/OPERATORS.md).
var callerMetrics = []metrics.Metric[callerSample]{
	{
		Key: "connections_closed_idle", Name: "tuliprudder_caller_connections_closed_idle_total", Type: prometheus.CounterValue,
		Help:  "Connections of callers that were closed because they were idle for too long.",
		Value: func(s callerSample) int64 { return s.closedIdle },
	},
	{
		Key: "connections_closed_unanswered", Name: "tuliprudder_caller_connections_closed_unanswered_total", Type: prometheus.CounterValue,
		Help:  "Connections of callers that this daemon closed after it had read something of a request and before it answered.",
		Value: func(s callerSample) int64 { return s.closedUnanswered },
	},
	{
		Key: "callers_left", Name: "tuliprudder_callers_left_total", Type: prometheus.CounterValue,
		Help:  "Callers that left, or were lost, before anything of the response was written.",
		Value: func(s callerSample) int64 { return s.callersDisconnected },
	},
	{
		Key: "callers_left_longest_us", Name: "tuliprudder_callers_left_longest_wait_seconds", Type: prometheus.GaugeValue, Unit: metrics.Microseconds,
		Help:  "Longest time that a caller had waited who left without a response.",
		Value: func(s callerSample) int64 { return s.longestWait },
	},
}
