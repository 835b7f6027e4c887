package machines

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
)

// A daemon reports its load in a scaled pool while requests run there, once more after they have ended,
// and then no longer.
func TestLoadIsReportedWhileSomethingRuns(t *testing.T) {
	now := 100 * clock.Second
	sched := scheduler.New(scheduler.Defaults(), 1)
	c := &config.Configuration{
		Version: 1, Pools: []config.Pool{{Name: "p", Servers: config.Selector{}, Autoscale: config.Autoscale{Min: 1, Max: 2}}},
		Routes: []config.Route{{Name: "r", Kind: config.Stream, Pools: config.Selector{}, Forward: &config.Forward{Host: "h", PathPrefix: "/"}}},
	}
	c.Index()
	sched.SetConfiguration(c, now)
	sched.SetServer(endpoints.Server{Name: "s", Address: "s", Slots: 1})
	sched.AdvanceFreshness(now)
	route, _ := c.Route("r")
	var assigned *scheduler.Assignment
	start := func(assignment *scheduler.Assignment, _ clock.Micros) { assigned = assignment }
	if err := sched.Submit(&scheduler.Request{Route: route, Start: start}, now); err != nil {
		t.Fatal(err)
	}
	sched.Match(now)
	part := loadReport{sched}
	reported := func() (loads int) {
		var report primaryreport.Report
		if part.Add(&report, now) != (len(report.Loads) > 0) {
			t.Errorf("the report is %+v", report)
		}
		part.Acknowledged(report, primaryreport.Reply{})
		part.Reset()
		return len(report.Loads)
	}
	now += clock.Second
	if reported() != 1 {
		t.Error("the load of the running request is not reported")
	}
	assigned.Release(clock.Second, true, now)
	now += clock.Second
	if first, second := reported(), reported(); first != 1 || second != 0 {
		t.Errorf("once nothing runs, %d loads are reported, and then %d", first, second)
	}
}
