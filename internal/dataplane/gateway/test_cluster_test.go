package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/dataplane/upstream"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

const forwardConfiguration = `{"classes":[{"name":"c","rank":5,"allowance":1}],"pools":[{"name":"p","labels":{"u":"all"},"servers":{"fleet":"main"}}],
 "routes":[
  {"name":"once","kind":"one-shot","classes":{},"pools":{"u":"all"},"expiry_us":20000000,"forward":{"host":"h.example","path_prefix":"/once/","tries":3}},
  {"name":"again","kind":"repeatable","classes":{},"pools":{"u":"all"},"expiry_us":20000000,"forward":{"host":"h.example","path_prefix":"/again/","tries":3}},
  {"name":"flow","kind":"stream","classes":{},"pools":{"u":"all"},"expiry_us":20000000,"forward":{"host":"h.example","path_prefix":"/flow/","tries":3}},
  {"name":"resume","kind":"resumable","classes":{},"pools":{"u":"all"},"expiry_us":20000000,"forward":{"host":"h.example","path_prefix":"/resume/","tries":3}},
  {"name":"brief","kind":"repeatable","classes":{},"pools":{"u":"all"},"expiry_us":300000,"forward":{"host":"h.example","path_prefix":"/brief/","tries":3}},
  {"name":"many","kind":"bundle","classes":{},"pools":{"u":"all"},"forward":{"host":"h.example","path_prefix":"/many/"}}]}`

var headerNames = upstream.HeaderNames{RequestID: "X-Request-Id", Instance: "X-Instance", NotRun: "X-Unrun", LastEventID: "Last-Event-ID", Deadline: "X-Time-Left-Ms", WantedWeights: "X-Wanted-Weights", WeightVersion: "X-Weights",
	Authorization: "Authorization", Tenant: "X-Tenant"}

// testCluster is an edge that forwards requests to test servers.
type testCluster struct {
	t         *testing.T
	loop      *stubLoop
	front     *httptest.Server
	forwarder *Forwarder
	// callerDisconnects receives a value for each caller that the edge has detected to disconnect before
	// its response.
	callerDisconnects chan struct{}
}

// newClusterWithServers returns an edge with forwardConfiguration and one server for each handler, named
// s0, s1, ...
func newClusterWithServers(t *testing.T, handlers ...http.HandlerFunc) *testCluster {
	t.Helper()
	return newConfiguredCluster(t, forwardConfiguration, handlers...)
}

// newConfiguredCluster is newClusterWithServers with another configuration.
func newConfiguredCluster(t *testing.T, configurationText string, handlers ...http.HandlerFunc) *testCluster {
	t.Helper()
	c := newTestCluster(t, configurationText, upstream.New(headerNames, upstream.Settings{}))
	for i, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		c.setServer(fmt.Sprint("s", i), strings.TrimPrefix(server.URL, "http://"))
	}
	return c
}

// newTestCluster returns an edge with a configuration and a client, without servers.
func newTestCluster(t *testing.T, configurationText string, client *upstream.Client) *testCluster {
	t.Helper()
	settings := machines.EdgeDefaults()
	settings.Scheduler.MaxStaleness = scheduler.UnlimitedStaleness
	settings.PollInterval = 0
	s := newStubLoop(t, settings, configurationText, nil)
	c := &testCluster{t: t, loop: s, callerDisconnects: make(chan struct{}, 16)}
	c.forwarder = &Forwarder{
		CallMachine: s.callMachine,
		Notify:      s.notify,
		Client:      client,
		HeaderNames: headerNames,
		Now:         s.now,
		WriteError:  func(w http.ResponseWriter, err error) { http.Error(w, err.Error(), errs.Of(err).Status()) },
		SubmitBatch: func(w http.ResponseWriter, _ *http.Request, body []byte, submission proxy.BatchSubmission) {
			fmt.Fprintf(w, "batch %s %s", submission.Route.Name, body)
		},
	}
	c.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 8<<20)
		if err != nil {
			t.Error(err)
		}
		timeoutMS, _ := strconv.ParseInt(r.Header.Get(headerNames.Deadline), 10, 64)
		stop := context.AfterFunc(r.Context(), func() {
			select {
			case c.callerDisconnects <- struct{}{}:
			default:
			}
		})
		defer stop()
		wantedWeights, _ := strconv.ParseInt(r.Header.Get(headerNames.WantedWeights), 10, 64)
		key := strings.TrimPrefix(r.Header.Get(headerNames.Authorization), "Token ")
		c.forwarder.Forward(w, r, proxy.Request{Host: r.Host, Path: r.URL.EscapedPath(), APIKey: key, CallerTimeout: timeoutMS * clock.Millisecond, WantedWeights: wantedWeights}, body)
	}))
	t.Cleanup(c.front.Close)
	return c
}

