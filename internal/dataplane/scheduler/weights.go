package scheduler

import "tuliprudder/internal/clock"

// weightsTTL is for how long the version of a server's weights counts that it told. A server that
// is asked for other versions alone would never be tried again otherwise, and it may have got new
// weights meanwhile.
const weightsTTL = 5 * clock.Second

// observedWeights is the version of a server's weights, as it told it last.
type observedWeights struct {
	version    int64 // 0: it told none
	reportedAt clock.Micros
}

// versionAt is the version by what is known now; 0 where that is nothing.
func (w observedWeights) versionAt(now clock.Micros) int64 {
	if now-w.reportedAt > weightsTTL {
		return 0
	}
	return w.version
}

// ObserveWeights takes the version of a server's weights that it told this daemon; 0 is none.
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
