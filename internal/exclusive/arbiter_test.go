package exclusive

import (
	"testing"

	"tuliprudder/internal/clock"
)

// arbiterFixture is an arbiter with its table; every update is durable immediately.
type arbiterFixture struct {
	t       *testing.T
	arbiter *Arbiter
	table   Table
	now     clock.Micros
}

func newArbiterFixture(t *testing.T) *arbiterFixture {
	f := &arbiterFixture{t: t, arbiter: NewArbiter(Defaults()), now: 100 * clock.Second}
	f.arbiter.Start(1, f.now)
	f.now += 20 * clock.Second
	return f
}

// request makes a holder request permits and report the outcomes of earlier ones.
func (f *arbiterFixture) request(holder Holder, due []Act, outcomes ...Outcome) Decision {
	decision := f.arbiter.Decide(&f.table, Request{Holder: holder, Outcomes: outcomes}, due, f.now)
	f.table.Apply(decision.Update)
	return decision
}

// requestOne makes a holder request permits, and returns the only one granted.
func (f *arbiterFixture) requestOne(holder Holder, due ...Act) Permit {
	f.t.Helper()
	permits := f.request(holder, due).Permits
	if len(permits) != 1 {
		f.t.Fatalf("got %d permits, want 1", len(permits))
	}
	return permits[0]
}

func outcomeOf(permit Permit, result Result) Outcome {
	return Outcome{ID: permit.ID, Subject: permit.Subject, Number: permit.Number, Fence: permit.Fence, Result: result}
}

func TestReassignmentWaitsForHolderLease(t *testing.T) {
	f := newArbiterFixture(t)
	settings := Defaults()
	first := f.requestOne(holderA, act("s", 1, "x"))
	f.now += settings.HolderLease - 1
	if got := f.request(holderB, []Act{act("s", 1, "y")}).Permits; len(got) > 0 {
		t.Fatalf("another node got %+v within the holder's lease", got)
	}
	f.now++
	second := f.requestOne(holderB, act("s", 1, "y"))
	if second.Fence <= first.Fence || string(second.Content) != "x" {
		t.Fatalf("first permit %+v, then %+v", first, second)
	}
}

// A new primary does not know the permits that the previous one granted.
func TestNewPrimaryWaitsForFormerPermitsToExpire(t *testing.T) {
	f := newArbiterFixture(t)
	f.requestOne(holderA, act("s", 1, "x"))
	f.now += 50 * clock.Millisecond
	f.arbiter.Start(2, f.now)
	f.now += Defaults().HolderLease - 1
	if got := f.request(holderB, nil).Permits; len(got) > 0 {
		t.Fatalf("another node got %+v within the lease", got)
	}
	f.now++
	f.requestOne(holderB)
}

func TestPresentHolderKeepsSubject(t *testing.T) {
	f := newArbiterFixture(t)
	done := f.requestOne(holderA, act("s", 1, "x"))
	f.request(holderA, nil, outcomeOf(done, Done))
	f.now += 10 * clock.Second
	f.arbiter.RequestReceived(Request{Holder: holderA}, f.now)
	due := []Act{act("s", 2, "y")}
	if got := f.request(holderB, due).Permits; len(got) > 0 {
		t.Fatalf("another node got %+v while the holder is present", got)
	}
	f.now += Defaults().PresenceTimeout
	if got := f.request(holderB, due).Permits; len(got) != 1 {
		t.Fatalf("another node got %+v once the holder is absent, want 1 permit", got)
	}
}

// A restarted process does not know which calls of its predecessor are still in progress.
func TestRestartedProcessIsDifferentHolder(t *testing.T) {
	f := newArbiterFixture(t)
	first := f.requestOne(holderA, act("s", 1, "x"))
	again := Holder{Name: holderA.Name, Instance: "run-2"}
	f.now += clock.Second
	if got := f.request(again, nil).Permits; len(got) > 0 {
		t.Fatalf("restarted process got %+v at once", got)
	}
	f.now += Defaults().HolderLease
	if second := f.requestOne(again); second.Fence <= first.Fence {
		t.Fatalf("first permit %+v, then %+v", first, second)
	}
}

