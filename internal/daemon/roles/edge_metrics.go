package roles

import (
	"github.com/prometheus/client_golang/prometheus"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/metrics"
)

// edgeSample holds the values of an edge's metrics at one point in time.
type edgeSample struct {
	quota                              quotaSample
	scheduler                          schedulerSample
	requestsInFlight, readsPending     int64
	proxyInFlight, proxyForwarded      int64
	proxyRejected, proxyUnauthorised   int64
	proxyUnknownOutcomes, proxyRetries int64
	usageCounted, usageUndecided       int64
	usageDropped                       int64
	reportsSent, reportsFailed         int64
}

func sampleEdge(loop *eventloop.Loop, edge *machines.Edge) (s edgeSample) {
	loop.WithMachine(func(now clock.Micros) {
		s = edgeSample{
			quota:                sampleQuota(edge.Scheduling, now),
			scheduler:            sampleScheduler(edge.Scheduling),
			requestsInFlight:     int64(edge.Requests.InFlight()),
			readsPending:         int64(edge.Reader.Pending()),
			proxyInFlight:        int64(edge.Proxy.InFlight()),
			proxyForwarded:       edge.Proxy.Forwarded,
			proxyRejected:        edge.Proxy.Rejected,
			proxyUnauthorised:    edge.Proxy.Unauthorised,
			proxyUnknownOutcomes: edge.Proxy.UnknownOutcomes,
			proxyRetries:         edge.Proxy.Retries,
			usageCounted:         edge.Usage.Counted,
			usageUndecided:       edge.Usage.Undecided(),
			usageDropped:         edge.Usage.Dropped,
			reportsSent:          edge.Reports.Sent,
			reportsFailed:        edge.Reports.Failed,
		}
	})
	return s
}

// edgeMetrics defines an edge's metrics (docs/OPERATORS.md).
var edgeMetrics = []metrics.Metric[edgeSample]{
	{
		Key: "shares_held", Name: "tuliprudder_quota_in_use", Type: prometheus.GaugeValue,
		Help:  "Weight of the work of tenants that is queued or runs here.",
		Value: func(s edgeSample) int64 { return s.quota.inUse },
	},
	{
		Key: "shares_lent", Name: "tuliprudder_quota_granted", Type: prometheus.GaugeValue,
		Help:  "Weight that the accounts owned here have granted to daemons.",
		Value: func(s edgeSample) int64 { return s.quota.granted },
	},
	{
		Key: "over_allowance", Name: "tuliprudder_quota_rejections_total", Type: prometheus.CounterValue,
		Help:  "Requests rejected for their tenant's quota.",
		Value: func(s edgeSample) int64 { return s.quota.rejected },
	},
	{
		Key: "backlog", Name: "tuliprudder_scheduler_queue_length", Type: prometheus.GaugeValue,
		Help:  "Requests that wait for a model server.",
		Value: func(s edgeSample) int64 { return s.scheduler.queueLength },
	},
	{
		Key: "assigned", Name: "tuliprudder_scheduler_assignments_total", Type: prometheus.CounterValue,
		Help:  "Requests assigned to a model server.",
		Value: func(s edgeSample) int64 { return s.scheduler.assigned },
	},
	{
		Key: "expired", Name: "tuliprudder_scheduler_deadline_exceeded_total", Type: prometheus.CounterValue,
		Help:  "Requests whose deadline passed in the queue.",
		Value: func(s edgeSample) int64 { return s.scheduler.deadlineExceeded },
	},
	{
		Key: "turned_away", Name: "tuliprudder_scheduler_rejections_total", Type: prometheus.CounterValue,
		Help:  "Requests rejected for a full queue or an estimated wait past their deadline.",
		Value: func(s edgeSample) int64 { return s.scheduler.rejected },
	},
	{
		Key: "orders_open", Name: "tuliprudder_requests_in_flight", Type: prometheus.GaugeValue,
		Help:  "Requests of the callers' API in flight.",
		Value: func(s edgeSample) int64 { return s.requestsInFlight },
	},
	{
		Key: "reads_waiting", Name: "tuliprudder_reads_pending", Type: prometheus.GaugeValue,
		Help:  "Reads of batches that wait for results.",
		Value: func(s edgeSample) int64 { return s.readsPending },
	},
	{
		Key: "requests_open", Name: "tuliprudder_proxy_requests_in_flight", Type: prometheus.GaugeValue,
		Help:  "Requests forwarded unchanged that are in flight.",
		Value: func(s edgeSample) int64 { return s.proxyInFlight },
	},
	{
		Key: "requests_passed", Name: "tuliprudder_proxy_requests_forwarded_total", Type: prometheus.CounterValue,
		Help:  "Requests forwarded unchanged that a server answered.",
		Value: func(s edgeSample) int64 { return s.proxyForwarded },
	},
	{
		Key: "requests_refused", Name: "tuliprudder_proxy_requests_rejected_total", Type: prometheus.CounterValue,
		Help:  "Requests to forward that were rejected.",
		Value: func(s edgeSample) int64 { return s.proxyRejected },
	},
	{
		Key: "requests_unauthorised", Name: "tuliprudder_proxy_requests_unauthorised_total", Type: prometheus.CounterValue,
		Help:  "Requests to forward without an API key of a tenant, where their route asks for one.",
		Value: func(s edgeSample) int64 { return s.proxyUnauthorised },
	},
	{
		Key: "requests_unknown", Name: "tuliprudder_proxy_unknown_outcomes_total", Type: prometheus.CounterValue,
		Help:  "Requests forwarded that may have run, with no clear outcome.",
		Value: func(s edgeSample) int64 { return s.proxyUnknownOutcomes },
	},
	{
		Key: "requests_sent_again", Name: "tuliprudder_proxy_retries_total", Type: prometheus.CounterValue,
		Help:  "Requests that were sent to a further server.",
		Value: func(s edgeSample) int64 { return s.proxyRetries },
	},
	{
		Key: "usage_counted", Name: "tuliprudder_usage_requests_total", Type: prometheus.CounterValue,
		Help:  "Tenants' requests that began to run at a server, where use is reported.",
		Value: func(s edgeSample) int64 { return s.usageCounted },
	},
	{
		Key: "usage_undecided", Name: "tuliprudder_usage_undecided_requests", Type: prometheus.GaugeValue,
		Help:  "Requests of windows whose reports of use are not decided yet.",
		Value: func(s edgeSample) int64 { return s.usageUndecided },
	},
	{
		Key: "usage_dropped", Name: "tuliprudder_usage_dropped_requests_total", Type: prometheus.CounterValue,
		Help:  "Requests of windows that were dropped before they were decided.",
		Value: func(s edgeSample) int64 { return s.usageDropped },
	},
	{
		Key: "reports_sent", Name: "tuliprudder_primary_reports_sent_total", Type: prometheus.CounterValue,
		Help:  "Reports sent to the primary core.",
		Value: func(s edgeSample) int64 { return s.reportsSent },
	},
	{
		Key: "reports_failed", Name: "tuliprudder_primary_reports_failed_total", Type: prometheus.CounterValue,
		Help:  "Reports that the primary core did not acknowledge; what they said is sent again.",
		Value: func(s edgeSample) int64 { return s.reportsFailed },
	},
}
