package scheduler

import "tuliprudder/internal/clock"

// weightsTTL is how long a reported version of a server's weights is considered valid. Without it a
// server for which all requests want another version would never be tried again, although it may have
// loaded new weights since.
const weightsTTL = 5 * clock.Second

// observedWeights is the version of its weights that a server reported last.
type observedWeights struct {
	version    int64 // 0: none was reported
	reportedAt clock.Micros
}

// versionAt returns the reported version, 0 if there is none or it is too old.
func (w observedWeights) versionAt(now clock.Micros) int64 {
	if now-w.reportedAt > weightsTTL {
		return 0
	}
	return w.version
}

// ObserveWeights records the version of its weights that a server reported to this daemon; 0 means none.
func (sc *Scheduler) ObserveWeights(name string, version int64, now clock.Micros) {
	s := sc.servers[name]
	if s == nil || version == 0 {
		return
	}
	if s.weights.versionAt(now) != version {
		sc.changed = true
	}
	s.weights = observedWeights{version: version, reportedAt: now}
}
