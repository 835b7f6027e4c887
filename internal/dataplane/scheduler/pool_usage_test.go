package scheduler

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/mechanism"
)

// usageFixture is a scheduler with one server of 4 slots in an autoscaled pool, a route for live requests and one
// for batch items that are due 8 s after submission.
type usageFixture struct {
	*Scheduler
	live, batch *config.Route
	started     []*Assignment
	now         clock.Micros
}

func newUsageFixture(t *testing.T, disabled mechanism.Set) *usageFixture {
	t.Helper()
	settings := Defaults()
	settings.Disabled = disabled
	b := &usageFixture{Scheduler: New(settings, 7), now: 100 * clock.Second}
	forward := &config.Forward{Host: "h", PathPrefix: "/", CompletionWindow: 8 * clock.Second, Priority: 5}
	c := &config.Configuration{
		Version: 1,
		Pools:   []config.Pool{{Name: "p", Servers: config.Selector{}, Autoscale: config.Autoscale{Min: 1, Max: 2}}},
		Routes:  []config.Route{{Name: "live", Kind: config.Stream, Pools: config.Selector{}, Forward: forward}, {Name: "batch", Kind: config.Batch, Pools: config.Selector{}, Forward: forward}},
	}
	c.Index()
	b.SetConfiguration(c, b.now)
	b.live, _ = c.Route("live")
	b.batch, _ = c.Route("batch")
	b.SetServer(endpoints.Server{Name: "s", Address: "s", Slots: 4})
	b.AdvanceFreshness(b.now + 1000*clock.Second)
	return b
}

// submit submits a request with a deadline after wait; 0: none.
func (b *usageFixture) submit(route *config.Route, wait clock.Micros) {
	r := &Request{Route: route, Priority: 5, IsBatchItem: route == b.batch}
	r.Start = func(assignment *Assignment, _ clock.Micros) { b.started = append(b.started, assignment) }
	r.Drop = func(error, clock.Micros) {}
	if wait > 0 {
		r.Deadline = b.now + wait
	}
	if r.IsBatchItem {
		r.DueAt = b.now + 8*clock.Second
	}
	if err := b.Submit(r, b.now); err != nil {
		panic(err)
	}
	b.MatchUntilStable(b.now)
}

func (b *usageFixture) advance(elapsed clock.Micros) {
	b.now += elapsed
	b.Match(b.now)
}

func TestBusySlotsAreTheMeanSinceTheLastReading(t *testing.T) {
	b := newUsageFixture(t, mechanism.Set{})
	b.submit(b.live, 0)
	b.TakeLoads(b.now)
	b.advance(clock.Second)
	b.submit(b.live, 0)
	b.advance(clock.Second)
	b.started[0].Release(2*clock.Second, true, b.now)
	b.advance(2 * clock.Second)
	b.started[1].CountLate()
	b.started[1].Release(3*clock.Second, true, b.now)
	b.advance(clock.Second)
	got := b.TakeLoads(b.now)
	if len(got) != 1 || got[0] != (PoolLoad{Pool: "p", Busy: 1000, Started: 2, Late: 1}) { // slots were used for 2 s and 3 s, in 5 s
		t.Errorf("the load is %+v", got)
	}
	b.advance(clock.Second)
	if got := b.TakeLoads(b.now); len(got) != 1 || got[0].Busy != 0 {
		t.Errorf("after it became idle the load is %+v", got)
	}
	b.advance(clock.Second)
	if got := b.TakeLoads(b.now); len(got) != 0 {
		t.Errorf("while it stays idle the load is %+v", got)
	}
}

func TestQueuedRequestsAreCounted(t *testing.T) {
	b := newUsageFixture(t, mechanism.Set{})
	for range 9 {
		b.submit(b.live, clock.Second)
	}
	full := len(b.started)
	if got := b.TakeLoads(b.now)[0]; got.Queued != int64(9-full) || got.Started != int64(full) || got.Rejected != 0 {
		t.Errorf("while %d of 9 requests are queued the load is %+v", 9-full, got)
	}
	b.advance(2 * clock.Second)
	if got := b.TakeLoads(b.now)[0]; got.Queued != 0 || got.Rejected != int64(9-full) {
		t.Errorf("after their deadlines the load is %+v", got)
	}
}

// Required follows from the queued items' mean duration and due time: ten items of 2 s that are due in
// 8 s need two and a half slots.
func TestRequiredSlotsOfBatchItems(t *testing.T) {
	b := newUsageFixture(t, mechanism.Set{})
	b.submit(b.batch, 0)
	b.advance(2 * clock.Second)
	for range 40 { // each item moves the average duration an eighth closer to 2 s
		b.started[len(b.started)-1].Release(2*clock.Second, true, b.now)
		b.submit(b.batch, 0)
	}
	waiting := int64(0)
	for b.QueueLength() < 10 {
		b.submit(b.batch, 0)
		waiting = int64(b.QueueLength())
	}
	got := b.TakeLoads(b.now)[0]
	if want := waiting * 2 * milli / 8; got.Required < want*95/100 || got.Required > want*105/100 {
		t.Errorf("%d queued items require %d thousandths of a slot", waiting, got.Required)
	}
}

func TestNoLoadIsReportedWithoutAutoscaling(t *testing.T) {
	disabled, err := mechanism.Parse(string(mechanism.Autoscale))
	if err != nil {
		t.Fatal(err)
	}
	b := newUsageFixture(t, disabled)
	b.submit(b.live, 0)
	if got := b.TakeLoads(b.now); len(got) != 0 {
		t.Errorf("the load is %+v", got)
	}
	fixed := newFixture(t, newServer("one", 4))
	fixed.submit("r", 5, nil)
	fixed.Match(fixed.now)
	if got := fixed.TakeLoads(fixed.now); len(got) != 0 {
		t.Errorf("the load is %+v", got)
	}
}
