package gateway

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprudder/internal/dataplane/upstream"
)

// failurePoint is the point in a request's life at which a server fails.
type failurePoint string

const (
	beforeFirstByte failurePoint = "before the first byte"
	midRequest      failurePoint = "partway through the request"
	requestSent     failurePoint = "request sent"
	inResponseHead  failurePoint = "within the head"
	inResponseBody  failurePoint = "within the body"
	afterResponse   failurePoint = "after the end"
)

// failureMode is how a server fails.
type failureMode string

const (
	connectionReset       failureMode = "reset"
	connectionClosed      failureMode = "close"
	noResponse            failureMode = "no response"
	surplusResponse       failureMode = "late or surplus response"
	wrongID               failureMode = "wrong request id"
	corruptBytes          failureMode = "corrupt bytes"
	idleConnectionDropped failureMode = "idle connection dropped"
	addressReused         failureMode = "address reused"
	kindOnce                          = "once"
	kindIdempotent                    = "again"
	kindStream                        = "flow"
	kindResumable                     = "resume"
)

var kinds = []string{kindOnce, kindIdempotent, kindStream, kindResumable}

// caseOutcome is the outcome of one request: how many times it was sent to a server, how many servers
// executed it, what its caller got, and whether the connection with the fault was reused for the next
// request.
type caseOutcome struct {
	attempts, executions int
	callerSaw            string
	reused               bool
}

// What a caller may get. The strings appear in the table of docs/ANSWERS.md.
const (
	completeResponse  = "complete"    // a server's response, to its last byte
	truncatedResponse = "interrupted" // the beginning of a server's response, visibly truncated
	rejected          = "rejected"    // the edge's own 503: the request has not run and never will
	unknownOutcome    = "unknown"     // the edge's own 502, which guarantees nothing
)

func (c caseOutcome) String() string {
	return fmt.Sprintf("%d/%d %s", c.attempts, c.executions, c.callerSaw)
}

// failureCase is one point and mode of failure with the expected outcome for each kind of request. The
// expectations are written by hand, not generated.
type failureCase struct {
	at                                  failurePoint
	mode                                failureMode
	once, idempotent, stream, resumable string
	reused                              bool
}

func (c failureCase) want(kind string) string {
	return map[string]string{kindOnce: c.once, kindIdempotent: c.idempotent, kindStream: c.stream, kindResumable: c.resumable}[kind]
}

