package gate

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

	"tuliprudder/path/upstream"
)

// moment is when a server fails, as seen from the request.
type moment string

const (
	beforeFirstByte moment = "before the first byte"
	partway         moment = "partway through the request"
	allSent         moment = "all sent"
	inHead          moment = "within the head"
	inBody          moment = "within the body"
	afterEnd        moment = "after the end"
)

// way is how a server fails.
type way string

const (
	reset          way = "reset"
	closed         way = "close"
	silence        way = "silence"
	surplusAnswer  way = "late or surplus answer"
	wrongID        way = "wrong request id"
	spoiltBytes    way = "spoilt bytes"
	idleForgotten  way = "idle connection forgotten"
	addressReused  way = "address reused"
	kindOnce           = "once"
	kindRepeatable     = "again"
	kindStream         = "flow"
	kindResumable      = "resume"
)

var kinds = []string{kindOnce, kindRepeatable, kindStream, kindResumable}

// outcome is what one request came to: how many times a server was sent it, how many
// servers worked on it, what its caller heard, and whether the connection that the
// fault was on carried the next request.
type outcome struct {
	sent, ran int
	heard     string
	reused    bool
}

// What a caller may hear.
const (
	whole   = "whole"   // the server's answer, to its last byte
	cutOff  = "cut"     // the beginning of the server's answer, visibly broken off
	refused = "refused" // the edge's own 503: it has not run and never will
	unknown = "unknown" // the edge's own 502, which promises nothing
)

func (o outcome) String() string { return fmt.Sprintf("%d/%d %s", o.sent, o.ran, o.heard) }

// cell is one moment and way of failure with the outcome for each kind of request,
// written by hand.
type cell struct {
	at                              moment
	how                             way
	once, repeatable, stream, resum string
	reused                          bool
}

func (c cell) want(kind string) string {
	return map[string]string{kindOnce: c.once, kindRepeatable: c.repeatable, kindStream: c.stream, kindResumable: c.resum}[kind]
}

