package requests

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// liveHarness is a Machine with two servers and an admitted live request.
type liveHarness struct {
	*Machine
	t   *testing.T
	now clock.Micros
}

func newLiveHarness(t *testing.T, kind string) *liveHarness {
	t.Helper()
	settings := scheduler.Defaults()
	settings.MaxStaleness = scheduler.UnlimitedStaleness
	calls := machine.NewCalls()
	b := &liveHarness{t: t, now: clock.Second}
	b.Machine = New(Defaults(), calls, scheduler.New(settings, 1), nil, nil, decisionlog.New(1))
	configuration := &config.Configuration{
		Version:       1,
		ScorerWeights: map[string]float64{"spread": 1},
		Classes:       []config.PriorityClass{{Name: "a", Priority: 1}},
		Tenants:       []config.Tenant{{Name: "c", Class: "a"}},
		Pools:         []config.Pool{{Name: "p"}},
		Routes:        []config.Route{{Name: "r", Kind: kind, Classes: config.Selector{}, Timeout: 10 * clock.Second}},
	}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
	for _, name := range []string{"s1", "s2"} {
		b.scheduler.SetServer(endpoints.Server{Name: name, Address: name + ":1", Slots: 4})
	}
	r := &activeRequest{
		LiveRequest:    LiveRequest{ID: "o", Input: "x"},
		tenant:         &configuration.Tenants[0],
		class:          &configuration.Classes[0],
		route:          &configuration.Routes[0],
		deadline:       b.now + 10*clock.Second,
		releaseQuota:   func(clock.Micros) {},
		avoidedServers: map[string]int{},
	}
	b.inFlight[r.ID] = r
	b.scheduleAttempt(r, nil, b.now)
	return b
}

// decision returns the reply to the current call: an Attempt, a Response, or the kind of an error.
func (b *liveHarness) decision() any {
	b.t.Helper()
	b.scheduler.MatchUntilStable(b.now)
	var replies []machine.Reply
	for _, effect := range b.calls.Drain() {
		if reply, ok := effect.(machine.Reply); ok {
			replies = append(replies, reply)
		}
	}
	if len(replies) != 1 {
		b.t.Fatalf("%d replies, want 1: %+v", len(replies), replies)
	}
	if err := replies[0].Err; err != nil {
		return errs.Of(err).Kind
	}
	return replies[0].Body
}

// What happens after an attempt depends on the kind of the route, the outcome, and whether the caller
// has received output. The expected results are written out by hand, so that they are independent of
// the code under test.
func TestRetryDecisionByOutcomeAndRouteKind(t *testing.T) {
	const (
		oneShot, stream, resumable = config.OneShot, config.Stream, config.Resumable
		retried                    = errs.Kind("") // another attempt, on the other server
	)
	everyKind := []string{oneShot, stream, resumable}
	for name, c := range map[string]struct {
		kinds  []string
		result AttemptResult
		want   errs.Kind
	}{
		"not started":                                 {everyKind, AttemptResult{Outcome: modelclient.NotStarted}, retried},
		"rejected by the server":                      {everyKind, AttemptResult{Outcome: modelclient.Rejected}, errs.BadInput},
		"may have run once":                           {[]string{oneShot}, AttemptResult{Outcome: modelclient.Interrupted}, errs.OutcomeUnknown},
		"may have run once, with output":              {[]string{oneShot}, AttemptResult{Outcome: modelclient.Interrupted, Output: "y"}, errs.OutcomeUnknown},
		"interrupted before any output":               {[]string{stream, resumable}, AttemptResult{Outcome: modelclient.Interrupted}, retried},
		"a stream interrupted after output":           {[]string{stream}, AttemptResult{Outcome: modelclient.Interrupted, Output: "y"}, errs.OutcomeUnknown},
		"a resumable stream interrupted after output": {[]string{resumable}, AttemptResult{Outcome: modelclient.Interrupted, Output: "y"}, retried},
		"the caller left":                             {everyKind, AttemptResult{Outcome: modelclient.Interrupted, ContextDone: true}, errs.OutcomeUnknown},
	} {
		for _, kind := range c.kinds {
			t.Run(name+"/"+kind, func(t *testing.T) {
				b := newLiveHarness(t, kind)
				first, ok := b.decision().(Attempt)
				if !ok {
					t.Fatal("no attempt was started")
				}
				result := c.result
				result.RequestID = "o"
				b.Call(2, result, b.now)
				got := b.decision()
				if c.want != retried {
					if got != c.want || b.InFlight() != 0 {
						t.Errorf("the decision is %+v, want %s; %d requests in flight, want 0", got, c.want, b.InFlight())
					}
					return
				}
				second, ok := got.(Attempt)
				if !ok || second.Request.PartialOutput != c.result.Output || second.Deadline != first.Deadline {
					t.Fatalf("the decision is %+v, want an attempt with the same deadline and the output so far", got)
				}
				excluded := c.result.Outcome == modelclient.NotStarted
				if excluded && second.Request.Address == first.Request.Address {
					t.Errorf("both attempts use %s, which did not start the request", first.Request.Address)
				}
			})
		}
	}
}

// The output of a complete attempt is the caller's response, for routes of every kind.
func TestCompleteAttemptBecomesResponse(t *testing.T) {
	for _, kind := range []string{config.OneShot, config.Stream, config.Resumable} {
		b := newLiveHarness(t, kind)
		attempt := b.decision().(Attempt)
		b.Call(2, AttemptResult{RequestID: "o", Outcome: modelclient.Complete, Output: "y"}, b.now)
		want := Response{RequestID: "o", Status: responseStatusOK, Output: "y", Server: attempt.Request.Address[:2]}
		if got := b.decision(); got != want || b.InFlight() != 0 {
			t.Errorf("%s: the decision is %+v, want %+v; %d requests in flight, want 0", kind, got, want, b.InFlight())
		}
	}
}

// When the attempts are used up, the outcome is unknown if one of them may have run; otherwise the
// request is rejected.
func TestErrorAfterLastAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		first modelclient.Outcome
		want  errs.Kind
	}{
		"never started":              {modelclient.NotStarted, errs.Busy},
		"the first one may have run": {modelclient.Interrupted, errs.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			b := newLiveHarness(t, config.Stream)
			b.settings.MaxAttempts = 2
			b.decision()
			b.Call(2, AttemptResult{RequestID: "o", Outcome: c.first}, b.now)
			b.decision()
			b.Call(3, AttemptResult{RequestID: "o", Outcome: modelclient.NotStarted}, b.now)
			if got := b.decision(); got != c.want {
				t.Errorf("the decision is %+v, want %s", got, c.want)
			}
		})
	}
}

// A request whose caller disconnects while it is on a server continues until that attempt's result
// and is then rejected instead of retried.
func TestDisconnectedRequestIsNotRetried(t *testing.T) {
	b := newLiveHarness(t, config.OneShot)
	b.decision()
	b.Call(2, CallerDisconnected{RequestID: "o"}, b.now)
	if got := b.decision(); got != nil || b.InFlight() != 1 {
		t.Fatalf("disconnected while on a server: reply %+v, %d requests in flight, want 1", got, b.InFlight())
	}
	b.Call(3, AttemptResult{RequestID: "o", Outcome: modelclient.NotStarted}, b.now)
	if got := b.decision(); got != errs.Rejected {
		t.Fatalf("after the caller disconnected, the decision is %+v, want a rejection", got)
	}
}
