package proxy

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// recordExecutionStarts returns the list to which each execution start is appended, as tenant@second.
func (b *testBench) recordExecutionStarts() *[]string {
	var list []string
	b.OnExecutionStarted = func(tenant string, now clock.Micros) { list = append(list, fmt.Sprint(tenant, "@", now/clock.Second)) }
	return &list
}

// The start of a request's execution is reported once, when the first server starts it, however many attempts
// follow.
func TestExecutionStartIsReportedOnce(t *testing.T) {
	begun := AttemptResult{RequestID: "o", Outcome: Complete, ExecutionStarted: true}
	interrupted := AttemptResult{RequestID: "o", Outcome: Interrupted, ResponseStarted: true}
	started := AttemptStarted{RequestID: "o"}
	for name, c := range map[string]struct {
		steps []any
		want  []string
	}{
		"event stream":                     {[]any{started, AttemptResult{RequestID: "o", Outcome: Complete}}, []string{"a@10"}},
		"response in one piece":            {[]any{begun}, []string{"a@10"}},
		"resumed stream":                   {[]any{started, interrupted, started, AttemptResult{RequestID: "o", Outcome: Complete}}, []string{"a@10"}},
		"stream without an event":          {[]any{AttemptResult{RequestID: "o", Outcome: Complete}}, nil},
		"rejection, then another server":   {[]any{AttemptResult{RequestID: "o", Outcome: NotRun}, started, AttemptResult{RequestID: "o", Outcome: Complete}}, []string{"a@11"}},
		"two failures":                     {[]any{AttemptResult{RequestID: "o", Outcome: Failed}, AttemptResult{RequestID: "o", Outcome: Failed}}, nil},
		"truncated response, then a retry": {[]any{AttemptResult{RequestID: "o", Outcome: Interrupted, ExecutionStarted: true}, begun}, []string{"a@10"}},
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
			t.Errorf("%s: reported %q, want %q", name, *list, c.want)
		}
		b.checkIdle(name)
	}
}

// The execution start of a request without an API key is reported with an empty tenant.
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
		t.Errorf("reported %q", *list)
	}
}
