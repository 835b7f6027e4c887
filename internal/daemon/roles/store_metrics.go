package roles

import (
	"github.com/prometheus/client_golang/prometheus"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/metrics"
)

// storeSample holds the values of a store's metrics at one point in time.
type storeSample struct {
	quota                                                                       quotaSample
	scheduler                                                                   schedulerSample
	underReplicated                                                             int64
	oldestUnannounced, oldestWrite                                              clock.Micros
	entriesConfirmed, reads, batchesArchived                                    int64
	itemsInFlight, visibleResults, batchesSubmitted, unknownOutcomes, takeovers int64
	finishedBytesInMemory, snapshotBytesInMemory                                int64 // bytes
}

func sampleStore(loop *eventloop.Loop, store *machines.Store) (s storeSample) {
	loop.WithMachine(func(now clock.Micros) {
		s = storeSample{
			quota:            sampleQuota(store.Scheduling, now),
			scheduler:        sampleScheduler(store.Scheduling),
			oldestWrite:      store.Batches.OldestWrite(now),
			entriesConfirmed: store.Batches.EntriesConfirmed,
			reads:            store.Batches.Reads,
			batchesArchived:  store.Batches.BatchesArchived,
			itemsInFlight:    int64(store.Runner.Pending()),
			visibleResults:   store.Batches.ResultsRecorded,
			batchesSubmitted: store.Batches.BatchesSubmitted,
			unknownOutcomes:  store.Batches.UnknownOutcomes,
			takeovers:        store.Batches.Takeovers,

			finishedBytesInMemory: store.Batches.FinishedBytesInMemory(),
			snapshotBytesInMemory: store.Batches.Groups().SnapshotBytes(),
		}
		s.underReplicated, s.oldestUnannounced = store.Batches.UnderReplicated(now)
	})
	return s
}

// storeMetrics defines a store's metrics (docs/OPERATORS.md).
var storeMetrics = []metrics.Metric[storeSample]{
	{
		Key: "copies_missing", Name: "tuliprudder_store_under_replicated_entries", Type: prometheus.GaugeValue,
		Help:  "Entries that wait for their second replica.",
		Value: func(s storeSample) int64 { return s.underReplicated },
	},
	{
		Key: "oldest_unannounced_us", Name: "tuliprudder_store_oldest_under_replicated_seconds", Type: prometheus.GaugeValue, Unit: metrics.Microseconds,
		Help:  "Age of the oldest entry that waits for its second replica.",
		Value: func(s storeSample) int64 { return s.oldestUnannounced },
	},
	{
		Key: "entries_confirmed", Name: "tuliprudder_store_entries_confirmed_total", Type: prometheus.CounterValue,
		Help:  "Entries of shards that all their replicas have.",
		Value: func(s storeSample) int64 { return s.entriesConfirmed },
	},
	{
		Key: "reads", Name: "tuliprudder_store_reads_total", Type: prometheus.CounterValue,
		Help:  "Requests to read results.",
		Value: func(s storeSample) int64 { return s.reads },
	},
	{
		Key: "bundles_shelved", Name: "tuliprudder_store_batches_archived_total", Type: prometheus.CounterValue,
		Help:  "Finished batches moved to the archive.",
		Value: func(s storeSample) int64 { return s.batchesArchived },
	},
	{
		Key: "finished_in_memory_bytes", Name: "tuliprudder_store_finished_in_memory_bytes", Type: prometheus.GaugeValue, Unit: metrics.Bytes,
		Help:  "Outputs of finished batches that are not in the archive yet.",
		Value: func(s storeSample) int64 { return s.finishedBytesInMemory },
	},
	{
		Key: "snapshots_in_memory_bytes", Name: "tuliprudder_store_snapshots_in_memory_bytes", Type: prometheus.GaugeValue, Unit: metrics.Bytes,
		Help:  "Snapshots of shards on their way to or from other stores.",
		Value: func(s storeSample) int64 { return s.snapshotBytesInMemory },
	},
	{
		Key: "disk_wait_us", Name: "tuliprudder_store_oldest_write_seconds", Type: prometheus.GaugeValue, Unit: metrics.Microseconds,
		Help:  "Age of the oldest write that is not durable yet.",
		Value: func(s storeSample) int64 { return s.oldestWrite },
	},
	{
		Key: "shares_held", Name: "tuliprudder_quota_in_use", Type: prometheus.GaugeValue,
		Help:  "Weight of the work of tenants that is queued or runs here.",
		Value: func(s storeSample) int64 { return s.quota.inUse },
	},
	{
		Key: "shares_lent", Name: "tuliprudder_quota_granted", Type: prometheus.GaugeValue,
		Help:  "Weight that the accounts owned here have granted to daemons.",
		Value: func(s storeSample) int64 { return s.quota.granted },
	},
	{
		Key: "over_allowance", Name: "tuliprudder_quota_rejections_total", Type: prometheus.CounterValue,
		Help:  "Requests rejected for their tenant's quota.",
		Value: func(s storeSample) int64 { return s.quota.rejected },
	},
	{
		Key: "backlog", Name: "tuliprudder_scheduler_queue_length", Type: prometheus.GaugeValue,
		Help:  "Requests that wait for a model server.",
		Value: func(s storeSample) int64 { return s.scheduler.queueLength },
	},
	{
		Key: "items_open", Name: "tuliprudder_store_items_in_flight", Type: prometheus.GaugeValue,
		Help:  "Items of batches that are queued or run.",
		Value: func(s storeSample) int64 { return s.itemsInFlight },
	},
	{
		Key: "rows_listed", Name: "tuliprudder_store_results_listed_total", Type: prometheus.CounterValue,
		Help:  "Results that readers can see.",
		Value: func(s storeSample) int64 { return s.visibleResults },
	},
	{
		Key: "bundles_enrolled", Name: "tuliprudder_store_batches_submitted_total", Type: prometheus.CounterValue,
		Help:  "Batches accepted.",
		Value: func(s storeSample) int64 { return s.batchesSubmitted },
	},
	{
		Key: "outcomes_unknown", Name: "tuliprudder_store_unknown_outcomes_total", Type: prometheus.CounterValue,
		Help:  "Calls that ended without a clear outcome.",
		Value: func(s storeSample) int64 { return s.unknownOutcomes },
	},
	{
		Key: "takeovers", Name: "tuliprudder_store_takeovers_total", Type: prometheus.CounterValue,
		Help:  "Shards that this store took over.",
		Value: func(s storeSample) int64 { return s.takeovers },
	},
}
