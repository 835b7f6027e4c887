package machines

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/dataplane/scheduler"
)

// loadReport adds to each report what the daemon has to run in the pools whose servers are scaled. A
// report that is lost isn't made up for: the next one says how it is then.
type loadReport struct{ scheduler *scheduler.Scheduler }

// Add adds the load since the last report; false where nothing runs.
func (l loadReport) Add(report *primaryreport.Report, now clock.Micros) bool {
	for _, load := range l.scheduler.TakeLoads(now) {
		report.Loads = append(report.Loads, autoscale.Load(load))
	}
	return len(report.Loads) > 0
}

// Acknowledged does nothing.
func (loadReport) Acknowledged(primaryreport.Report, primaryreport.Reply) {}

// Reset does nothing.
func (loadReport) Reset() {}
