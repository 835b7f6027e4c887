package autoscale

import "tuliprudder/internal/clock"

// milli is what fractions of slots are counted in.
const milli = 1000

// Load is what one daemon has to run in a scaled pool. Its type and fields are on the wire.
type Load struct {
	Pool string // its name
	// Busy is how many slots of servers its requests took, on average since its last report, in thousandths.
	Busy int64
	// Queued is how many of its live requests wait for a server.
	Queued int64
	// Required is how many slots its queued batch items need to be ready when they are due, in thousandths.
	Required int64
	// Started, Rejected and Late count live requests since the daemon's start: those that got a server,
	// those that got none in time, and responses that came later than their route's targets.
	Started, Rejected, Late int64
}

// isIdle tells whether nothing runs or waits.
func (l Load) isIdle() bool {
	return l.Busy == 0 && l.Queued == 0 && l.Required == 0 && l.Started == 0 && l.Rejected == 0
}

// Reporter is one incarnation of a daemon.
type Reporter struct {
	Daemon      string
	Incarnation uint64
}

// reportTimeout is how long a daemon's last report counts: one that has ended runs nothing.
const reportTimeout = 3 * clock.Second

// maxReporters bounds how many incarnations of daemons are known.
const maxReporters = 8192

// report is the last one of a daemon.
type report struct {
	loads      map[string]Load // by service
	receivedAt clock.Micros
}

// loadTable has the last report of each daemon.
type loadTable struct {
	reports       map[Reporter]report
	requestCounts map[string]liveRequestCounts // by service, since they were taken last
}

// liveRequestCounts are live requests of all daemons.
type liveRequestCounts struct{ started, rejected, late int64 }

func newLoadTable() loadTable {
	return loadTable{reports: map[Reporter]report{}, requestCounts: map[string]liveRequestCounts{}}
}

// receive takes a report: it has the services that the daemon has something to run of, or had at its last
// report. Counts of a daemon that is new here begin with this report, as a former primary may have had
// them.
func (t *loadTable) receive(reporter Reporter, loads []Load, now clock.Micros) {
	last, isKnown := t.reports[reporter]
	if !isKnown && len(t.reports) >= maxReporters {
		return
	}
	next := report{loads: map[string]Load{}, receivedAt: now}
	for _, load := range loads {
		next.loads[load.Pool] = load
		if before, wasReported := last.loads[load.Pool]; wasReported {
			t.addCounts(before, load)
		}
	}
	t.reports[reporter] = next
}

// addCounts counts what a daemon's live requests came to between two reports.
func (t *loadTable) addCounts(before, after Load) {
	sum := t.requestCounts[after.Pool]
	sum.started += max(0, after.Started-before.Started)
	sum.rejected += max(0, after.Rejected-before.Rejected)
	sum.late += max(0, after.Late-before.Late)
	t.requestCounts[after.Pool] = sum
}

// removeStale drops the reports of daemons that have ended.
func (t *loadTable) removeStale(now clock.Micros) {
	for reporter, last := range t.reports {
		if now-last.receivedAt > reportTimeout {
			delete(t.reports, reporter)
		}
	}
}

// takeTotal sums what all daemons have to run of a service; the counts begin anew.
func (t *loadTable) takeTotal(service string) Load {
	sum := Load{Pool: service}
	for _, last := range t.reports {
		load := last.loads[service]
		sum.Busy += load.Busy
		sum.Queued += load.Queued
		sum.Required += load.Required
	}
	requests := t.requestCounts[service]
	sum.Started, sum.Rejected, sum.Late = requests.started, requests.rejected, requests.late
	delete(t.requestCounts, service)
	return sum
}
