package autoscale

import (
	"testing"

	"tuliprudder/internal/clock"
)

func TestLoadsOfAllDaemonsAreSummed(t *testing.T) {
	table := newLoadTable()
	table.receive(Reporter{"a", 1}, []Load{{Pool: "p", Busy: 1500, Queued: 1, Required: 10, Started: 100, Rejected: 10}}, 1)
	table.receive(Reporter{"b", 1}, []Load{{Pool: "p", Busy: 500}, {Pool: "q", Busy: 9}}, 1)
	if got := table.takeTotal("p"); got != (Load{Pool: "p", Busy: 2000, Queued: 1, Required: 10}) {
		t.Errorf("first reports: %+v", got)
	}
	table.receive(Reporter{"a", 1}, []Load{{Pool: "p", Busy: 100, Started: 130, Rejected: 12, Late: 3}}, 2)
	table.receive(Reporter{"a", 1}, []Load{{Pool: "p", Busy: 100, Started: 130, Rejected: 12, Late: 3}}, 2)
	if got := table.takeTotal("p"); got != (Load{Pool: "p", Busy: 600, Started: 30, Rejected: 2, Late: 3}) {
		t.Errorf("after a repeated report: %+v", got)
	}
	if got := table.takeTotal("p"); got.Started != 0 {
		t.Errorf("counts were not reset: %+v", got)
	}
}

// The load of a daemon that has ended is dropped. A restarted daemon has a new incarnation, whose first
// report is a new baseline.
func TestReportsOfEndedDaemonsAreRemoved(t *testing.T) {
	table := newLoadTable()
	table.receive(Reporter{"a", 1}, []Load{{Pool: "p", Busy: 1000, Started: 100}}, clock.Second)
	table.receive(Reporter{"a", 2}, []Load{{Pool: "p", Busy: 300, Started: 5}}, 3*clock.Second)
	table.removeStale(clock.Second + reportTimeout + 1)
	if got := table.takeTotal("p"); got != (Load{Pool: "p", Busy: 300}) {
		t.Errorf("after a restart: %+v", got)
	}
	table.receive(Reporter{"a", 2}, nil, 4*clock.Second)
	if got := table.takeTotal("p"); !got.isIdle() {
		t.Errorf("load after an empty report: %+v", got)
	}
	for i := range uint64(maxReporters + 10) {
		table.receive(Reporter{"many", i}, nil, 5*clock.Second)
	}
	if len(table.reports) > maxReporters {
		t.Errorf("%d reporters are tracked", len(table.reports))
	}
}
