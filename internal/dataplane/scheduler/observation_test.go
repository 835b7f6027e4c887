package scheduler

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

// The weight of a reported load decays with its age, and an older report does not replace a newer one.
func TestReportedLoadDecays(t *testing.T) {
	sc := newFleetScheduler(1, 1, 9)
	server := sc.servers["server-0-00"]
	now := 100 * clock.Second
	if server.expectedWaiting(now) != 0 {
		t.Fatal("requests wait before any load was reported")
	}
	sc.ReceiveObservation(Observation{Server: "server-0-00", Load: &endpoints.ReportedLoad{Waiting: 8, Slots: 9}, At: now}, now)
	sc.ReceiveObservation(Observation{Server: "server-0-00", Load: &endpoints.ReportedLoad{Waiting: 2, Slots: 9}, At: now - 1}, now)
	sc.ObserveLoad("server-0-00", nil, now+1)
	sc.ObserveLoad("unknown", &endpoints.ReportedLoad{Waiting: 3}, now)
	for elapsed, want := range map[clock.Micros]float64{0: 8, loadHalvingTime: 4, 2 * loadHalvingTime: 2} {
		if got := server.expectedWaiting(now + elapsed); got < want-1e-6 || got > want+1e-6 {
			t.Errorf("after %d us %v requests wait, not %v", elapsed, got, want)
		}
	}
}

// The failure rate follows the latest outcomes and decays without new ones.
func TestFailureRatesFollowOutcomes(t *testing.T) {
	var r outcomeRate
	now := 100 * clock.Second
	if r.failureRate(now) != 0 {
		t.Fatal("the failure rate is not 0 before any outcome")
	}
	r.add(0, 1, now)
	if got := r.failureRate(now); got <= 0.1 || got >= 0.5 {
		t.Errorf("after one failure the rate is %v", got)
	}
	r.add(0, 20, now)
	if got := r.failureRate(now); got < 0.9 {
		t.Errorf("after 21 failures the rate is %v", got)
	}
	r.add(20, 0, now+outcomeHalvingTime)
	if got := r.failureRate(now + outcomeHalvingTime); got > 0.4 {
		t.Errorf("after 20 successes the rate is %v", got)
	}
	if got := r.failureRate(now + 20*outcomeHalvingTime); got > 0.001 {
		t.Errorf("after 19 more half-lives the rate is %v", got)
	}
}

// Each observation is returned once, aggregated by server.
func TestObservationsAreTakenOnce(t *testing.T) {
	sc := newFleetScheduler(1, 2, 9)
	first, second := sc.servers["server-0-00"], sc.servers["server-0-01"]
	now := 100 * clock.Second
	sc.observeOutcome(second, false, now)
	sc.observeOutcome(first, true, now)
	sc.observeOutcome(first, false, now)
	sc.ObserveLoad("server-0-00", &endpoints.ReportedLoad{Running: 4, Waiting: 1, Slots: 9}, now+1)
	got := sc.TakeObservations()
	if len(got) != 2 || got[0].Server != "server-0-00" || got[0].Succeeded != 1 || got[0].Failed != 1 || got[0].Load == nil || got[0].At != now+1 {
		t.Fatalf("the observations are %+v", got)
	}
	if got[1].Server != "server-0-01" || got[1].Succeeded != 1 || got[1].Load != nil {
		t.Fatalf("the observations are %+v", got)
	}
	if again := sc.TakeObservations(); len(again) > 0 {
		t.Errorf("observations were returned again: %+v", again)
	}
}

// When a server's address changes, its load and failure rate are reset.
func TestAddressChangeResetsServerState(t *testing.T) {
	sc := newFleetScheduler(1, 1, 9)
	now := 100 * clock.Second
	sc.ReceiveObservation(Observation{Server: "server-0-00", Failed: 9, Load: &endpoints.ReportedLoad{Waiting: 8, Slots: 9}, At: now}, now)
	sc.SetServer(endpoints.Server{Name: "server-0-00", Address: "elsewhere", Slots: 9})
	server := sc.servers["server-0-00"]
	if server.expectedWaiting(now) != 0 || server.outcomes.failureRate(now) != 0 {
		t.Errorf("%v requests wait, the failure rate is %v", server.expectedWaiting(now), server.outcomes.failureRate(now))
	}
}

// The number of run intervals of ended requests is bounded even without load reports.
func TestRunIntervalsAreBounded(t *testing.T) {
	s := &serverState{}
	for i := range 10_000 {
		at := clock.Micros(i) * 10 * clock.Millisecond
		s.add(&Assignment{AssignedAt: at, interval: &runInterval{startedAt: at, endedAt: at + 1}})
	}
	if len(s.runIntervals) > 1100 {
		t.Errorf("%d run intervals are kept", len(s.runIntervals))
	}
}
