package roles

import (
	"github.com/prometheus/client_golang/prometheus"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/metrics"
)

// coreSample holds the values of a core's metrics at one point in time, by JSON key
// (controlplane.Counters). Some are present only while the core is primary or holds the lease.
type coreSample map[string]int64

func sampleCore(loop *eventloop.Loop, core *controlplane.Core) (s coreSample) {
	loop.WithMachine(func(now clock.Micros) { s = core.Counters(now) })
	return s
}

// coreMetric adds to a metric the functions that read it from a sample by its key.
func coreMetric(metric metrics.Metric[coreSample]) metrics.Metric[coreSample] {
	metric.Value = func(s coreSample) int64 { return s[metric.Key] }
	metric.IsPresent = func(s coreSample) bool {
		_, present := s[metric.Key]
		return present
	}
	return metric
}

// coreMetrics defines a core's metrics (docs/OPERATORS.md).
var coreMetrics = []metrics.Metric[coreSample]{
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_term", Name: "tuliprudder_core_term", Type: prometheus.GaugeValue,
		Help: "Highest term that this core has granted or written down.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_claims", Name: "tuliprudder_core_campaigns_total", Type: prometheus.CounterValue,
		Help: "Campaigns that this core started.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_takeovers", Name: "tuliprudder_core_terms_won_total", Type: prometheus.CounterValue,
		Help: "Terms that this core won.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_changes", Name: "tuliprudder_core_changes_total", Type: prometheus.CounterValue,
		Help: "Changes of the control state that this core committed as primary.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_orders_unclear", Name: "tuliprudder_core_unknown_outcomes_total", Type: prometheus.CounterValue,
		Help: "Operators' requests that ended without a clear outcome.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_voters", Name: "tuliprudder_core_voters", Type: prometheus.GaugeValue,
		Help: "Cores that vote.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_voters_silent", Name: "tuliprudder_core_voters_unreachable", Type: prometheus.GaugeValue,
		Help: "Voters that this core has no contact with.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_copy_pieces", Name: "tuliprudder_core_snapshot_chunks_left", Type: prometheus.GaugeValue,
		Help: "Chunks of the control state's snapshot that replicas still lack.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_leading", Name: "tuliprudder_core_holds_lease", Type: prometheus.GaugeValue,
		Help: "1 at the core that holds the lease; absent at the others.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_lease_left_us", Name: "tuliprudder_core_lease_remaining_seconds", Type: prometheus.GaugeValue, Unit: metrics.Microseconds,
		Help: "Time until the lease ends, 1 s at the most; absent without one.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_primary", Name: "tuliprudder_core_primary", Type: prometheus.GaugeValue,
		Help: "1 at the primary; absent at the others.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "core_copies_missing", Name: "tuliprudder_core_replicas_missing", Type: prometheus.GaugeValue,
		Help: "Replicas of the control state that are missing; at the primary only.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "acts_open", Name: "tuliprudder_core_acts_open", Type: prometheus.GaugeValue,
		Help: "Acts on outside systems that are decided and not known to be done; at the primary only.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "act_oldest_us", Name: "tuliprudder_core_act_oldest_age_seconds", Type: prometheus.GaugeValue, Unit: metrics.Microseconds,
		Help: "Age of the oldest of them; at the primary only.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "acts_abandoned", Name: "tuliprudder_core_acts_abandoned_total", Type: prometheus.CounterValue,
		Help: "Acts that were given up since too many waited.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "act_permits", Name: "tuliprudder_core_act_permits_total", Type: prometheus.CounterValue,
		Help: "Permits that this core granted as primary.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "act_holder_changes", Name: "tuliprudder_core_act_holder_changes_total", Type: prometheus.CounterValue,
		Help: "Changes of a subject's holder that this core decided as primary.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "acts_done", Name: "tuliprudder_core_acts_done_total", Type: prometheus.CounterValue,
		Help: "Permits that ended with the act done.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "acts_no_answer", Name: "tuliprudder_core_acts_unanswered_total", Type: prometheus.CounterValue,
		Help: "Permits that ended without an answer of the outside system.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "acts_postponed", Name: "tuliprudder_core_acts_postponed_total", Type: prometheus.CounterValue,
		Help: "Permits that ended with an answer to come back later.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "acts_refused", Name: "tuliprudder_core_acts_refused_total", Type: prometheus.CounterValue,
		Help: "Acts that the outside system refused for good.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "shards_short_of_copies", Name: "tuliprudder_core_under_replicated_shards", Type: prometheus.GaugeValue,
		Help: "Shards with too few complete replicas; at the primary only.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "usage_edges_unreported", Name: "tuliprudder_core_usage_edges_unreported", Type: prometheus.GaugeValue,
		Help: "Live edges that have not reported their use to this primary; at the primary only.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "usage_clocks_skewed", Name: "tuliprudder_core_usage_clocks_skewed", Type: prometheus.GaugeValue,
		Help: "Live edges whose clocks differ from the primary's by more than 1 s; at the primary only.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "usage_late", Name: "tuliprudder_core_usage_late_requests_total", Type: prometheus.CounterValue,
		Help: "Requests that were reported after their window was decided; at the primary only.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "usage_misdated", Name: "tuliprudder_core_usage_misdated_requests_total", Type: prometheus.CounterValue,
		Help: "Requests that were reported for a window too far from the primary's clock, or for which there was no room; at the primary only.",
	}),
	coreMetric(metrics.Metric[coreSample]{
		Key: "usage_windows_skipped", Name: "tuliprudder_core_usage_windows_skipped_total", Type: prometheus.CounterValue,
		Help: "Windows that got too old to be reported; at the primary only.",
	}),
}
