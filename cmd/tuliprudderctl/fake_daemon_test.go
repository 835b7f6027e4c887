package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
)

// addressPlaceholder replaces the fake daemon's address in recordings and responses.
const addressPlaceholder = "ADDRESS"

// receivedCall is an HTTP call received by the fake daemon.
type receivedCall struct {
	Method   string `json:"method"`
	Path     string `json:"path"`
	Body     string `json:"body,omitempty"`
	Operator string `json:"operator"`
}

// cannedResponse is a predefined response of the fake daemon.
type cannedResponse struct {
	status int
	body   string
}

// fakeDaemon answers administration calls with canned responses and records the calls. If a call
// has several responses they are returned in order, and the last one repeats.
type fakeDaemon struct {
	address   string
	calls     []receivedCall
	responses map[string][]cannedResponse
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	f := &fakeDaemon{responses: cannedResponses(t)}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

// ServeHTTP records the call and sends its canned response.
func (f *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.calls = append(f.calls, receivedCall{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Operator: r.Header.Get("X-Operator")})
	call := r.Method + " " + r.URL.RequestURI()
	queue := f.responses[call]
	if len(queue) == 0 {
		http.Error(w, "no canned response to "+call, http.StatusTeapot)
		return
	}
	if len(queue) > 1 {
		f.responses[call] = queue[1:]
	}
	w.WriteHeader(queue[0].status)
	fmt.Fprint(w, strings.ReplaceAll(queue[0].body, addressPlaceholder, f.address))
}

// readTestFile returns the contents of a file and fails the test if it can't be read.
func readTestFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func ok(body string) []cannedResponse {
	return []cannedResponse{{http.StatusOK, body}}
}

func rejected(status int, kind, message string) []cannedResponse {
	return []cannedResponse{{status, fmt.Sprintf(`{"error":{"kind":%q,"message":%q,"remedy":"do as the test says"}}`, kind, message)}}
}

// cannedResponses returns a small cluster's responses to all calls that the tests make.
func cannedResponses(t *testing.T) map[string][]cannedResponse {
	t.Helper()
	configuration := readTestFile(t, "../../deploy/ghent.plan.json")
	version := func(number int) string {
		return fmt.Sprintf(`{"version":%d,"plan":%s,"by":"anna","at_us":%d}`, number, configuration, 1000*number)
	}
	edited, err := json.Marshal(map[string]any{"version": 8, "plan": map[string]any{"classes": []any{map[string]any{"name": "live", "rank": 3}}}, "by": "ben", "at_us": 8000})
	if err != nil {
		t.Fatal(err)
	}
	return map[string][]cannedResponse{
		"GET /v1/operator/daemons": ok(daemonsResponse),
		"GET /v1/operator/servers": ok(serversResponse),
		"PUT /v1/operator/servers": ok(`{"servers":1}`),
		"GET /v1/operator/map":     ok(mapResponse),
		"GET /v1/operator/core":    ok(`{"primary":"core-1","term":4}`),
		"GET /counters":            ok(`{"shards_short_of_copies":2,"news_age_us":5000000,"disk_condition":1,"reads":70}`),
		"GET /v1/operator/acts": ok(`{"subjects":[{"subject":"scale/big/a","holder":"core-a-1","fence":7,"last_result":"done","open":[]},
			{"subject":"usage","holder":"core-b-2","fence":12,"last_result":"no_answer","open":[{"number":41,"age_us":2500000,"pending":true},{"number":42,"age_us":700,"pending":false}]}]}`),
		"GET /v1/operator/purse":                       ok(`{"shares":{"live":0.5}}`),
		"GET /v1/operator/orders?slowest=20":           ok(`{"orders":[{"order":"o-1","took_us":900}]}`),
		"GET /v1/operator/orders?order=b-1%2F7":        ok(`{"order":"b-1/7","server":"gpu-1"}`),
		"GET /v1/operator/orders?order=lost":           rejected(http.StatusNotFound, "not_found", "no such order"),
		"GET /v1/operator/bundles/b-1":                 ok(`{"bundle":"b-1","items":[{"index":0,"server":"gpu-2"}]}`),
		"GET /v1/operator/stores/aa11":                 ok(`{"id":"aa11","rows":12}`),
		"GET /v1/operator/plan":                        ok(version(7)),
		"GET /v1/operator/plans/7":                     ok(version(7)),
		"GET /v1/operator/plans/8":                     ok(string(edited)),
		"GET /v1/operator/plans/99":                    rejected(http.StatusNotFound, "not_found", "version 99 is not kept"),
		"GET /v1/operator/plans":                       ok(`{"plans":[` + version(7) + `,` + version(8) + `]}`),
		"PUT /v1/operator/plan":                        ok(`{"version":9}`),
		"PUT /v1/operator/plan?base=7":                 ok(`{"version":8}`),
		"PATCH /v1/operator/plan?base=7":               ok(`{"version":8}`),
		"PUT /v1/operator/plan?base=6":                 rejected(http.StatusConflict, "stale_base", "version 7 is in force"),
		"POST /v1/operator/servers/gpu-1/leaving":      ok(`{}`),
		"POST /v1/operator/servers/gpu%2F9/leaving":    rejected(http.StatusNotFound, "not_found", "no such server"),
		"POST /v1/operator/stores/aa11/retire":         {{200, `{"retired":false,"slots_left":2}`}, {200, `{"retired":false,"slots_left":2}`}, {200, `{"retired":true,"slots_left":0}`}},
		"POST /v1/operator/stores/bb22/retire":         rejected(http.StatusConflict, "turned_away", "the rest would be in one zone"),
		"GET /v1/operator/stores/cc33":                 {{http.StatusBadGateway, "not JSON"}},
		"GET /v1/operator/stores/dd44":                 {{http.StatusOK, "not JSON"}},
		"GET /v1/operator/bundles/..%2Fplans%3Fx=1%23": ok(`{"bundle":"escaped"}`),
	}
}

const daemonsResponse = `{"daemons":[
 {"id":"core-1","kind":"cairn","zone":"a","http":"ADDRESS","standing":"sound"},
 {"id":"store-1","kind":"refuge","zone":"b","http":"ADDRESS","standing":"sound","draining":true},
 {"id":"edge-1","kind":"trailhead","zone":"a","http":"ADDRESS","standing":"sound"},
 {"id":"edge-2","kind":"trailhead","zone":"c","http":"10.0.0.9:1","standing":"dead"}]}`

const serversResponse = `{"servers":[
 {"name":"gpu-1","address":"10.0.0.1:80","labels":{"zone":"a","service":"chat"},"slots":8,"own":2,"latency_us":1500,"load":{"running":3,"waiting":1,"sound":true,"by":"edge-1"}},
 {"name":"gpu-2","address":"10.0.0.2:80","slots":4,"load":{"sound":false}},
 {"name":"gpu-3","address":"10.0.0.3:80","slots":4,"leaving":true,"load":{"sound":true}},
 {"name":"gpu-4","address":"10.0.0.4:80","slots":4,"leaving":true,"gone":true,"load":{}}]}`

const mapResponse = `{"fleet":"f-1","seq":3,"stores":{
 "bb22":{"id":"bb22","writer":2,"zone":"b","peer":"10.0.0.6:7","retiring":true},
 "aa11":{"id":"aa11","writer":1,"zone":"a","peer":"10.0.0.5:7"},
 "cc33":{"id":"cc33","writer":3,"zone":"c","peer":"10.0.0.7:7","retiring":true,"retired":true}},
 "slots":[{"epoch":5,"owner":{"id":"aa11"},"replicas":[{"id":"bb22"},{"id":"cc33"}],"complete":true},
  {"epoch":6,"owner":{"id":"bb22"},"replicas":[{"id":"aa11"}]}]}`
