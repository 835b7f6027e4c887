package autoscale

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

// plannerTestBed runs a planner with three zones of servers. Its acts are decided and performed immediately.
type plannerTestBed struct {
	*Planner
	t                *testing.T
	table            exclusive.Table
	now              clock.Micros
	acts             []exclusive.Act
	started          int64 // live requests
	late             int64
	lastServerNumber int
	resizeZone       func(zone string, desired int64) // performs an act; nil: acts are not performed
}

func newPlannerTestBed(t *testing.T, perZone int) *plannerTestBed {
	b := &plannerTestBed{t: t, now: 1000 * clock.Second}
	b.Planner = New(func(machine.Effect) {})
	b.setBounds(config.Autoscale{Min: 7, Max: 16, BootTime: 4 * clock.Second})
	b.Start(b.now)
	for _, zone := range []string{"a", "b", "c"} {
		b.addServers(zone, perZone)
	}
	b.resizeZone = b.resize
	return b
}

func (b *plannerTestBed) setBounds(bounds config.Autoscale) {
	c := &config.Configuration{Pools: []config.Pool{
		{Name: "llm", Servers: config.Selector{"service": {"llm"}}, Autoscale: bounds},
		{Name: "fixed", Servers: config.Selector{"service": {"fixed"}}},
	}}
	c.Index()
	b.SetConfiguration(c)
}

func (b *plannerTestBed) addServers(zone string, count int) {
	for range count {
		b.lastServerNumber++
		b.SetServer(Server{Name: fmt.Sprintf("%s-%03d", zone, b.lastServerNumber), Labels: config.Labels{"service": "llm"}, Zone: zone, Slots: 8, Serving: true})
	}
}

// serversOf returns the names of the serving servers of a zone, in no particular order.
func (b *plannerTestBed) serversOf(zone string) (names []string) {
	for name, server := range b.servers {
		if server.Zone == zone && server.Serving {
			names = append(names, name)
		}
	}
	return names
}

func (b *plannerTestBed) removeServers(zone string, count int) {
	for _, name := range b.serversOf(zone)[:count] {
		b.RemoveServer(name)
	}
}

// resize starts and ends servers immediately.
func (b *plannerTestBed) resize(zone string, desired int64) {
	if missing := int(desired) - len(b.serversOf(zone)); missing > 0 {
		b.addServers(zone, missing)
	} else {
		b.removeServers(zone, -missing)
	}
}

// runSeconds advances the time by some seconds with the given number of busy slots; the given fraction of 500
// requests per second is late.
func (b *plannerTestBed) runSeconds(seconds int, busy int64, late float64) {
	for range seconds {
		b.now += clock.Second
		b.started += 500
		b.late += int64(500 * late)
		load := Load{Pool: "llm", Busy: busy * milli, Started: b.started, Late: b.late}
		b.Receive(Reporter{Daemon: "edge", Incarnation: 1}, []Load{load}, b.now)
		b.Advance(&b.table, b.now)
		b.performDueActs()
	}
}

// performDueActs decides and performs the acts that are due.
func (b *plannerTestBed) performDueActs() {
	for _, act := range b.Due(&b.table) {
		b.acts = append(b.acts, act)
		b.table.Apply(exclusive.Update{Grants: []exclusive.Grant{{Subject: act.Subject, Fence: 1, Acts: []exclusive.Act{act}}}})
		target, err := DecodeTarget(act.Content)
		if err != nil || !act.Supersedes || act.Subject != Subject(target.Service, target.Zone) {
			b.t.Fatalf("act %+v, %v", act, err)
		}
		if b.resizeZone != nil {
			b.resizeZone(target.Zone, target.Desired)
			b.table.Apply(exclusive.Update{Settlements: []exclusive.Settlement{{Subject: act.Subject, Numbers: []uint64{act.Number}}}})
		}
	}
}

// expectTargets checks the last decided targets; 0 means that none was decided.
func (b *plannerTestBed) expectTargets(when string, want map[string]int64) {
	b.t.Helper()
	for zone, desired := range want {
		decided, _ := lastDecidedTarget(&b.table, Subject("llm", zone))
		if decided.Desired != desired {
			b.t.Errorf("%s: zone %s has a target of %d servers, want %d", when, zone, decided.Desired, desired)
		}
	}
}

func TestNormalLoadKeepsTargets(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.runSeconds(60, 100, 0.01)
	if len(b.acts) > 0 {
		t.Errorf("acts %+v", b.acts)
	}
}