// answerTable is the table of docs/ANSWERS.md. "2/1 whole" says: sent to a server
// twice, worked on once, and the caller got a whole answer.
var answerTable = []cell{
	{beforeFirstByte, reset, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{beforeFirstByte, closed, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	// No connection comes about: the one that is kept leads to where all is well.
	{beforeFirstByte, silence, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", true},
	{beforeFirstByte, surplusAnswer, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{beforeFirstByte, wrongID, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{beforeFirstByte, spoiltBytes, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{beforeFirstByte, idleForgotten, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{beforeFirstByte, addressReused, "2/1 whole", "2/1 whole", "2/1 whole", "2/1 whole", false},

	{partway, reset, "1/0 unknown", "2/1 whole", "1/0 unknown", "2/1 whole", false},
	{partway, closed, "1/0 unknown", "2/1 whole", "1/0 unknown", "2/1 whole", false},
	{partway, silence, "1/0 unknown", "1/0 unknown", "1/0 unknown", "1/0 unknown", false},
	{partway, surplusAnswer, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{partway, wrongID, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{partway, spoiltBytes, "1/0 unknown", "2/1 whole", "1/0 unknown", "2/1 whole", false},
	{partway, idleForgotten, "1/0 unknown", "2/1 whole", "1/0 unknown", "2/1 whole", false},
	{partway, addressReused, "1/0 unknown", "2/1 whole", "1/0 unknown", "2/1 whole", false},

	{allSent, reset, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{allSent, closed, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{allSent, silence, "1/1 unknown", "1/1 unknown", "1/1 unknown", "1/1 unknown", false},
	{allSent, surplusAnswer, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{allSent, wrongID, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{allSent, spoiltBytes, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{allSent, idleForgotten, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{allSent, addressReused, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},

	{inHead, reset, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{inHead, closed, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{inHead, silence, "1/1 unknown", "1/1 unknown", "1/1 unknown", "1/1 unknown", false},
	{inHead, surplusAnswer, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{inHead, wrongID, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{inHead, spoiltBytes, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{inHead, idleForgotten, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},
	{inHead, addressReused, "1/1 unknown", "2/2 whole", "1/1 unknown", "2/2 whole", false},

	{inBody, reset, "1/1 unknown", "2/2 whole", "1/1 cut", "2/2 whole", false},
	{inBody, closed, "1/1 unknown", "2/2 whole", "1/1 cut", "2/2 whole", false},
	{inBody, silence, "1/1 unknown", "1/1 unknown", "1/1 cut", "1/1 cut", false},
	{inBody, surplusAnswer, "1/1 unknown", "2/2 whole", "1/1 cut", "2/2 whole", false},
	{inBody, wrongID, "1/1 unknown", "2/2 whole", "1/1 cut", "2/2 whole", false},
	{inBody, spoiltBytes, "1/1 unknown", "2/2 whole", "1/1 cut", "2/2 whole", false},
	{inBody, idleForgotten, "1/1 unknown", "2/2 whole", "1/1 cut", "2/2 whole", false},
	{inBody, addressReused, "1/1 unknown", "2/2 whole", "1/1 cut", "2/2 whole", false},

	{afterEnd, reset, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{afterEnd, closed, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{afterEnd, silence, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", true},
	{afterEnd, surplusAnswer, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{afterEnd, wrongID, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{afterEnd, spoiltBytes, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{afterEnd, idleForgotten, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
	{afterEnd, addressReused, "1/1 whole", "1/1 whole", "1/1 whole", "1/1 whole", false},
}

// Each kind of request meets each way of failure at each moment, through the real
// front and client: how often it is sent, what its caller hears, and whether the
// connection lives.
func TestAnswersAtEachFailure(t *testing.T) {
	for name, difference := range playTable(t, answerTable, upstream.Faults{}) {
		t.Errorf("%s: %s", name, difference)
	}
}

// The table has each way at each moment, once.
func TestAnswerTableIsWhole(t *testing.T) {
	seen := map[string]int{}
	for _, c := range answerTable {
		seen[string(c.at)+string(c.how)]++
	}
	for _, at := range []moment{beforeFirstByte, partway, allSent, inHead, inBody, afterEnd} {
		for _, how := range []way{reset, closed, silence, surplusAnswer, wrongID, spoiltBytes, idleForgotten, addressReused} {
			if seen[string(at)+string(how)] != 1 {
				t.Errorf("%s, %s: %d times in the table", at, how, seen[string(at)+string(how)])
			}
		}
	}
}

// Faults planted in the client are found by the table, in cells that are about them.
func TestAnswerTableCatchesPlantedFaults(t *testing.T) {
	for name, planted := range map[string]struct {
		faults upstream.Faults
		found  []string
	}{
		"the id of an answer is not checked": {upstream.Faults{UncheckedID: true}, []string{
			"once, all sent, late or surplus answer", "flow, all sent, wrong request id", "resume, within the head, wrong request id"}},
		"a connection is kept after a silence": {upstream.Faults{KeptAfterSilence: true}, []string{
			"once, all sent, silence", "again, all sent, silence", "flow, within the head, silence"}},
		"a request is sent again after a reset": {upstream.Faults{ResentAfterLoss: true}, []string{
			"once, all sent, reset", "flow, within the head, reset", "once, all sent, close"}},
	} {
		t.Run(name, func(t *testing.T) {
			differences := playTable(t, answerTable, planted.faults)
			for _, one := range planted.found {
				if differences[one] == "" {
					t.Errorf("not found at %q", one)
				}
			}
			t.Logf("%s: found in %d of %d cells", name, len(differences), len(answerTable)*len(kinds))
		})
	}
}

// The page shows the table that is tested.
func TestAnswersPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/ANSWERS.md")
	if err != nil {
		t.Fatal(err)
	}
	if table := markdownTable(answerTable); !strings.Contains(string(page), table) {
		t.Errorf("docs/ANSWERS.md lacks this table:\n%s", table)
	}
}

func markdownTable(cells []cell) string {
	var out strings.Builder
	out.WriteString("| moment | way | once only | repeatable | stream | resumable | connection |\n|---|---|---|---|---|---|---|\n")
	for _, c := range cells {
		connection := "closed"
		if c.reused {
			connection = "used again"
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s | %s |\n", c.at, c.how, c.once, c.repeatable, c.stream, c.resum, connection)
	}
	return out.String()
}

// playTable plays each cell with each kind and gives the cells that differ.
func playTable(t *testing.T, cells []cell, faults upstream.Faults) map[string]string {
	var mu sync.Mutex
	differences := map[string]string{}
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells {
			for _, kind := range kinds {
				name := fmt.Sprintf("%s, %s, %s", kind, c.at, c.how)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					got, wrong := play(t, c, kind, faults)
					if got.String() != c.want(kind) {
						wrong = append(wrong, fmt.Sprintf("%s, not %s", got, c.want(kind)))
					}
					if got.reused != c.reused {
						wrong = append(wrong, fmt.Sprintf("connection used again: %v", got.reused))
					}
					if len(wrong) > 0 {
						mu.Lock()
						differences[name] = strings.Join(wrong, "; ")
						mu.Unlock()
					}
				})
			}
		}
	})
	return differences
}

// answersPlan has one route of each kind; servers are taken in the order of their
// names.
var answersPlan = strings.Replace(forwardPlan, `{"classes"`, `{"judges":{"fullness":0,"prefix":0,"speed":0,"spread":0,"turn":1},"classes"`, 1)

const (
	firstID, testedID, nextID, foreignID = "id-0", "id-1", "id-2", "id-9"

	// silentWait is the caller's time where a server stays silent.
	silentWait = "500"
	// busyPatience is how long a server may take to read on a busy machine: every cell
	// plays at once, and a pause in reading is no fault that the table means.
	busyPatience = 20 * time.Second
	// partwayBody is more than the sockets of both ends hold.
	partwayBody = 7 << 20
)

// play plays one cell with a request of one kind: a first request leaves a kept
// connection to the first server, the tested one meets the fault on it, and a next
// one shows whether that connection is still used. It gives the outcome, and what
// else was wrong.
func play(t *testing.T, c cell, kind string, faults upstream.Faults) (outcome, []string) {
	client := upstream.New(words, upstream.Settings{DialWait: 300 * time.Millisecond, UserTimeout: busyPatience})
	client.Faults = faults
	edge := newCrossing(t, answersPlan, client)
	script := newScript(t, c.at, c.how)
	first, second := script.listen("s0"), script.listen("s1")
	edge.list("s0", first)
	edge.list("s1", second)
	var wrong []string
	if heard := edge.hear(firstID, kindOnce, "y", ""); heard != whole {
		wrong = append(wrong, "the first request: "+heard)
	}
	body, wait := "y", ""
	switch {
	case c.at == beforeFirstByte && c.how == silence:
		edge.list("s0", blackHole(t))
	case c.at == beforeFirstByte:
		script.failIdle()
	case c.how == silence && c.at != afterEnd:
		wait = silentWait
	}
	if c.at == partway {
		body = strings.Repeat("0123456789abcdef", partwayBody/16)
	}
	got := outcome{heard: edge.hear(testedID, kind, body, wait)}
	if c.at == afterEnd && c.how != silence {
		script.noticed()
	}
	edge.list("s0", first)
	edge.wake()
	if heard := edge.hear(nextID, kindOnce, "y", ""); heard != whole {
		wrong = append(wrong, "the next request: "+heard)
	}
	var tampered bool
	got.sent, got.ran, got.reused, tampered = script.seen(len(body))
	if tampered {
		wrong = append(wrong, "a server got another body than was sent")
	}
	return got, wrong
}

// hear sends a request, waits until the edge is done with it, and sums up what its
// caller heard.
func (c *crossing) hear(id, kind, body, wait string) string {
	request := c.request(c.t.Context(), "POST", "/"+kind+"/x", body)
	request.Header.Set(words.RequestID, id)
	if wait != "" {
		request.Header.Set(words.Deadline, wait)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	c.idle()
	stamp := response.Header.Get("X-Stamp")
	ids := response.Header.Values(words.RequestID)
	if response.StatusCode != http.StatusOK {
		own := map[int]string{http.StatusServiceUnavailable: refused, http.StatusBadGateway: unknown}[response.StatusCode]
		if own == "" || stamp != "" || len(ids) > 0 || err != nil {
			return fmt.Sprintf("status %d, stamp %q, ids %q, %v", response.StatusCode, stamp, ids, err)
		}
		return own
	}
	complete := stamp + " ran " + id
	if kind == kindStream || kind == kindResumable {
		complete = run(1, lastEvent)
	}
	switch {
	case stamp == "" || !slices.Equal(ids, []string{id}):
		return fmt.Sprintf("stamp %q, ids %q, body %q", stamp, ids, data)
	case err != nil && strings.HasPrefix(complete, string(data)):
		return cutOff
	case err == nil && string(data) == complete:
		return whole
	}
	return fmt.Sprintf("body %q, %v", data, err)
}
