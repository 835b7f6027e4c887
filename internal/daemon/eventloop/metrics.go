package eventloop

import (
	"github.com/prometheus/client_golang/prometheus"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/metrics"
)

// loopSample holds the values of the event loop's metrics at one moment.
type loopSample struct {
	messagesSent, messageBatches, messagesLost, sentBytes        int64
	gossipQueueRejections                                        int64
	updatesReceived, duplicatesReceived, updatesRepaired         int64
	suspicions, refutations                                      int64
	staleness                                                    clock.Micros
	hasMachine                                                   bool
	machineQueueRejections                                       int64
	hasDisk                                                      bool
	diskCondition                                                DiskCondition
	writeInProgress                                              clock.Micros
	writeFailures, failedCompactions, queuedEffects, queuedBytes int64
	diskSyncs, diskBytes                                         int64
}

func hasMachine(s loopSample) bool { return s.hasMachine }
func hasDisk(s loopSample) bool    { return s.hasDisk }

// Metrics returns the event loop's metrics: transport, gossip, rings and disk.
func (l *Loop) Metrics() metrics.Source { return metrics.NewModule(loopMetrics, l.sample) }

func (l *Loop) sample() loopSample {
	s := loopSample{
		messagesSent:          l.Transport.MessagesSent.Load(),
		messageBatches:        l.Transport.Calls.Load(),
		messagesLost:          l.Transport.MessagesLost.Load(),
		sentBytes:             l.Transport.BytesOut.Load(),
		gossipQueueRejections: l.gossipThread.steps.Dropped(),
		hasMachine:            l.machine != nil,
		hasDisk:               l.Folder != nil,
	}
	l.sampleGossip(&s)
	if s.hasMachine {
		s.machineQueueRejections = l.machineThread.steps.Dropped()
	}
	if s.hasDisk {
		l.sampleDisk(&s)
	}
	return s
}

func (l *Loop) sampleGossip(s *loopSample) {
	l.gossipThread.mu.Lock()
	defer l.gossipThread.mu.Unlock()
	s.updatesReceived = l.gossip.UpdatesReceived
	s.duplicatesReceived = l.gossip.DuplicatesReceived
	s.updatesRepaired = l.gossip.UpdatesRepaired
	s.suspicions = l.gossip.Suspected
	s.refutations = l.gossip.Refuted
	s.staleness = l.Now() - l.gossip.FreshUntil()
}

func (l *Loop) sampleDisk(s *loopSample) {
	now := l.Now()
	s.diskCondition = l.disk.health.current(now).condition
	s.writeInProgress, s.writeFailures = l.disk.health.stats(now)
	s.failedCompactions = l.disk.failedCompactions.Load()
	effects, bytes := l.disk.queue.load()
	s.queuedEffects, s.queuedBytes = int64(effects), int64(bytes)
	s.diskSyncs, s.diskBytes = l.Folder.Syncs.Load(), l.Folder.Bytes.Load()
}