func TestSustainedLoadRaisesAllZonesEqually(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.runSeconds(7, 300, 0)
	b.expectTargets("for 7 s", map[string]int64{"a": 0, "b": 0, "c": 0})
	b.runSeconds(1, 300, 0)
	b.expectTargets("for 8 s", map[string]int64{"a": 12, "b": 12, "c": 12})
	b.runSeconds(2, 300, 0)
	b.expectTargets("2 s later", map[string]int64{"a": 12, "b": 12, "c": 12})
	b.runSeconds(30, 300, 0)
	b.expectTargets("for 40 s", map[string]int64{"a": 15, "b": 15, "c": 15})
	for _, act := range b.acts[:3] {
		if act.Number != 1 {
			t.Errorf("act %+v", act)
		}
	}
	if act := b.acts[3]; act.Number != 2 {
		t.Errorf("the next act is %+v", act)
	}
}

func TestLowLoadLowersTargetsInSteps(t *testing.T) {
	b := newPlannerTestBed(t, 10)
	b.runSeconds(11, 40, 0)
	b.expectTargets("for 11 s", map[string]int64{"a": 0, "b": 0, "c": 0})
	b.runSeconds(1, 40, 0)
	b.expectTargets("for 12 s", map[string]int64{"a": 9, "b": 9, "c": 9})
	b.runSeconds(2, 40, 0)
	b.expectTargets("2 s later", map[string]int64{"a": 9, "b": 9, "c": 9})
	b.runSeconds(30, 40, 0)
	b.expectTargets("30 s later", map[string]int64{"a": 7, "b": 7, "c": 7})
}

// A fleet that has just started has not served any requests yet, which must not be taken for low load.
func TestServiceIsNotLoweredBeforeFirstRequest(t *testing.T) {
	b := newPlannerTestBed(t, 10)
	for range 40 {
		b.now += clock.Second
		b.Advance(&b.table, b.now)
		b.performDueActs()
	}
	if len(b.acts) > 0 {
		t.Fatalf("acts %+v", b.acts)
	}
	b.runSeconds(12, 40, 0)
	b.expectTargets("12 s after the first request", map[string]int64{"a": 9})
}

// When a fleet starts, its servers register one by one. A primary that takes the first two, three or twelve
// servers for the whole fleet lowers the zones to their minimum.
func TestInitialTargetsWaitForAllServersToStart(t *testing.T) {
	b := newPlannerTestBed(t, 1)
	for range 9 {
		for _, zone := range []string{"a", "b", "c"} {
			b.addServers(zone, 1)
		}
		b.runSeconds(3, 100, 0)
	}
	b.runSeconds(3, 130, 0)
	if len(b.acts) > 0 {
		t.Errorf("acts %+v", b.acts)
	}
}

func TestTargetsStayWithinBounds(t *testing.T) {
	b := newPlannerTestBed(t, 5)
	b.runSeconds(7, 20, 0)
	b.expectTargets("fewer servers than the minimum", map[string]int64{"a": 7, "b": 7, "c": 7})
	b.runSeconds(60, 5000, 0.5)
	b.expectTargets("heavy overload", map[string]int64{"a": 16, "b": 16, "c": 16})
	b.setBounds(config.Autoscale{Min: 2, Max: 12, BootTime: 4 * clock.Second})
	b.runSeconds(1, 5000, 0.5)
	b.expectTargets("lower maximum", map[string]int64{"a": 12, "b": 12, "c": 12})
	b.setBounds(config.Autoscale{})
	acts := len(b.acts)
	b.runSeconds(30, 0, 0)
	if len(b.acts) != acts {
		t.Errorf("a pool that is no longer scaled: acts %+v", b.acts[acts:])
	}
}

// Decided targets outlive the primary. The number of running servers may still differ from them.
func TestNewPrimaryKeepsDecidedTargets(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.resizeZone = nil
	b.runSeconds(8, 300, 0)
	b.expectTargets("decided", map[string]int64{"a": 12})
	acts := len(b.acts)
	b.Start(b.now)
	b.runSeconds(4, 120, 0)
	if len(b.acts) != acts {
		t.Errorf("the next primary: acts %+v", b.acts[acts:])
	}
}

// A new primary counts live requests from its first report of each daemon on, not from the daemon's start.
func TestNewPrimaryCountsRequestsFromFirstReports(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.started, b.late = 1_000_000, 900_000
	b.runSeconds(20, 100, 0)
	if len(b.acts) > 0 {
		t.Errorf("acts %+v", b.acts)
	}
}

// A new primary must not request further servers for misses that servers requested by its predecessor will
// resolve once they have booted.
func TestNewPrimaryWaitsForBootingServers(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.resizeZone = nil
	b.runSeconds(10, 110, 0.5)
	b.expectTargets("decided", map[string]int64{"a": 11})
	b.Start(b.now)
	b.runSeconds(9, 110, 0.5)
	b.expectTargets("while the servers boot", map[string]int64{"a": 11, "b": 11, "c": 11})
	b.runSeconds(1, 110, 0.5)
	b.expectTargets("afterwards", map[string]int64{"a": 15, "b": 15, "c": 15})
}

