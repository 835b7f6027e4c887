package servingsim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tuliprudder/internal/clock"
)

// Result holds the figures of a run.
type Result struct {
	Classes         map[string]*ClassResult // by name of the live class or of the batch route
	CrossZoneBytes  int                     // between daemons and servers in other zones
	Messages        int                     // between daemons
	Preempted       int                     // requests that a server preempted because its memory was full
	ServerImbalance float64                 // busy time of the busiest server over the mean
	ServerTime      clock.Micros            // sum of all servers' running times
	Changes         []TargetChange          // of the target numbers of servers, in order
}

// ClassResult counts the requests, or batch items, of a class by result.
type ClassResult struct{ Total, InTime, Late, Failed int }

// InTimeShare returns the share completed in time.
func (c ClassResult) InTimeShare() float64 { return float64(c.InTime) / float64(max(1, c.Total)) }

func (w *World) classResult(name string) *ClassResult {
	if w.Result.Classes[name] == nil {
		w.Result.Classes[name] = &ClassResult{}
	}
	return w.Result.Classes[name]
}

// bytesPerToken is the size of a request or an answer per token, framing included.
const bytesPerToken = 2

func bytesOf(tokens ...int) int {
	sum := 0
	for _, one := range tokens {
		sum += one * bytesPerToken
	}
	return sum
}

func (w *World) countServerBytes(from, to string, bytes int) {
	if from != to {
		w.Result.CrossZoneBytes += bytes
	}
}

// Run generates traffic for the given length, then runs on for the batches' due time so that work in
// progress can finish.
func (w *World) Run(length clock.Micros) Result {
	w.startedAt = w.now
	end := w.now + length
	w.start(end)
	if w.Deployment.Autoscale.IsEnabled() {
		w.scaler = newScaler(w)
	}
	w.scheduleCrash()
	third := length / 3
	w.after(third, func() { w.setFailing(true) })
	w.after(2*third, func() { w.setFailing(false) })
	w.runUntil(end + w.Deployment.Batch.Due)
	busiest, sum := clock.Micros(0), clock.Micros(0)
	for _, s := range w.servers {
		w.Result.Preempted += s.preempted
		busiest = max(busiest, s.busyFor)
		sum += s.busyFor
		w.Result.ServerTime += s.runningTime(end)
	}
	w.Result.ServerImbalance = float64(busiest) * float64(len(w.servers)) / float64(max(1, sum))
	return w.Result
}

// runningTime returns how long a server ran, up to the end of the traffic.
func (s *server) runningTime(end clock.Micros) clock.Micros {
	if s.endedAt > 0 {
		end = min(end, s.endedAt)
	}
	return max(0, end-s.startedAt)
}

// scheduleCrash schedules the failure of the servers of Deployment.Crash, and their recovery.
func (w *World) scheduleCrash() {
	crash := w.Deployment.Crash
	if crash.For == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(w.servers))
	w.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	crashing := names[:int(crash.Share*float64(len(names)))]
	set := func(failing bool) {
		for _, name := range crashing {
			w.servers[name].failing = failing
		}
	}
	w.after(crash.After, func() { set(true) })
	w.after(crash.After+crash.For, func() { set(false) })
}

// setFailing makes the first FailingServers servers, taken from each zone in turn, fail or recover.
func (w *World) setFailing(failing bool) {
	names := slices.Sorted(maps.Keys(w.servers))
	slices.SortStableFunc(names, func(a, b string) int { return strings.Compare(a[len(a)-2:], b[len(b)-2:]) })
	for _, name := range names[:min(len(names), w.Deployment.FailingServers)] {
		w.servers[name].failing = failing
	}
}

// String returns the result in one line.
func (r Result) String() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		out = append(out, fmt.Sprintf("%s %.3f in time, %.3f late, %.3f failed of %d", name, c.InTimeShare(), float64(c.Late)/float64(max(1, c.Total)), float64(c.Failed)/float64(max(1, c.Total)), c.Total))
	}
	return strings.Join(out, "; ") + fmt.Sprintf("; %d preempted, imbalance %.2f, %.1f MB between zones, %d messages", r.Preempted, r.ServerImbalance, float64(r.CrossZoneBytes)/1e6, r.Messages)
}
