package autoscale

import "tuliprudder/internal/clock"

// milli is the number of units per slot: slot counts in reports are in thousandths.
const milli = 1000

// Load is the load of one daemon on a scaled pool. The type and its fields are part of the wire
// format.
type Load struct {
	Pool string // the name of the pool
	// Busy is the average number of server slots that its requests occupied since its last report, in
	// thousandths.
	Busy int64
	// Queued is the number of its live requests that wait for a server.
	Queued int64
	// Required is the number of slots that its queued batch items need to finish by their deadlines, in
	// thousandths.
	Required int64
	// Started, Rejected and Late count live requests since the daemon's start: those that were assigned a
	// server, those for which none became available in time, and those whose response missed the latency
	// targets of its route.
	Started, Rejected, Late int64
}

// isIdle reports whether nothing runs or waits.
func (l Load) isIdle() bool {
	return l.Busy == 0 && l.Queued == 0 && l.Required == 0 && l.Started == 0 && l.Rejected == 0
}

// Reporter is one incarnation of a daemon.
type Reporter struct {
	Daemon      string
	Incarnation uint64
}

// reportTimeout is how long a daemon's last report is used. A daemon that has not reported for longer
// is taken to have ended, so that it runs nothing.
const reportTimeout = 3 * clock.Second

// maxReporters limits the number of daemon incarnations that are tracked.
const maxReporters = 8192

// report is the last report of a daemon.
type report struct {
	loads      map[string]Load // by service
	receivedAt clock.Micros
}

// loadTable holds the last report of each daemon.
type loadTable struct {
	reports       map[Reporter]report
	requestCounts map[string]liveRequestCounts // by service, since the last takeTotal
}

// liveRequestCounts holds the numbers of live requests of all daemons.
type liveRequestCounts struct{ started, rejected, late int64 }

func newLoadTable() loadTable {
	return loadTable{reports: map[Reporter]report{}, requestCounts: map[string]liveRequestCounts{}}
}

// receive stores a report. It lists the services for which the daemon has load now or had load at its
// previous report. The counts of the first report of a daemon serve only as a baseline, because a former
// primary may already have used them.
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

// addCounts adds the live requests of a daemon between two of its reports.
func (t *loadTable) addCounts(before, after Load) {
	sum := t.requestCounts[after.Pool]
	sum.started += max(0, after.Started-before.Started)
	sum.rejected += max(0, after.Rejected-before.Rejected)
	sum.late += max(0, after.Late-before.Late)
	t.requestCounts[after.Pool] = sum
}

// removeStale removes the reports of daemons that have ended.
func (t *loadTable) removeStale(now clock.Micros) {
	for reporter, last := range t.reports {
		if now-last.receivedAt > reportTimeout {
			delete(t.reports, reporter)
		}
	}
}

// takeTotal returns the summed load of all daemons on a service and resets its counts of live requests.
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
