package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tuliprudder/internal/dataplane/upstream"
)

// A server's error response is forwarded if no other attempt may follow. An idempotent request is
// attempted again instead.
func TestServerErrorIsForwardedWhenNoAttemptFollows(t *testing.T) {
	var mu sync.Mutex
	runs := 0
	c := newClusterWithServers(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs++
		mu.Unlock()
		setResponseHead(w, r, "stamp", "text/plain")
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, "it failed")
	}, func(w http.ResponseWriter, r *http.Request) {
		setResponseHead(w, r, "stamp", "text/plain")
		w.WriteHeader(http.StatusNotFound)
		io.WriteString(w, "no such thing")
	})
	for _, kind := range []string{"once", "flow"} {
		if response := c.do("POST", "/"+kind+"/x", "y"); !(response.status == 500 && response.body == "it failed" || response.status == 404 && response.body == "no such thing") {
			t.Errorf("%s: unexpected response %+v", kind, response)
		}
	}
	// An idempotent request is attempted on the other server, whose 404 is forwarded.
	for _, kind := range []string{"again", "resume"} {
		if response := c.do("POST", "/"+kind+"/x", "y"); response.status != 404 || response.body != "no such thing" {
			t.Errorf("%s: unexpected response %+v", kind, response)
		}
	}
	c.waitIdle()
}

// A response with a server's X-Stamp header has that server's status and body. The edge's own error
// responses carry no headers of a server, however the servers responded before.
func TestOnlyServerResponsesCarryServerHeaders(t *testing.T) {
	rejects := func(w http.ResponseWriter, r *http.Request) {
		setResponseHead(w, r, "rejects", "text/plain")
		w.Header().Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "full")
	}
	fails := func(w http.ResponseWriter, r *http.Request) {
		setResponseHead(w, r, "fails", "text/plain")
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, "it failed")
	}
	interruptsErrorResponse := func(w http.ResponseWriter, r *http.Request) {
		setResponseHead(w, r, "interrupts a failure", "text/plain")
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(http.StatusInternalServerError)
		writeAndFlush(w, "it fai")
		abortConnection()
	}
	for name, handlers := range map[string][]http.HandlerFunc{
		"all reject":                   {rejects, rejects, rejects},
		"all fail":                     {fails, fails, fails},
		"all interrupt their failures": {interruptsErrorResponse, interruptsErrorResponse, interruptsErrorResponse},
		"rejected, then failed":        {rejects, fails},
		"failed, then rejected":        {fails, rejects, rejects},
		"each differently":             {interruptsErrorResponse, rejects, fails},
	} {
		c := newClusterWithServers(t, handlers...)
		for _, kind := range []string{"once", "again", "flow", "resume"} {
			c.clearRejections()
			response := c.do("POST", "/"+kind+"/x", "y")
			stamp := response.header.Get("X-Stamp")
			switch {
			case response.err != nil:
				t.Errorf("%s, %s: %v", name, kind, response.err)
			case stamp == "fails" && response.status == 500 && response.body == "it failed":
			case stamp == "" && response.status >= 502 && response.header.Get(headerNames.RequestID) == "":
			default:
				t.Errorf("%s, %s: status %d, stamp %q, body %q", name, kind, response.status, stamp, response.body)
			}
		}
		c.waitIdle()
	}
}

// No request runs on more servers than its route allows attempts, however the servers fail. This holds
// for idempotent requests and resumed streams too.
func TestExecutionsNeverExceedTheRoutesAttempts(t *testing.T) {
	var runs atomic.Int64
	abortsAtOnce := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		abortConnection()
	}
	abortsAfterAnEvent := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		from, _ := strconv.Atoi(r.Header.Get(headerNames.LastEventID))
		setResponseHead(w, r, "stamp", eventStream)
		writeAndFlush(w, eventText(from+1))
		abortConnection()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	for attempts := int64(1); attempts <= 3; attempts++ {
		configuration := strings.ReplaceAll(forwardConfiguration, `"tries":3`, fmt.Sprintf(`"tries":%d`, attempts))
		c := newTestCluster(t, configuration, upstream.New(headerNames, upstream.Settings{}))
		c.setServer("dead", listener.Addr().String())
		for i := range 5 {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/resume/") {
					abortsAfterAnEvent(w, r)
				}
				abortsAtOnce(w, r)
			}))
			t.Cleanup(server.Close)
			c.setServer(fmt.Sprint("s", i), strings.TrimPrefix(server.URL, "http://"))
		}
		for kind, want := range map[string]int64{"once": 1, "flow": 1, "again": attempts, "resume": attempts} {
			c.clearRejections()
			runs.Store(0)
			c.do("POST", "/"+kind+"/x", "y")
			if got := runs.Load(); got != want {
				t.Errorf("%s with at most %d attempts ran on %d servers", kind, attempts, got)
			}
		}
		c.waitIdle()
	}
}

