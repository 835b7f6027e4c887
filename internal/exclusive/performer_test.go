package exclusive

import (
	"errors"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// performerFixture is a performer whose requests are answered by the test.
type performerFixture struct {
	t         *testing.T
	performer *Performer
	calls     *machine.Calls
	now       clock.Micros
	request   machine.Request // the latest
	tasks     []Task
}

func newPerformerFixture(t *testing.T) *performerFixture {
	calls := machine.NewCalls()
	return &performerFixture{t: t, calls: calls, now: 100 * clock.Second, performer: NewPerformer(holderA, PerformerDefaults(), calls)}
}

// tick reports whether a request was sent.
func (f *performerFixture) tick() (isSent bool) {
	f.performer.Tick("primary", false, f.now)
	return f.drain()
}

func (f *performerFixture) drain() (isSent bool) {
	for _, effect := range f.calls.Drain() {
		switch e := effect.(type) {
		case machine.Request:
			f.request, isSent = e, true
		case machine.Execute:
			f.tasks = append(f.tasks, e.Task.(Task))
		}
	}
	return isSent
}

// respond answers the latest request with permits.
func (f *performerFixture) respond(permits ...Permit) {
	response := Response{Permits: permits, Validity: Defaults().Validity}
	f.calls.ReplyReceived(f.request.Token, response, nil, f.now)
	f.drain()
}

func (f *performerFixture) outcomes() []Outcome { return f.request.Body.(Request).Outcomes }

func permitOf(serial uint64, act Act) Permit {
	return Permit{Act: act, ID: PermitID{1, serial}, Holder: holderA, Fence: 1}
}

// The response may have been delayed, or the process paused, for any length of time.
func TestPermitValidityStartsWhenRequestIsSent(t *testing.T) {
	f := newPerformerFixture(t)
	f.tick()
	sentAt := f.now
	f.now += 900 * clock.Millisecond
	f.respond(permitOf(1, act("s", 1, "x")))
	if len(f.tasks) != 1 || f.tasks[0].Deadline != sentAt+Defaults().Validity {
		t.Fatalf("tasks are %+v", f.tasks)
	}
}

func TestLatePermitIsNotPerformed(t *testing.T) {
	f := newPerformerFixture(t)
	f.tick()
	f.now += Defaults().Validity
	f.respond(permitOf(1, act("s", 1, "x")))
	f.tick()
	if len(f.tasks) > 0 || len(f.outcomes()) != 1 || f.outcomes()[0].Result != NoAnswer {
		t.Fatalf("tasks are %+v, outcomes are %+v", f.tasks, f.outcomes())
	}
}

func TestOutcomesAreReportedUntilAcknowledged(t *testing.T) {
	f := newPerformerFixture(t)
	f.tick()
	f.respond(permitOf(1, act("s", 1, "x")))
	f.performer.Performed(Performed{PermitID{1, 1}, Done}, f.now)
	f.performer.Performed(Performed{PermitID{1, 1}, NoAnswer}, f.now)
	if !f.tick() || len(f.outcomes()) != 1 || f.outcomes()[0].Result != Done {
		t.Fatalf("first report of the outcome: %+v", f.outcomes())
	}
	f.calls.ReplyReceived(f.request.Token, nil, errors.New("lost"), f.now)
	if f.tick() {
		t.Fatal("a failed request was resent without a delay")
	}
	f.now += clock.Second
	if !f.tick() || len(f.outcomes()) != 1 {
		t.Fatalf("second report after a failed request: %+v", f.outcomes())
	}
	f.respond()
	f.now += clock.Second
	if !f.tick() || len(f.outcomes()) != 0 {
		t.Fatalf("outcomes reported again after a response: %+v", f.outcomes())
	}
}

// A new primary does not know which acts are in progress, so the performer itself must not run a
// superseding act concurrently with another one.
func TestSupersedingActIsDeferredWhileAnotherRuns(t *testing.T) {
	f := newPerformerFixture(t)
	older, newer := act("s", 1, "x"), act("s", 2, "y")
	older.Supersedes, newer.Supersedes = true, true
	f.tick()
	f.respond(permitOf(1, older))
	f.now += clock.Second
	f.tick()
	f.respond(permitOf(2, newer), permitOf(3, act("other", 1, "z")))
	if len(f.tasks) != 2 || f.tasks[1].Permit.Subject != "other" {
		t.Fatalf("tasks are %+v", f.tasks)
	}
	f.tick()
	if got := f.outcomes(); len(got) != 1 || got[0].ID != (PermitID{1, 2}) || got[0].Result != RetryLater {
		t.Fatalf("outcomes are %+v, want RetryLater for permit 2", got)
	}
}

func TestRequestInterval(t *testing.T) {
	f := newPerformerFixture(t)
	if !f.tick() || f.tick() {
		t.Fatal("want exactly one request at a time")
	}
	f.respond()
	f.now += PerformerDefaults().Interval - 1
	if f.tick() {
		t.Fatal("request sent before the interval has passed")
	}
	f.now++
	if !f.tick() {
		t.Fatal("no request sent after the interval")
	}
	f.respond()
	f.performer.Tick("", false, f.now+clock.Second)
	if f.drain() {
		t.Fatal("request sent although no primary is known")
	}
}

// A draining node notifies the primary, so that its subjects are reassigned without waiting for the
// presence timeout.
func TestDrainingNodeOnlyReportsOutcomes(t *testing.T) {
	f := newPerformerFixture(t)
	f.tick()
	f.respond(permitOf(1, act("s", 1, "x")))
	f.performer.Drain()
	if !f.tick() || !f.request.Body.(Request).ReportOnly {
		t.Fatalf("next request is %+v, want ReportOnly", f.request)
	}
	f.respond()
	f.performer.Performed(Performed{PermitID{1, 1}, Done}, f.now)
	if !f.tick() || len(f.outcomes()) != 1 {
		t.Fatal("outcome of a running act was not reported")
	}
	f.respond()
	f.now += 10 * clock.Second
	if f.tick() {
		t.Fatal("request sent although everything was reported")
	}
}