// loopMetrics is the table of the event loop's metrics (docs/OPERATORS.md).
var loopMetrics = []metrics.Metric[loopSample]{
	{
		Key: "messages_sent", Name: "tuliprudder_messages_sent_total", Type: prometheus.CounterValue,
		Help:  "One-way messages that were delivered to other daemons.",
		Value: func(s loopSample) int64 { return s.messagesSent },
	},
	{
		Key: "calls_made", Name: "tuliprudder_message_batches_sent_total", Type: prometheus.CounterValue,
		Help:  "Remote procedure calls that carried the delivered messages.",
		Value: func(s loopSample) int64 { return s.messageBatches },
	},
	{
		Key: "messages_lost", Name: "tuliprudder_messages_lost_total", Type: prometheus.CounterValue,
		Help:  "One-way messages that were dropped or timed out.",
		Value: func(s loopSample) int64 { return s.messagesLost },
	},
	{
		Key: "bytes_out", Name: "tuliprudder_sent_bytes_total", Type: prometheus.CounterValue, Unit: metrics.Bytes,
		Help:  "Bytes sent to other daemons.",
		Value: func(s loopSample) int64 { return s.sentBytes },
	},
	{
		Key: "news_ring_dropped", Name: "tuliprudder_gossip_queue_rejections_total", Type: prometheus.CounterValue,
		Help:  "Steps of the gossip node that found its queue full.",
		Value: func(s loopSample) int64 { return s.gossipQueueRejections },
	},
	{
		Key: "news_heard", Name: "tuliprudder_gossip_updates_received_total", Type: prometheus.CounterValue,
		Help:  "Updates received that were new here.",
		Value: func(s loopSample) int64 { return s.updatesReceived },
	},
	{
		Key: "news_repeated", Name: "tuliprudder_gossip_duplicates_received_total", Type: prometheus.CounterValue,
		Help:  "Updates received that were known here.",
		Value: func(s loopSample) int64 { return s.duplicatesReceived },
	},
	{
		Key: "news_mended", Name: "tuliprudder_gossip_updates_repaired_total", Type: prometheus.CounterValue,
		Help:  "Updates that only anti-entropy delivered.",
		Value: func(s loopSample) int64 { return s.updatesRepaired },
	},
	{
		Key: "suspicions", Name: "tuliprudder_gossip_suspicions_total", Type: prometheus.CounterValue,
		Help:  "Members that this daemon suspected.",
		Value: func(s loopSample) int64 { return s.suspicions },
	},
	{
		Key: "refutations", Name: "tuliprudder_gossip_refutations_total", Type: prometheus.CounterValue,
		Help:  "Suspicions of this daemon that it refuted.",
		Value: func(s loopSample) int64 { return s.refutations },
	},
	{
		Key: "news_age_us", Name: "tuliprudder_gossip_staleness_seconds", Type: prometheus.GaugeValue, Unit: metrics.Microseconds,
		Help:  "Time since this daemon's updates included all that a majority of the voters knew.",
		Value: func(s loopSample) int64 { return s.staleness },
	},
	{
		Key: "protocol_ring_dropped", Name: "tuliprudder_machine_queue_rejections_total", Type: prometheus.CounterValue,
		Help:  "Steps of the role's state machine that found its queue full.",
		Value: func(s loopSample) int64 { return s.machineQueueRejections }, IsPresent: hasMachine,
	},
	{
		Key: "disk_condition", Name: "tuliprudder_disk_condition", Type: prometheus.GaugeValue,
		Help:  "Condition of the disk: 0 healthy, 1 slow, 2 stalled, 3 full, 4 failing.",
		Value: func(s loopSample) int64 { return int64(s.diskCondition) }, IsPresent: hasDisk,
	},
	{
		Key: "disk_wait_us", Name: "tuliprudder_disk_write_in_progress_seconds", Type: prometheus.GaugeValue, Unit: metrics.Microseconds,
		Help:  "How long the write in progress has taken so far; 0 while there is none.",
		Value: func(s loopSample) int64 { return s.writeInProgress }, IsPresent: hasDisk,
	},
	{
		Key: "disk_refusals", Name: "tuliprudder_disk_write_failures_total", Type: prometheus.CounterValue,
		Help:  "Attempts to write that failed.",
		Value: func(s loopSample) int64 { return s.writeFailures }, IsPresent: hasDisk,
	},
	{
		Key: "disk_folds_given_up", Name: "tuliprudder_disk_failed_compactions", Type: prometheus.GaugeValue,
		Help:  "Snapshots that could not be written since the last one that was.",
		Value: func(s loopSample) int64 { return s.failedCompactions }, IsPresent: hasDisk,
	},
	{
		Key: "disk_queue", Name: "tuliprudder_disk_queue_length", Type: prometheus.GaugeValue,
		Help:  "Writes that wait for the disk.",
		Value: func(s loopSample) int64 { return s.queuedEffects }, IsPresent: hasDisk,
	},
	{
		Key: "disk_queue_bytes", Name: "tuliprudder_disk_queue_bytes", Type: prometheus.GaugeValue, Unit: metrics.Bytes,
		Help:  "Bytes that wait for the disk, about.",
		Value: func(s loopSample) int64 { return s.queuedBytes }, IsPresent: hasDisk,
	},
	{
		Key: "disk_syncs", Name: "tuliprudder_disk_syncs_total", Type: prometheus.CounterValue,
		Help:  "Files and folders that were synced.",
		Value: func(s loopSample) int64 { return s.diskSyncs }, IsPresent: hasDisk,
	},
	{
		Key: "disk_bytes", Name: "tuliprudder_disk_written_bytes_total", Type: prometheus.CounterValue, Unit: metrics.Bytes,
		Help:  "Bytes written to the disk.",
		Value: func(s loopSample) int64 { return s.diskBytes }, IsPresent: hasDisk,
	},
}