// Callers take 408, 429 and 503 as a guarantee that the request did not run. Without the server's
// statement that it did not run the request, the caller of a request that may run only once gets a
// 502, and no other attempt follows. For an idempotent request, the server's response is forwarded as
// it is, except a 5xx: it is attempted until no server is left, and the edge responds itself.
func TestRejectionStatusWithoutNotRunHeader(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		var runs atomic.Int64
		handler := func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			setResponseHead(w, r, "stamp", "text/plain")
			w.WriteHeader(status)
			io.WriteString(w, "not now")
		}
		c := newClusterWithServers(t, handler, handler)
		for _, kind := range []string{"once", "flow"} {
			runs.Store(0)
			if response := c.do("POST", "/"+kind+"/x", "y"); response.status != http.StatusBadGateway || response.header.Get("X-Stamp") != "" || runs.Load() != 1 {
				t.Errorf("%s: a %d without the NotRun header was forwarded as %d with the stamp %q after %d runs", kind, status, response.status, response.header.Get("X-Stamp"), runs.Load())
			}
		}
		for _, kind := range []string{"again", "resume"} {
			runs.Store(0)
			response := c.do("POST", "/"+kind+"/x", "y")
			if status >= 500 {
				if response.status != http.StatusBadGateway || response.header.Get("X-Stamp") != "" || runs.Load() != 2 {
					t.Errorf("%s: a %d without the NotRun header from both servers was forwarded as %+v after %d runs", kind, status, response, runs.Load())
				}
				continue
			}
			if response.status != status || response.body != "not now" || response.header.Get("X-Stamp") != "stamp" {
				t.Errorf("%s: a %d without the NotRun header was forwarded as %+v", kind, status, response)
			}
		}
		c.waitIdle()
	}
}

// A request of any kind that a server states it did not run is attempted on another server. If no
// server is left, the request is rejected.
func TestRequestNotRunIsRetriedOnAnotherServer(t *testing.T) {
	var mu sync.Mutex
	rejections, full := 0, true
	reject := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		rejections++
		setResponseHead(w, r, "", "text/plain")
		w.Header().Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	c := newClusterWithServers(t, reject, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		isFull := full
		mu.Unlock()
		if isFull {
			reject(w, r)
			return
		}
		setResponseHead(w, r, "stamp-1", "text/plain")
		io.WriteString(w, "done")
	})
	for _, kind := range []string{"once", "again", "flow", "resume"} {
		if response := c.do("POST", "/"+kind+"/x", "y"); response.status != http.StatusServiceUnavailable {
			t.Errorf("%s: every server rejected the request, but the response is %+v", kind, response)
		}
		c.clearRejections()
	}
	mu.Lock()
	if rejections != 8 {
		t.Errorf("four requests were rejected %d times by two servers, want 8", rejections)
	}
	full = false
	mu.Unlock()
	for _, kind := range []string{"once", "again", "flow", "resume"} {
		if response := c.do("POST", "/"+kind+"/x", "y"); response.status != 200 || response.body != "done" || response.header.Get("X-Stamp") != "stamp-1" {
			t.Errorf("%s: unexpected response %+v", kind, response)
		}
	}
	c.waitIdle()
}

