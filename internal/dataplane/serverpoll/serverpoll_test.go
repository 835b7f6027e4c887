package serverpoll

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

const testInterval = 400 * clock.Millisecond

// fixture has the poller of the only edge, and one server of four slots.
type fixture struct {
	*Poller
	calls     *machine.Calls
	scheduler *scheduler.Scheduler
	members   []membership.Member
	now       clock.Micros
}

func newFixture(interval clock.Micros) *fixture {
	f := &fixture{
		calls:     machine.NewCalls(),
		scheduler: scheduler.New(scheduler.Defaults(), 1),
		members:   []membership.Member{{ID: "self", Kind: membership.Edge, Status: membership.Alive}},
		now:       10 * clock.Second,
	}
	f.scheduler.SetServer(endpoints.Server{Name: "s", Address: "s:1", Slots: 4})
	f.Poller = New("self", interval, f.calls, f.scheduler, func() []membership.Member { return f.members })
	return f
}

// pollTasks runs a tick and returns the tasks that it emits.
func (f *fixture) pollTasks() []PollTask {
	f.Tick(f.now)
	var out []PollTask
	for _, effect := range f.calls.Drain() {
		if execute, ok := effect.(machine.Execute); ok {
			out = append(out, execute.Task.(PollTask))
		}
	}
	return out
}

// finish passes a poll's result to the poller and returns the update that it publishes.
func (f *fixture) finish(t *testing.T, result PollResult) machine.Update {
	t.Helper()
	result.PollTask = PollTask{Name: "s", Address: "s:1"}
	result.StartedAt = f.now
	f.HandleResult(result, f.now)
	for _, effect := range f.calls.Drain() {
		if publish, ok := effect.(machine.Publish); ok {
			f.Receive(publish.Update)
			return publish.Update
		}
	}
	t.Fatal("no update was published")
	return machine.Update{}
}

func TestBusyServerIsPolledMoreOften(t *testing.T) {
	for name, c := range map[string]struct {
		result   PollResult
		interval clock.Micros
	}{
		"idle":             {PollResult{Healthy: true, Running: 1}, testInterval},
		"half full":        {PollResult{Healthy: true, Running: 1, Waiting: 1}, testInterval / busyPollFactor},
		"pages unreadable": {PollResult{Running: 4}, testInterval},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(testInterval)
			if got := f.pollTasks(); len(got) != 1 || got[0] != (PollTask{Name: "s", Address: "s:1"}) {
				t.Fatalf("got tasks %+v", got)
			}
			f.now += testInterval
			if got := f.pollTasks(); len(got) != 0 {
				t.Fatalf("got tasks %+v while a poll is in flight", got)
			}
			f.finish(t, c.result)
			started, scan := f.now, testInterval/busyPollFactor
			for len(f.pollTasks()) == 0 {
				f.now += scan
			}
			if got := f.now - started; got != c.interval {
				t.Errorf("polled again after %d us, want %d", got, c.interval)
			}
		})
	}
}

func TestServersThatAreNotPolled(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"polling disabled":       func(f *fixture) { f.interval = 0 },
		"removed":                func(f *fixture) { f.scheduler.SetServer(endpoints.Server{Name: "s", Removed: true}) },
		"this edge is draining":  func(f *fixture) { f.members[0].Draining = true },
		"another edge's servers": func(f *fixture) { f.members[0].ID = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(testInterval)
			change(f)
			if got := f.pollTasks(); len(got) != 0 {
				t.Errorf("got tasks %+v", got)
			}
		})
	}
}

// The sequence number increases with each load; the epoch increases if another daemon published the last one.
func TestLoadVersion(t *testing.T) {
	f := newFixture(testInterval)
	requireVersion := func(when string, update machine.Update, epoch, seq uint64) {
		t.Helper()
		if update.Epoch != epoch || update.Seq != seq || update.Key != endpoints.LoadKey("s") {
			t.Errorf("%s: got %+v, want epoch %d, sequence %d", when, update, epoch, seq)
		}
	}
	result := PollResult{Healthy: true, Running: 3, Waiting: 1}
	update := f.finish(t, result)
	requireVersion("first", update, 1, 1)
	var load endpoints.Load
	if err := json.Unmarshal(update.Value, &load); err != nil || load != (endpoints.Load{Running: 3, Waiting: 1, Healthy: true, ReadAt: f.now, ReadBy: "self"}) {
		t.Errorf("published %+v, %v", load, err)
	}
	requireVersion("second", f.finish(t, result), 1, 2)
	other, _ := json.Marshal(endpoints.Load{ReadBy: "other"})
	f.Receive(machine.Update{Key: endpoints.LoadKey("s"), Epoch: 4, Seq: 9, Value: other})
	requireVersion("after another daemon's", f.finish(t, result), 5, 1)
}
