package proxy

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// recordExecutionStarts has the bench list the requests that began, by tenant and time.
func (b *testBench) recordExecutionStarts() *[]string {
	var list []string
	b.OnExecutionStarted = func(tenant string, now clock.Micros) { list = append(list, fmt.Sprint(tenant, "@", now/clock.Second)) }
	return &list
}

// A request counts once, when the first server begins it, however many attempts it takes.
func TestExecutionStartIsReportedOnce(t *testing.T) {
	begun := AttemptResult{RequestID: "o", Outcome: Complete, ExecutionStarted: true}
	interrupted := AttemptResult{RequestID: "o", Outcome: Interrupted, ResponseStarted: true}
	started := AttemptStarted{RequestID: "o"}
	for name, c := range map[string]struct {
		steps []any
		want  []string
	}{
		"a stream":                            {[]any{started, AttemptResult{RequestID: "o", Outcome: Complete}}, []string{"a@10"}},
		"a response at once":                  {[]any{begun}, []string{"a@10"}},
		"a stream that is resumed":            {[]any{started, interrupted, started, AttemptResult{RequestID: "o", Outcome: Complete}}, []string{"a@10"}},
		"a stream of which no event came":     {[]any{AttemptResult{RequestID: "o", Outcome: Complete}}, nil},
		"a rejection, and another server":     {[]any{AttemptResult{RequestID: "o", Outcome: NotRun}, started, AttemptResult{RequestID: "o", Outcome: Complete}}, []string{"a@11"}},
		"a failure":                           {[]any{AttemptResult{RequestID: "o", Outcome: Failed}, AttemptResult{RequestID: "o", Outcome: Failed}}, nil},
		"a response that is cut, and another": {[]any{AttemptResult{RequestID: "o", Outcome: Interrupted, ExecutionStarted: true}, begun}, []string{"a@10"}},
	} {
		b := newTestBench(t, []string{"a", "a"})
		b.applyTenantConfiguration(1, config.AuthenticationRequired, newRoute(config.Resumable, 2))
		list := b.recordExecutionStarts()
		b.submitWithKey("o", config.Resumable, "a1")
		for _, step := range c.steps {
			b.send(step)
			if _, isResult := step.(AttemptResult); isResult {
				b.now += clock.Second
			}
		}
		if !slices.Equal(*list, c.want) {
			t.Errorf("%s: counted %q, not %q", name, *list, c.want)
		}
		b.checkIdle(name)
	}
}

// Nothing of a request without a key is known of its tenant.
func TestExecutionStartWithoutTenant(t *testing.T) {
	b := newTestBench(t, []string{"a"})
	b.applyTenantConfiguration(1, config.AuthenticationOptional, newRoute(config.Stream, 1))
	list := b.recordExecutionStarts()
	for requestID, key := range map[string]string{"o": "", "p": "b1"} {
		b.submitWithKey(requestID, config.Stream, key)
		b.send(AttemptStarted{RequestID: requestID})
	}
	slices.Sort(*list)
	if !slices.Equal(*list, []string{"@10", "b@10"}) {
		t.Errorf("counted %q", *list)
	}
}
