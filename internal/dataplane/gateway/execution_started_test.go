package gateway

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// Execution counts as started at the first event of a stream, or at a success response that is not a
// stream. It is reported once for each request, however many servers resume its stream.
func TestWhichResponsesReportExecutionStarted(t *testing.T) {
	text := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			setResponseHead(w, r, "stamp", "text/plain")
			w.WriteHeader(status)
			io.WriteString(w, "body")
		}
	}
	events := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			setResponseHead(w, r, "stamp", eventStream)
			writeAndFlush(w, body)
		}
	}
	rejected := func(w http.ResponseWriter, r *http.Request) {
		setResponseHead(w, r, "", "text/plain")
		w.Header().Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	var mu sync.Mutex
	var requestsSeen []string
	resumed := twoEventsPerAttempt(&mu, &requestsSeen, "a")
	for name, c := range map[string]struct {
		path     string
		handlers []http.HandlerFunc
		want     []string
	}{
		"a response":               {"/once/x", []http.HandlerFunc{text(200)}, []string{"t"}},
		"a client error":           {"/once/x", []http.HandlerFunc{text(404)}, nil},
		"a server error":           {"/once/x", []http.HandlerFunc{text(500)}, nil},
		"a rejection":              {"/once/x", []http.HandlerFunc{rejected}, nil},
		"a stream":                 {"/flow/x", []http.HandlerFunc{events(eventTexts(1, 3))}, []string{"t"}},
		"a stream without events":  {"/flow/x", []http.HandlerFunc{events("")}, nil},
		"a stream resumed twice":   {"/resume/x", []http.HandlerFunc{resumed, resumed, resumed}, []string{"t"}},
		"a request without tenant": {"/brief/x", []http.HandlerFunc{text(200)}, []string{""}},
	} {
		cluster := newConfiguredCluster(t, authenticatedConfiguration, c.handlers...)
		var startedTenants []string
		cluster.loop.apply(func(clock.Micros) []machine.Effect {
			cluster.loop.edge.Proxy.OnExecutionStarted = func(tenant string, _ clock.Micros) { startedTenants = append(startedTenants, tenant) }
			return nil
		})
		header := []string{headerNames.Authorization, "Token k1"}
		if c.path == "/brief/x" {
			header = nil
		}
		cluster.do("POST", c.path, "y", header...)
		cluster.waitIdle()
		if !slices.Equal(startedTenants, c.want) {
			t.Errorf("%s: execution started for the tenants %q, want %q", name, startedTenants, c.want)
		}
	}
}