// responseTable is the table of docs/ANSWERS.md. "2/1 complete" means: sent to a server twice,
// executed once, and the caller got a complete response.
var responseTable = []failureCase{
	{beforeFirstByte, connectionReset, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{beforeFirstByte, connectionClosed, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	// The fault is that no connection can be established; the idle one, to the working server, is kept.
	{beforeFirstByte, noResponse, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", true},
	{beforeFirstByte, surplusResponse, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{beforeFirstByte, wrongID, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{beforeFirstByte, corruptBytes, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{beforeFirstByte, idleConnectionDropped, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{beforeFirstByte, addressReused, "2/1 complete", "2/1 complete", "2/1 complete", "2/1 complete", false},

	{midRequest, connectionReset, "1/0 unknown", "2/1 complete", "1/0 unknown", "2/1 complete", false},
	{midRequest, connectionClosed, "1/0 unknown", "2/1 complete", "1/0 unknown", "2/1 complete", false},
	{midRequest, noResponse, "1/0 unknown", "1/0 unknown", "1/0 unknown", "1/0 unknown", false},
	{midRequest, surplusResponse, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{midRequest, wrongID, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{midRequest, corruptBytes, "1/0 unknown", "2/1 complete", "1/0 unknown", "2/1 complete", false},
	{midRequest, idleConnectionDropped, "1/0 unknown", "2/1 complete", "1/0 unknown", "2/1 complete", false},
	{midRequest, addressReused, "1/0 unknown", "2/1 complete", "1/0 unknown", "2/1 complete", false},

	{requestSent, connectionReset, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{requestSent, connectionClosed, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{requestSent, noResponse, "1/1 unknown", "1/1 unknown", "1/1 unknown", "1/1 unknown", false},
	{requestSent, surplusResponse, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{requestSent, wrongID, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{requestSent, corruptBytes, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{requestSent, idleConnectionDropped, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{requestSent, addressReused, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},

	{inResponseHead, connectionReset, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{inResponseHead, connectionClosed, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{inResponseHead, noResponse, "1/1 unknown", "1/1 unknown", "1/1 unknown", "1/1 unknown", false},
	{inResponseHead, surplusResponse, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{inResponseHead, wrongID, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{inResponseHead, corruptBytes, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{inResponseHead, idleConnectionDropped, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},
	{inResponseHead, addressReused, "1/1 unknown", "2/2 complete", "1/1 unknown", "2/2 complete", false},

	{inResponseBody, connectionReset, "1/1 unknown", "2/2 complete", "1/1 interrupted", "2/2 complete", false},
	{inResponseBody, connectionClosed, "1/1 unknown", "2/2 complete", "1/1 interrupted", "2/2 complete", false},
	{inResponseBody, noResponse, "1/1 unknown", "1/1 unknown", "1/1 interrupted", "1/1 interrupted", false},
	{inResponseBody, surplusResponse, "1/1 unknown", "2/2 complete", "1/1 interrupted", "2/2 complete", false},
	{inResponseBody, wrongID, "1/1 unknown", "2/2 complete", "1/1 interrupted", "2/2 complete", false},
	{inResponseBody, corruptBytes, "1/1 unknown", "2/2 complete", "1/1 interrupted", "2/2 complete", false},
	{inResponseBody, idleConnectionDropped, "1/1 unknown", "2/2 complete", "1/1 interrupted", "2/2 complete", false},
	{inResponseBody, addressReused, "1/1 unknown", "2/2 complete", "1/1 interrupted", "2/2 complete", false},

	{afterResponse, connectionReset, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{afterResponse, connectionClosed, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{afterResponse, noResponse, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", true},
	{afterResponse, surplusResponse, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{afterResponse, wrongID, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{afterResponse, corruptBytes, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{afterResponse, idleConnectionDropped, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
	{afterResponse, addressReused, "1/1 complete", "1/1 complete", "1/1 complete", "1/1 complete", false},
}

// For each kind of request, mode of failure and point of failure, the number of attempts and executions,
// the caller's response and the reuse of the connection are as in responseTable. The requests go
// through the real HTTP server and client of the edge.
func TestResponsesAtEachFailure(t *testing.T) {
	for name, difference := range runTable(t, responseTable, upstream.InjectedFaults{}) {
		t.Errorf("%s: %s", name, difference)
	}
}

// The table has each combination of a point and a mode exactly once.
func TestResponseTableIsComplete(t *testing.T) {
	seen := map[string]int{}
	for _, c := range responseTable {
		seen[string(c.at)+string(c.mode)]++
	}
	for _, at := range []failurePoint{beforeFirstByte, midRequest, requestSent, inResponseHead, inResponseBody, afterResponse} {
		for _, mode := range []failureMode{connectionReset, connectionClosed, noResponse, surplusResponse, wrongID, corruptBytes, idleConnectionDropped, addressReused} {
			if seen[string(at)+string(mode)] != 1 {
				t.Errorf("%s, %s: %d times in the table, want once", at, mode, seen[string(at)+string(mode)])
			}
		}
	}
}

// Running the table detects faults that are injected into the client, in the cells that cover them.
func TestResponseTableCatchesInjectedFaults(t *testing.T) {
	for name, injected := range map[string]struct {
		faults upstream.InjectedFaults
		found  []string
	}{
		"the ID of a response is not checked": {upstream.InjectedFaults{SkipIDCheck: true}, []string{
			"once, request sent, late or surplus response", "flow, request sent, wrong request id", "resume, within the head, wrong request id"}},
		"a connection is kept after a time-out": {upstream.InjectedFaults{KeepAfterTimeout: true}, []string{
			"once, request sent, no response", "again, request sent, no response", "flow, within the head, no response"}},
		"a request is sent again after a loss": {upstream.InjectedFaults{ResendAfterLoss: true}, []string{
			"once, request sent, reset", "flow, within the head, reset", "once, request sent, close"}},
	} {
		t.Run(name, func(t *testing.T) {
			differences := runTable(t, responseTable, injected.faults)
			for _, cell := range injected.found {
				if differences[cell] == "" {
					t.Errorf("the injected fault was not detected in the cell %q", cell)
				}
			}
			t.Logf("%s: detected in %d of %d cells", name, len(differences), len(responseTable)*len(kinds))
		})
	}
}

// docs/ANSWERS.md shows the table that is tested.
func TestAnswersPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/ANSWERS.md")
	if err != nil {
		t.Fatal(err)
	}
	if table := markdownTable(responseTable); !strings.Contains(string(page), table) {
		t.Errorf("docs/ANSWERS.md lacks this table:\n%s", table)
	}
}

func markdownTable(cells []failureCase) string {
	var out strings.Builder
	out.WriteString("| point | mode | once only | idempotent | stream | resumable | connection |\n|---|---|---|---|---|---|---|\n")
	for _, c := range cells {
		connection := "closed"
		if c.reused {
			connection = "reused"
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s | %s |\n", c.at, c.mode, c.once, c.idempotent, c.stream, c.resumable, connection)
	}
	return out.String()
}

// runTable runs each case of the table with each kind of request and returns the differences from the
// table, by the name of the cell.
func runTable(t *testing.T, cells []failureCase, faults upstream.InjectedFaults) map[string]string {
	var mu sync.Mutex
	differences := map[string]string{}
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells {
			for _, kind := range kinds {
				name := fmt.Sprintf("%s, %s, %s", kind, c.at, c.mode)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					got, problems := runCase(t, c, kind, faults)
					if got.String() != c.want(kind) {
						problems = append(problems, fmt.Sprintf("got %s, want %s", got, c.want(kind)))
					}
					if got.reused != c.reused {
						problems = append(problems, fmt.Sprintf("connection reused: %v", got.reused))
					}
					if len(problems) > 0 {
						mu.Lock()
						differences[name] = strings.Join(problems, "; ")
						mu.Unlock()
					}
				})
			}
		}
	})
	return differences
}

// responseTableConfiguration has one route of each kind, and servers are chosen in the order of their
// names.
var responseTableConfiguration = strings.Replace(forwardConfiguration, `{"classes"`, `{"judges":{"fullness":0,"prefix":0,"speed":0,"spread":0,"turn":1},"classes"`, 1)

const (
	firstID, testedID, nextID, foreignID = "id-0", "id-1", "id-2", "id-9"

	// noResponseTimeoutMS is the caller's time-out in cases in which a server does not respond.
	noResponseTimeoutMS = "500"
	// slowReadTimeout is how long a server may take to read a request. It is long because all cells run
	// in parallel: on a busy machine a server may be slow to read, which is not one of the tested faults.
	slowReadTimeout = 20 * time.Second
	// largeBodyBytes is more than the socket buffers of both ends hold.
	largeBodyBytes = 7 << 20
)

// runCase runs one case of the table with a request of one kind. A first request leaves an idle
// connection to the first server, the tested request meets the fault on it, and a next request shows
// whether that connection is still used. It returns the outcome and any other problems.
func runCase(t *testing.T, c failureCase, kind string, faults upstream.InjectedFaults) (caseOutcome, []string) {
	client := upstream.New(headerNames, upstream.Settings{DialTimeout: 300 * time.Millisecond, TCPUserTimeout: slowReadTimeout})
	client.InjectedFaults = faults
	edge := newTestCluster(t, responseTableConfiguration, client)
	servers := newScriptedServers(t, c.at, c.mode)
	first, second := servers.listen("s0"), servers.listen("s1")
	edge.setServer("s0", first)
	edge.setServer("s1", second)
	var problems []string
	if result := edge.send(firstID, kindOnce, "y", ""); result != completeResponse {
		problems = append(problems, "the first request got "+result)
	}
	body, timeoutMS := "y", ""
	switch {
	case c.at == beforeFirstByte && c.mode == noResponse:
		edge.setServer("s0", blackHole(t))
	case c.at == beforeFirstByte:
		servers.failIdleConnection()
	case c.mode == noResponse && c.at != afterResponse:
		timeoutMS = noResponseTimeoutMS
	}
	if c.at == midRequest {
		body = strings.Repeat("0123456789abcdef", largeBodyBytes/16)
	}
	got := caseOutcome{callerSaw: edge.send(testedID, kind, body, timeoutMS)}
	if c.at == afterResponse && c.mode != noResponse {
		servers.waitFaultDetected()
	}
	edge.setServer("s0", first)
	edge.clearRejections()
	if result := edge.send(nextID, kindOnce, "y", ""); result != completeResponse {
		problems = append(problems, "the next request got "+result)
	}
	var bodyAltered bool
	got.attempts, got.executions, got.reused, bodyAltered = servers.tally(len(body))
	if bodyAltered {
		problems = append(problems, "a server executed a body that differs from the one that was sent")
	}
	return got, problems
}

// send sends a request, waits until the edge has finished it, and classifies what its caller got.
func (c *testCluster) send(id, kind, body, timeoutMS string) string {
	request := c.newRequest(c.t.Context(), "POST", "/"+kind+"/x", body)
	request.Header.Set(headerNames.RequestID, id)
	if timeoutMS != "" {
		request.Header.Set(headerNames.Deadline, timeoutMS)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return "no response: " + err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	c.waitIdle()
	stamp := response.Header.Get("X-Stamp")
	ids := response.Header.Values(headerNames.RequestID)
	if response.StatusCode != http.StatusOK {
		ownResponse := map[int]string{http.StatusServiceUnavailable: rejected, http.StatusBadGateway: unknownOutcome}[response.StatusCode]
		if ownResponse == "" || stamp != "" || len(ids) > 0 || err != nil {
			return fmt.Sprintf("status %d, stamp %q, ids %q, %v", response.StatusCode, stamp, ids, err)
		}
		return ownResponse
	}
	complete := stamp + " ran " + id
	if kind == kindStream || kind == kindResumable {
		complete = eventTexts(1, lastEventID)
	}
	switch {
	case stamp == "" || !slices.Equal(ids, []string{id}):
		return fmt.Sprintf("stamp %q, ids %q, body %q", stamp, ids, data)
	case err != nil && strings.HasPrefix(complete, string(data)):
		return truncatedResponse
	case err == nil && string(data) == complete:
		return completeResponse
	}
	return fmt.Sprintf("body %q, %v", data, err)
}
