package machines

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/dataplane/scheduler"
)

// loadReport adds to each report the daemon's load in the pools whose servers are scaled. A lost report
// is not sent again, since the next one has the load at that time.
type loadReport struct{ scheduler *scheduler.Scheduler }

// Add adds the load since the last report; it returns false if there is none.
func (l loadReport) Add(report *primaryreport.Report, now clock.Micros) bool {
	for _, load := range l.scheduler.TakeLoads(now) {
		report.Loads = append(report.Loads, autoscale.Load(load))
	}
	return len(report.Loads) > 0
}

// Acknowledged does nothing, since lost reports are not repeated.
func (loadReport) Acknowledged(primaryreport.Report, primaryreport.Reply) {}

// Reset does nothing, since no state is kept between reports.
func (loadReport) Reset() {}