// A caller's headers reach each server that a request is sent to byte for byte, including those that
// describe the prompt and are parsed by the platform, even if malformed.
func TestHeadersAreForwardedUnchangedOnEachAttempt(t *testing.T) {
	sent := []string{
		"X-Model", "m, M;q=\"1\"",
		"X-Sizes", "1460, 80 ,\t0012",
		"X-Shared-Parts", "5C1e07a2:800,,91bd3f06:410 ; " + strings.Repeat("a:1,", 900),
	}
	var mu sync.Mutex
	attempts := 0
	serve := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		attempts++
		for i := 0; i < len(sent); i += 2 {
			if got := r.Header.Values(sent[i]); len(got) != 1 || got[0] != sent[i+1] {
				t.Errorf("attempt %d: the server got the header %s as %q", attempts, sent[i], got)
			}
		}
		setResponseHead(w, r, "", "text/plain")
		if attempts%2 == 1 {
			w.Header().Set(headerNames.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "done")
	}
	c := newClusterWithServers(t, serve, serve)
	for _, kind := range []string{"once", "again", "flow", "resume"} {
		if response := c.do("POST", "/"+kind+"/x", "y", sent...); response.body != "done" {
			t.Errorf("%s: unexpected response %+v", kind, response)
		}
		c.clearRejections()
	}
	if attempts != 8 {
		t.Errorf("there were %d attempts, want 8", attempts)
	}
	c.waitIdle()
}

// A server that refuses the connection has not run the request, so another server is tried.
func TestRequestIsRetriedWhenAServerRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	c := newClusterWithServers(t, func(w http.ResponseWriter, r *http.Request) {
		setResponseHead(w, r, "stamp", "text/plain")
		io.WriteString(w, "done")
	})
	c.setServer("dead", listener.Addr().String())
	for i := range 8 {
		if response := c.do("POST", "/once/x", "y"); response.status != 200 || response.body != "done" {
			t.Errorf("request %d: unexpected response %+v", i, response)
		}
	}
	c.waitIdle()
}

// If an attempt is interrupted before anything of its response was forwarded, nothing of it reaches the
// caller, not even the head.
func TestNothingOfAnInterruptedAttemptIsForwarded(t *testing.T) {
	var mu sync.Mutex
	attempts := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		attempts++
		first := attempts == 1
		mu.Unlock()
		kind := "text/plain"
		if strings.HasPrefix(r.URL.Path, "/resume/") {
			kind = eventStream
		}
		setResponseHead(w, r, "stamp-2", kind)
		if first {
			w.Header().Set("X-First", "yes")
			w.Header().Set("X-Stamp", "stamp-1")
			w.Header().Set("Content-Length", "1000")
			writeAndFlush(w, "id: 1\n")
			abortConnection()
		}
		writeAndFlush(w, eventTexts(1, 3))
	}
	for _, kind := range []string{"again", "resume", "once"} {
		attempts = 0
		c := newClusterWithServers(t, handler, handler)
		response := c.do("POST", "/"+kind+"/x", "y")
		want, stamp := callerResponse{status: 200, body: eventTexts(1, 3)}, "stamp-2"
		if kind == "once" {
			want.status, want.body, stamp = http.StatusBadGateway, response.body, ""
		}
		if response.err != nil || response.status != want.status || response.body != want.body || response.header.Get("X-First") != "" || response.header.Get("X-Stamp") != stamp {
			t.Errorf("%s: unexpected response %+v", kind, response)
		}
		c.waitIdle()
	}
}

// The deadline header tells the server the remaining time of the caller's time-out or the route's,
// whichever is shorter.
func TestDeadlineHeaderIsTheRemainingTime(t *testing.T) {
	reached := make(chan string, 1)
	c := newClusterWithServers(t, func(w http.ResponseWriter, r *http.Request) {
		reached <- r.Header.Get(headerNames.Deadline)
		setResponseHead(w, r, "stamp", "text/plain")
	})
	for _, testCase := range []struct {
		path, timeoutHeader string
		maxMS               int
	}{{"/once/x", "5000", 5000}, {"/once/x", "60000", 20000}, {"/once/x", "", 20000}, {"/brief/x", "5000", 300}} {
		headers := []string{headerNames.Deadline, testCase.timeoutHeader}
		if testCase.timeoutHeader == "" {
			headers = nil
		}
		response := c.do("POST", testCase.path, "y", headers...)
		if response.status == http.StatusServiceUnavailable && testCase.maxMS == 300 {
			continue // on a slow machine the deadline can pass before the request is sent
		}
		remainingMS, err := strconv.Atoi(<-reached)
		if err != nil || remainingMS > testCase.maxMS || remainingMS < 1 || testCase.maxMS > 1000 && remainingMS < testCase.maxMS-4000 {
			t.Errorf("%s with the time-out %q: the server got %d ms as the remaining time (error %v)", testCase.path, testCase.timeoutHeader, remainingMS, err)
		}
	}
	c.waitIdle()
}

