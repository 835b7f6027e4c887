package eventloop

import (
	"sync"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// diskReport is what the disk writer reports to the machine.
type diskReport struct {
	persisted    []uint64           // tokens of the writes that became durable, in order
	state        *machine.DiskState // nil if unchanged
	compactAgain bool               // another snapshot is requested
}

// diskReports collects the reports that the machine has not taken yet. The number of tokens
// is bounded by the capacity of the write queue.
type diskReports struct {
	mu      sync.Mutex
	pending diskReport // guarded by mu
}

// add merges a report into the pending one; a later disk state replaces an earlier one.
func (r *diskReports) add(report diskReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending.persisted = append(r.pending.persisted, report.persisted...)
	if report.state != nil {
		r.pending.state = report.state
	}
	r.pending.compactAgain = r.pending.compactAgain || report.compactAgain
}

// take returns the pending report and clears it.
func (r *diskReports) take() diskReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.pending
	r.pending = diskReport{}
	return taken
}

// reportPersisted reports that writes have become durable.
func (d *diskWriter) reportPersisted(tokens ...uint64) {
	d.reports.add(diskReport{persisted: tokens})
	d.wake()
}

// reportChanges checks for a change of the disk's condition and for a snapshot that is due to
// be requested again, and reports both to the machine.
func (d *diskWriter) reportChanges(now clock.Micros) (status diskStatus, changed bool) {
	status, changed = d.health.checkChange(now)
	at := d.compactAgainAt.Load()
	compactAgain := at > 0 && now >= at && d.compactAgainAt.CompareAndSwap(at, 0)
	if !changed && !compactAgain {
		return status, false
	}
	report := diskReport{compactAgain: compactAgain}
	if changed {
		report.state = &machine.DiskState{Writable: status.condition.IsWritable(), Reason: status.reason}
	}
	d.reports.add(report)
	d.wake()
	return status, changed
}

// deliverReports passes the pending report to the machine. The machine's goroutine calls it
// before each step.
func (d *diskWriter) deliverReports(handler Machine, now clock.Micros) []machine.Effect {
	reported := d.reports.take()
	var out []machine.Effect
	for _, token := range reported.persisted {
		out = append(out, handler.Persisted(token, now)...)
	}
	if reported.state != nil {
		out = append(out, handler.DiskStateChanged(*reported.state, now)...)
	}
	if reported.compactAgain {
		out = append(out, handler.CompactAgain(now)...)
	}
	return out
}