func (c *testCluster) setServer(name, address string) {
	c.loop.apply(func(_ clock.Micros) []machine.Effect {
		c.loop.edge.Scheduler.SetServer(endpoints.Server{Name: name, Address: address, Slots: 64, Labels: map[string]string{"fleet": "main"}})
		return nil
	})
}

// setSlots sets how many requests each server may run at a time.
func (c *testCluster) setSlots(slots int) {
	c.loop.apply(func(_ clock.Micros) []machine.Effect {
		for _, server := range c.loop.edge.Scheduler.Servers() {
			server.Slots = slots
			c.loop.edge.Scheduler.SetServer(server)
		}
		return nil
	})
}

// queueLength returns the number of requests that wait for a server.
func (c *testCluster) queueLength() int {
	c.loop.mu.Lock()
	defer c.loop.mu.Unlock()
	return c.loop.edge.Scheduler.QueueLength()
}

// clearRejections makes the scheduler forget the servers' recent rejections, by changing each server's
// address and restoring it.
func (c *testCluster) clearRejections() {
	for _, server := range c.loop.edge.Scheduler.Servers() {
		address := server.Address
		c.setServer(server.Name, "127.0.0.1:1")
		c.setServer(server.Name, address)
	}
}

// waitIdle waits until no request is in flight and no server is assigned.
func (c *testCluster) waitIdle() {
	c.t.Helper()
	waitFor(c.t, "the edge to be idle", func() bool {
		c.loop.mu.Lock()
		defer c.loop.mu.Unlock()
		views, _ := c.loop.edge.Scheduler.Snapshot()
		assigned := 0
		for _, view := range views {
			assigned += view.OwnRequests
		}
		return c.forwarder.InFlight() == 0 && c.loop.edge.Proxy.InFlight() == 0 && assigned == 0
	})
}

// waitFor polls until a condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for ", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *testCluster) newRequest(ctx context.Context, method, target, body string, headers ...string) *http.Request {
	c.t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, c.front.URL+target, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(headerNames.RequestID, "id-1")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	return request
}

// callerResponse is a response as the caller received it. err is the error of the request or of reading
// the body.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (c *testCluster) do(method, target, body string, headers ...string) callerResponse {
	c.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(c.newRequest(c.t.Context(), method, target, body, headers...))
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(data), err}
}

// doRaw sends text on a new connection and returns everything received until the connection is closed.
func (c *testCluster) doRaw(text string) string {
	c.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.front.URL, "http://"))
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(conn, text)
	data, err := io.ReadAll(conn)
	if errors.Is(err, context.DeadlineExceeded) {
		c.t.Fatalf("the connection is still open after %q", data)
	}
	return string(data)
}

// setResponseHead sets the headers of a test server's response. The X-Stamp header identifies the server
// that responded; the edge's own responses lack it.
func setResponseHead(w http.ResponseWriter, r *http.Request, stamp, kind string) {
	w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
	w.Header().Set("X-Stamp", stamp)
	w.Header().Set("Content-Type", kind)
}

const eventStream = "text/event-stream"

// writeAndFlush writes text and flushes it to the client.
func writeAndFlush(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	http.NewResponseController(w).Flush()
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func eventTexts(from, to int) (out string) {
	for id := from; id <= to; id++ {
		out += eventText(id)
	}
	return out
}

// abortConnection aborts a test server's response and closes its connection.
func abortConnection() { panic(http.ErrAbortHandler) }