func TestActIsSettledOnce(t *testing.T) {
	f := newArbiterFixture(t)
	permit := f.requestOne(holderA, act("s", 1, "x"))
	if got := f.request(holderA, nil, outcomeOf(permit, Done)).Update.Settlements; len(got) != 1 {
		t.Fatalf("settlements are %+v, want 1", got)
	}
	if got := f.request(holderA, nil, outcomeOf(permit, Done)).Update; !got.IsEmpty() {
		t.Fatalf("a resent request caused the update %+v", got)
	}
}

// An act that was done need not be repeated, whichever holder reports it; a refusal may be due to the
// former fence.
func TestOutcomesUnderFormerFence(t *testing.T) {
	for _, test := range []struct {
		result Result
		ends   bool
	}{{Done, true}, {Refused, false}, {RetryLater, false}, {NoAnswer, false}} {
		f := newArbiterFixture(t)
		former := f.requestOne(holderA, act("s", 1, "x"))
		f.now += Defaults().HolderLease
		f.requestOne(holderB)
		f.request(holderA, nil, outcomeOf(former, test.result))
		if ends := len(f.table.Record("s").Open) == 0; ends != test.ends {
			t.Errorf("%s from a former holder: settled is %v", test.result, ends)
		}
	}
}

// A resent request must not change the retry delay, nor end the permit that was granted since.
func TestRepeatedOutcomeIsIgnored(t *testing.T) {
	f := newArbiterFixture(t)
	first := f.requestOne(holderA, act("s", 1, "x"))
	f.request(holderA, nil, outcomeOf(first, NoAnswer))
	f.now += Defaults().MinRetryDelay
	f.requestOne(holderA)
	f.now += Defaults().MinRetryDelay
	if got := f.request(holderA, nil, outcomeOf(first, NoAnswer)).Permits; len(got) > 0 {
		t.Fatalf("got a second permit while one is pending: %+v", got)
	}
}

func TestPendingActIsNotGrantedAgain(t *testing.T) {
	f := newArbiterFixture(t)
	f.requestOne(holderA, act("s", 1, "x"))
	got := f.request(holderA, []Act{act("s", 2, "y")}).Permits
	if len(got) != 1 || got[0].Number != 2 {
		t.Fatalf("got %+v while act 1 is pending, want act 2 only", got)
	}
}

// Otherwise a call with the old target could arrive after one with the new target.
func TestSupersedingActWaitsForPendingPermit(t *testing.T) {
	f := newArbiterFixture(t)
	older, newer := act("s", 1, "x"), act("s", 2, "y")
	older.Supersedes, newer.Supersedes = true, true
	first := f.requestOne(holderA, older)
	if got := f.request(holderA, []Act{newer}); len(got.Permits) > 0 || !got.Update.IsEmpty() {
		t.Fatalf("granted while the first act is pending: %+v", got)
	}
	got := f.request(holderA, []Act{newer}, outcomeOf(first, Done)).Permits
	if len(got) != 1 || got[0].Number != 2 {
		t.Fatalf("got %+v once the first act is done, want act 2", got)
	}
}

// failUntilExcluded reports missing answers for a holder until it is excluded from the subject.
func (f *arbiterFixture) failUntilExcluded(holder Holder) {
	f.t.Helper()
	settings := Defaults()
	permit := f.requestOne(holder, act("s", 1, "x"))
	for range settings.MaxFailures - 1 {
		f.request(holder, nil, outcomeOf(permit, NoAnswer))
		f.now += settings.MaxRetryDelay
		permit = f.requestOne(holder)
	}
	f.request(holder, nil, outcomeOf(permit, NoAnswer))
	f.now += settings.HolderLease
}

func TestHolderWithoutAnswersIsExcluded(t *testing.T) {
	f := newArbiterFixture(t)
	f.failUntilExcluded(holderA)
	f.arbiter.RequestReceived(Request{Holder: holderB}, f.now)
	if got := f.request(holderA, nil).Permits; len(got) > 0 {
		t.Fatalf("excluded holder got %+v", got)
	}
	f.requestOne(holderB)
}

