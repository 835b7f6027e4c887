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

// liveHarness is a Machine with two servers and a live request, past its admission.
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

// decision is the reply to the current call: an Attempt, a Response, or the kind of an error.
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
		b.t.Fatalf("%d replies, not one: %+v", len(replies), replies)
	}
	if err := replies[0].Err; err != nil {
		return errs.Of(err).Kind
	}
	return replies[0].Body
}

// What follows an attempt depends on the kind of the route, on the outcome, and on whether output
// has reached the caller. The table is written by hand, not computed by the rules it checks.
func TestRetryDecisionByOutcomeAndRouteKind(t *testing.T) {
	const (
		oneShot, stream, resumable = config.OneShot, config.Stream, config.Resumable
		retried                    = errs.Kind("") // another attempt, at the other server
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
					t.Fatal("the request is not attempted")
				}
				result := c.result
				result.RequestID = "o"
				b.Call(2, result, b.now)
				got := b.decision()
				if c.want != retried {
					if got != c.want || b.InFlight() != 0 {
						t.Errorf("%+v follows, not %s; %d in flight", got, c.want, b.InFlight())
					}
					return
				}
				second, ok := got.(Attempt)
				if !ok || second.Request.PartialOutput != c.result.Output || second.Deadline != first.Deadline {
					t.Fatalf("%+v follows", got)
				}
				excluded := c.result.Outcome == modelclient.NotStarted
				if excluded && second.Request.Address == first.Request.Address {
					t.Errorf("both attempts are on %s", first.Request.Address)
				}
			})
		}
	}
}

// A complete output is the caller's response, whatever the kind of the route.
func TestCompleteAttemptBecomesResponse(t *testing.T) {
	for _, kind := range []string{config.OneShot, config.Stream, config.Resumable} {
		b := newLiveHarness(t, kind)
		attempt := b.decision().(Attempt)
		b.Call(2, AttemptResult{RequestID: "o", Outcome: modelclient.Complete, Output: "y"}, b.now)
		want := Response{RequestID: "o", Status: responseStatusOK, Output: "y", Server: attempt.Request.Address[:2]}
		if got := b.decision(); got != want || b.InFlight() != 0 {
			t.Errorf("%s: %+v, not %+v; %d in flight", kind, got, want, b.InFlight())
		}
	}
}

// Once an attempt may have run, running out of attempts leaves the outcome unknown; before, the
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
				t.Errorf("%+v, not %s", got, c.want)
			}
		})
	}
}

// A queued request whose caller disconnects is rejected; one on a server goes on until its
// result.
func TestDisconnectedRequestIsNotRetried(t *testing.T) {
	b := newLiveHarness(t, config.OneShot)
	b.decision()
	b.Call(2, CallerDisconnected{RequestID: "o"}, b.now)
	if got := b.decision(); got != nil || b.InFlight() != 1 {
		t.Fatalf("on a server: %+v, %d in flight", got, b.InFlight())
	}
	b.Call(3, AttemptResult{RequestID: "o", Outcome: modelclient.NotStarted}, b.now)
	if got := b.decision(); got != errs.Rejected {
		t.Fatalf("an attempt after the caller disconnected: %+v", got)
	}
}