// Missing servers are requested again even when no server of the service is left.
func TestTargetsAreRequestedAgainAfterAllServersAreLost(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.runSeconds(8, 300, 0)
	b.expectTargets("decided", map[string]int64{"a": 12})
	b.runSeconds(1, 300, 0)
	acts := len(b.acts)
	b.resizeZone = nil
	for _, zone := range []string{"a", "b", "c"} {
		b.removeServers(zone, 12)
	}
	b.runSeconds(12, 0, 0)
	if len(b.acts) != acts {
		t.Fatalf("while they may boot: acts %+v", b.acts[acts:])
	}
	b.runSeconds(1, 0, 0)
	if len(b.acts) != acts+3 || string(b.acts[acts].Content) != string(b.acts[0].Content) {
		t.Errorf("then: acts %+v", b.acts[acts:])
	}
}

func TestTargetsAreRequestedAgainIfServersDoNotStart(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.resizeZone = func(string, int64) {}
	b.runSeconds(8, 190, 0)
	acts := len(b.acts)
	if acts != 3 {
		t.Fatalf("acts %+v", b.acts)
	}
	b.runSeconds(10, 190, 0)
	if len(b.acts) != acts {
		t.Fatalf("while they may boot: acts %+v", b.acts[acts:])
	}
	b.runSeconds(2, 190, 0)
	if len(b.acts) != 2*acts || b.acts[acts].Number != 2 || string(b.acts[acts].Content) != string(b.acts[0].Content) {
		t.Errorf("then: acts %+v", b.acts)
	}
}

// Crashed servers stay on the server list for some seconds, then return or are replaced: no reason to
// change a target.
func TestCrashOfOneSixthOfServersKeepsTargets(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.runSeconds(20, 100, 0)
	b.removeServers("a", 2)
	b.removeServers("b", 2)
	b.runSeconds(5, 100, 0.02)
	b.addServers("a", 2)
	b.addServers("b", 2)
	b.runSeconds(20, 100, 0)
	if len(b.acts) > 0 {
		t.Errorf("acts %+v", b.acts)
	}
}

// In a rolling replacement, each new server starts before its predecessor drains.
func TestRollingReplacementKeepsTargets(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.runSeconds(15, 100, 0)
	for range 8 {
		for _, zone := range []string{"a", "b", "c"} {
			old := b.servers[b.serversOf(zone)[0]]
			b.addServers(zone, 1)
			b.runSeconds(1, 100, 0)
			old.Serving = false
			b.SetServer(old)
			b.runSeconds(1, 100, 0)
			b.RemoveServer(old.Name)
		}
	}
	if len(b.acts) > 0 {
		t.Errorf("acts %+v", b.acts)
	}
}

// When a zone loses all of its servers, the targets of the other zones rise to replace them. The zone gets its
// share back once it has servers again.
func TestOtherZonesReplaceLostZone(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.resizeZone = func(zone string, desired int64) {
		if zone != "c" {
			b.resize(zone, desired)
		}
	}
	b.runSeconds(15, 130, 0)
	b.removeServers("c", 8)
	b.runSeconds(30, 130, 0)
	b.expectTargets("zone c is lost", map[string]int64{"a": 10, "b": 10})
	b.resizeZone = b.resize
	b.runSeconds(60, 80, 0)
	b.expectTargets("zone c is back", map[string]int64{"c": 8})
}

// A zone at its initial target has no act to propose.
func TestUnchangedTargetsAreNotProposed(t *testing.T) {
	b := newPlannerTestBed(t, 8)
	b.runSeconds(7, 300, 0)
	if due := b.Due(&b.table); len(due) > 0 {
		t.Errorf("acts that are due: %+v", due)
	}
}

func TestTargetEncoding(t *testing.T) {
	target := Target{Service: "llm", Zone: "a/b", Desired: 3}
	if got := string(target.Encode()); got != `{"service":"llm","zone":"a/b","desired":3}` {
		t.Errorf("encoded %s", got)
	}
	decoded, err := DecodeTarget(target.Encode())
	if err != nil || decoded != target {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
	zone, ok := zoneOfSubject(Subject("llm", "a/b"), "llm")
	if _, other := zoneOfSubject("usage", "llm"); !ok || zone != "a/b" || other || !IsSubject(Subject("llm", "a")) || IsSubject("usage") {
		t.Errorf("the subject yields zone %q", zone)
	}
	if _, err := DecodeTarget([]byte("{")); err == nil {
		t.Error("decoded invalid JSON without an error")
	}
}
