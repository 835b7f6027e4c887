// Package primaryreport sends the primary core what it needs to know about the work of other
// daemons, in one small message per daemon about once a second (docs/notes/duties.md). A daemon
// that has nothing new to report sends nothing.
//
// Sender is the daemon's side; components of the daemon's machine add their own figures to each
// report (Part). A report contains only what the primary has not acknowledged. Acknowledgements
// are valid for the term of the primary that sent them: in another term everything is reported
// again. A report may be lost, delayed or duplicated, so its figures replace earlier ones and are
// never added to them.
//
// The package reads no clock and opens no socket, and it is not safe for concurrent use.
package primaryreport

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/transport"
)

// Messages between a daemon and the primary core. Their Go names and those of their fields are part
// of the wire format.
type (
	// Report is a daemon's report to the primary core. The response is a Reply or an error.
	Report struct {
		Daemon      string // the daemon's id
		Incarnation uint64
		// Epoch is the primary's term in which earlier reports were acknowledged. Their content is
		// left out.
		Epoch uint64
		// SentAt is when the report was sent, by the daemon's clock. The report covers everything
		// that happened on the daemon before that time.
		SentAt clock.Micros
		// Usage lists the windows with changed counts.
		Usage []WindowCounts
		// Loads lists the pools whose servers are autoscaled and that have work to run.
		Loads []autoscale.Load
	}
	// WindowCounts counts the requests of each tenant that started in a window. Tenants whose count
	// has not changed since it was acknowledged are left out.
	WindowCounts struct {
		Window uint64
		Counts map[string]int64 // by tenant, since the window's start
	}
	// Reply acknowledges a report.
	Reply struct {
		Epoch uint64 // the primary's term
		// UsageDecidedUpTo is the last window whose counts are final. Counts of it and of earlier
		// windows need not be reported any more.
		UsageDecidedUpTo uint64
	}
)

func init() { transport.Register(Report{}, Reply{}) }
