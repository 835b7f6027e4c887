// Package primaryreport carries what the primary core has to know of other daemons' work, in one
// small message from each, about once a second (docs/notes/duties.md). A daemon that has nothing
// new to report sends nothing.
//
// Sender is the daemon's side; parts of the daemon's machine add their own figures to each report
// (Part). A report says only what the primary hasn't acknowledged. Acknowledgements count for the
// term of the primary that gave them: under another one everything is reported anew. A report may be
// lost, late or doubled, so its figures replace earlier ones and are never added to them.
//
// Nothing here reads a clock or opens a socket, and nothing is safe for concurrent use.
package primaryreport

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/transport"
)

// Messages between a daemon and the primary core. Their Go names and those of their fields are on
// the wire.
type (
	// Report is what a daemon reports to the primary core. The answer is a Reply, or an error.
	Report struct {
		Daemon      string // its id
		Incarnation uint64
		// Epoch is the primary's term under which earlier reports were acknowledged: what these had
		// is left out here.
		Epoch uint64
		// SentAt is when it was sent, on the daemon's own clock: it includes all that happened there
		// before.
		SentAt clock.Micros
		// Usage has the windows with changed counts; none where nothing changed.
		Usage []WindowCounts
		// Loads has the pools whose servers are scaled and that have something to run.
		Loads []autoscale.Load
	}
	// WindowCounts are the requests of each tenant that began in a window. A tenant whose count is as
	// it was acknowledged is left out.
	WindowCounts struct {
		Window uint64
		Counts map[string]int64 // by tenant, since the window's start
	}
	// Reply acknowledges a report.
	Reply struct {
		Epoch uint64 // the primary's term
		// UsageDecidedUpTo is the last window whose counts are decided: nothing of it, or before it, is
		// needed any more.
		UsageDecidedUpTo uint64
	}
)

func init() { transport.Register(Report{}, Reply{}) }