// A request ends when its deadline passes, and its connection to the server is closed. A request that
// may have run is not reported as rejected.
func TestRequestEndsAtItsDeadline(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	c := newClusterWithServers(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	if response := c.do("POST", "/once/x", "y", headerNames.Deadline, "200"); response.status != http.StatusBadGateway {
		t.Errorf("%+v", response)
	}
	<-cancelled
	c.waitIdle()
}

// When the caller disconnects, before the response or in the middle of it, the connection to the server
// is closed and no other attempt follows.
func TestCallerDisconnectCancelsTheRequest(t *testing.T) {
	// A server may continue to work on the request for at most half a second after the disconnect.
	const maxWorkAfterDisconnect = 500 * time.Millisecond
	for _, kind := range []string{"once", "again", "flow", "resume"} {
		for _, started := range []bool{false, true} {
			reached, cancelled := make(chan struct{}, 4), make(chan struct{}, 4)
			handler := func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if started {
					setResponseHead(w, r, "stamp", eventStream)
					writeAndFlush(w, eventText(1))
				}
				reached <- struct{}{}
				<-r.Context().Done()
				cancelled <- struct{}{}
			}
			c := newClusterWithServers(t, handler, handler)
			ctx, disconnect := context.WithCancel(t.Context())
			callerDone := make(chan struct{})
			go func() {
				defer close(callerDone)
				response, err := http.DefaultTransport.RoundTrip(c.newRequest(ctx, "POST", "/"+kind+"/x", "y"))
				if err == nil {
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}()
			<-reached
			disconnectedAt := time.Now()
			disconnect()
			<-cancelled
			if span := time.Since(disconnectedAt); span > maxWorkAfterDisconnect {
				t.Errorf("%s, response started %v: the server continued to work for %v", kind, started, span)
			}
			<-callerDone
			c.waitIdle()
			if len(reached) > 0 {
				t.Errorf("%s, response started %v: another attempt followed", kind, started)
			}
		}
	}
}

// A request in the queue is removed when the edge detects that its caller has disconnected: it is not
// sent to a server that becomes free afterwards.
func TestCallerDisconnectRemovesAQueuedRequest(t *testing.T) {
	for _, kind := range []string{"once", "again", "flow", "resume"} {
		reached, release := make(chan string, 4), make(chan struct{})
		c := newClusterWithServers(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			reached <- string(body)
			<-release
			setResponseHead(w, r, "stamp", "text/plain")
			io.WriteString(w, "done")
		})
		c.setSlots(1)
		served := make(chan callerResponse, 1)
		go func() { served <- c.do("POST", "/"+kind+"/x", "runs") }()
		<-reached
		ctx, disconnect := context.WithCancel(t.Context())
		callerError := make(chan error, 1)
		go func() {
			_, err := http.DefaultTransport.RoundTrip(c.newRequest(ctx, "POST", "/"+kind+"/x", "waits"))
			callerError <- err
		}()
		waitFor(t, "the request to be queued", func() bool { return c.queueLength() == 1 })
		disconnect()
		if err := <-callerError; err == nil {
			t.Fatalf("%s: the queued request got a response", kind)
		}
		<-c.callerDisconnects // the edge may take up to half a second to detect the disconnect
		close(release)
		if response := <-served; response.status != http.StatusOK {
			t.Errorf("%s: unexpected response %+v", kind, response)
		}
		c.waitIdle()
		if len(reached) > 0 {
			t.Errorf("%s: a server got the request %q after its caller had disconnected", kind, <-reached)
		}
	}
}