// Without another node to take the subject over, exclusion does not apply.
func TestOnlyNodeKeepsSubjectWithoutAnswers(t *testing.T) {
	f := newArbiterFixture(t)
	f.failUntilExcluded(holderA)
	f.requestOne(holderA)
}

// Otherwise one outage during a batch would exclude the holder.
func TestBatchWithoutAnswersCountsAsOneFailure(t *testing.T) {
	f := newArbiterFixture(t)
	permits := f.request(holderA, []Act{act("s", 1, "x"), act("s", 2, "y"), act("s", 3, "z")}).Permits
	var outcomes []Outcome
	for _, permit := range permits {
		outcomes = append(outcomes, outcomeOf(permit, NoAnswer))
	}
	f.request(holderA, nil, outcomes...)
	f.now += Defaults().MinRetryDelay
	if got := f.request(holderA, nil).Permits; len(got) != 3 {
		t.Fatalf("%d of 3 acts were granted again", len(got))
	}
}

func TestRateLimitSpansAllSubjects(t *testing.T) {
	f := newArbiterFixture(t)
	var due []Act
	for _, subject := range []Subject{"a", "b", "c", "d", "e", "f", "g", "h"} {
		for number := range uint64(8) {
			due = append(due, act(subject, number+1, "x"))
		}
	}
	var times []clock.Micros
	for range 1000 {
		f.now += 10 * clock.Millisecond
		for _, permit := range f.request(holderA, due).Permits {
			times = append(times, f.now)
			f.request(holderA, nil, outcomeOf(permit, Done))
		}
	}
	if len(times) < 40 {
		t.Fatalf("only %d of 64 calls were granted in 10 s", len(times))
	}
	limit := Defaults().CallsPerSecond
	for i := limit; i < len(times); i++ {
		if times[i]-times[i-limit] < clock.Second {
			t.Fatalf("%d calls within %d us", limit+1, times[i]-times[i-limit])
		}
	}
}

func TestRequestThatChangesNothingIsNoOp(t *testing.T) {
	var table Table
	if !IsNoOp(&table, Request{Holder: holderA}, nil) {
		t.Fatal("a request with nothing to do is not a no-op")
	}
	due := []Act{act("s", 1, "x")}
	isIdle := IsNoOp(&table, Request{Holder: holderA}, due)
	table.Apply(grantUpdate("s", holderA, 1, due...))
	if isIdle || IsNoOp(&table, Request{Holder: holderA}, nil) || IsNoOp(&Table{}, Request{Outcomes: make([]Outcome, 1)}, nil) {
		t.Fatal("a request is a no-op although an act is due or open, or an outcome reported")
	}
}

func TestDrainingHolderIsReplacedWhilePresent(t *testing.T) {
	f := newArbiterFixture(t)
	done := f.requestOne(holderA, act("s", 1, "x"))
	f.now += Defaults().HolderLease
	f.request(holderA, nil, outcomeOf(done, Done))
	leaving := f.arbiter.Decide(&f.table, Request{Holder: holderA, ReportOnly: true}, []Act{act("s", 2, "y")}, f.now)
	if len(leaving.Permits) > 0 {
		t.Fatalf("draining node got %+v", leaving.Permits)
	}
	f.requestOne(holderB, act("s", 2, "y"))
}

// If the primary is the holder, one failure takes out both.
func TestPrimaryYieldsToOtherNodes(t *testing.T) {
	f := newArbiterFixture(t)
	f.arbiter.SetSelf(holderA)
	f.arbiter.RequestReceived(Request{Holder: holderB}, f.now)
	due := []Act{act("s", 1, "x")}
	if got := f.request(holderA, due).Permits; len(got) > 0 {
		t.Fatalf("the primary got %+v although another node is present", got)
	}
	f.now += Defaults().PresenceTimeout
	f.requestOne(holderA, due...)
}

// The other node is present but cannot reach the external system.
func TestPrimaryReplacesExcludedHolder(t *testing.T) {
	f := newArbiterFixture(t)
	f.arbiter.SetSelf(holderB)
	f.failUntilExcluded(holderA)
	f.arbiter.RequestReceived(Request{Holder: holderA}, f.now)
	f.requestOne(holderB)
}
