package admin

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/daemon/metrics"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/storage"
	"tuliprudder/test/goldenjson"
)

const (
	testDaemonID = "core-1"
	testPeer     = "127.0.0.1:0" // nobody's: the tests send nothing to other daemons
)

// fakePrimary is the machine of a primary core that answers every request with one
// response, and writes a record when it is notified of one.
type fakePrimary struct {
	response   any
	err        error
	known      chan string            // keys of updates that have arrived
	diskStates chan machine.DiskState // states of the disk that were reported
}

func newFakePrimary() *fakePrimary {
	return &fakePrimary{known: make(chan string, 64), diskStates: make(chan machine.DiskState, 64)}
}

func (p *fakePrimary) Call(number uint64, body any, _ clock.Micros) []machine.Effect {
	if record, ok := body.(machine.Record); ok {
		return []machine.Effect{machine.Persist{Token: 1, Records: []machine.Record{record}}}
	}
	return []machine.Effect{machine.Reply{Call: number, Body: p.response, Err: p.err}}
}

func (p *fakePrimary) UpdateReceived(update machine.Update, _ clock.Micros) []machine.Effect {
	p.known <- update.Key
	return nil
}

func (p *fakePrimary) DiskStateChanged(diskState machine.DiskState, _ clock.Micros) []machine.Effect {
	p.diskStates <- diskState
	return nil
}

func (p *fakePrimary) Message(string, any, clock.Micros) []machine.Effect              { return nil }
func (p *fakePrimary) Persisted(uint64, clock.Micros) []machine.Effect                 { return nil }
func (p *fakePrimary) ReplyReceived(uint64, any, error, clock.Micros) []machine.Effect { return nil }
func (p *fakePrimary) FreshnessAdvanced(clock.Micros, clock.Micros) []machine.Effect   { return nil }
func (p *fakePrimary) Tick(clock.Micros) []machine.Effect                              { return nil }
func (p *fakePrimary) CompactAgain(clock.Micros) []machine.Effect                      { return nil }

// publish publishes an update and waits until this daemon knows it.
func (p *fakePrimary) publish(t *testing.T, loop *eventloop.Loop, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	loop.Publish(machine.Update{Key: key, Epoch: 1, Seq: 1, Value: data})
	for got := range p.known {
		if got == key {
			return
		}
	}
}

// newAdmin is the administration API of a daemon that runs alone, with a folder on disk
// where one is given.
func newAdmin(t *testing.T, primary *fakePrimary, folder *storage.Folder) *Admin {
	t.Helper()
	self := eventloop.Identity{ID: testDaemonID, Incarnation: 3}
	member := membership.Member{ID: self.ID, Kind: membership.Core, Zone: "zone-a", Peer: testPeer, HTTP: "127.0.0.1:1", Incarnation: 3}
	loop := eventloop.New(member, nil, self, zerolog.Nop())
	loop.SetMachine(primary, folder)
	var cleanups cleanup.Stack
	t.Cleanup(cleanups.Run)
	if err := loop.Start(nil, &cleanups); err != nil {
		t.Fatal(err)
	}
	return &Admin{Loop: loop, Metrics: metrics.NewRegistry(), Ready: func() string { return "" }}
}

// routes are the API's handlers, by method and path.
type routes map[string]httpserver.Handler

func (r routes) Handle(method, path string, handle httpserver.Handler) { r[method+" "+path] = handle }

// call is one call of the API.
type call struct {
	route string // method and path as registered
	query string
	vars  map[string]string // the parts of the path that are named
	body  string
}

func (a *Admin) do(c call) (*httptest.ResponseRecorder, error) {
	registered := routes{}
	a.Routes(registered)
	method, path, _ := strings.Cut(c.route, " ")
	request := httptest.NewRequest(method, path+"?"+c.query, strings.NewReader(c.body))
	recorder := httptest.NewRecorder()
	return recorder, registered[c.route](recorder, pathvar.WithVars(request, c.vars))
}

// changing is what differs from run to run in the responses.
var changing = regexp.MustCompile(`("now_us"|"disk"):("[^"]*"|\d+)`)

func checkGolden(t *testing.T, name string, a *Admin, c call) {
	t.Helper()
	recorder, err := a.do(c)
	if err != nil {
		t.Fatalf("%s: %v %q", c.route, err, errs.Of(err).Faults)
	}
	got := changing.ReplaceAll(bytes.TrimSuffix(recorder.Body.Bytes(), []byte("\n")), []byte("$1:0"))
	if err := goldenjson.CheckBytes(filepath.Join("testdata", "golden", name+".json"), got); err != nil {
		t.Error(err)
	}
}

const testConfiguration = `{"classes":[{"name":"a","rank":1,"allowance":1,"labels":{"t":"a"}}],"pools":[{"name":"p","labels":{"u":"1"},"servers":{"s":"1"}}],
 "routes":[{"name":"r","kind":"repeatable","classes":{},"pools":{"u":"1"},"forward":{"host":"a.example","path_prefix":"/"}}]}`

var testVersion = state.Version{Number: 7, Base: 6, Body: json.RawMessage(`{"a":1}`), By: "someone", At: 5}

// The responses of every daemon keep their keys and forms.
func TestResponsesOfEveryDaemon(t *testing.T) {
	primary := newFakePrimary()
	a := newAdmin(t, primary, nil)
	primary.publish(t, a.Loop, state.CoreKey, state.CoreUpdate{Fleet: "f", Epoch: 1, Primary: testDaemonID, Peer: testPeer})
	primary.publish(t, a.Loop, state.MapKey, state.Map{Seq: 1})
	primary.publish(t, a.Loop, state.ConfigurationKey, testVersion)
	for name, c := range map[string]call{
		"health":        {route: "GET /soundness"},
		"ready":         {route: "GET /ready"},
		"members":       {route: "GET /v1/operator/daemons"},
		"map":           {route: "GET /v1/operator/map"},
		"core":          {route: "GET /v1/operator/core"},
		"configuration": {route: "GET /v1/operator/plan"},
	} {
		t.Run(name, func(t *testing.T) { checkGolden(t, name, a, c) })
	}
}

// The responses that the primary core gives keep their keys and forms.
func TestResponsesOfThePrimary(t *testing.T) {
	primary := newFakePrimary()
	a := newAdmin(t, primary, nil)
	primary.publish(t, a.Loop, state.CoreKey, state.CoreUpdate{Fleet: "f", Epoch: 1, Primary: testDaemonID, Peer: testPeer})
	for _, test := range []struct {
		name     string
		call     call
		response any
	}{
		{"put_configuration", call{route: "PUT /v1/operator/plan", query: "base=6", body: testConfiguration}, controlplane.PutConfigurationResponse{Version: 7}},
		{"configurations", call{route: "GET /v1/operator/plans"}, controlplane.ConfigurationsResponse{Versions: []state.Version{testVersion}, Requests: []state.AppliedRequest{{Number: 7, Base: 6}}}},
		{"configurations_none", call{route: "GET /v1/operator/plans"}, controlplane.ConfigurationsResponse{}},
		{"configuration_version", call{route: "GET /v1/operator/plans/:version", vars: map[string]string{"version": "7"}}, controlplane.ConfigurationsResponse{Versions: []state.Version{testVersion}}},
		{"store", call{route: "GET /v1/operator/stores/:id", vars: map[string]string{"id": testDaemonID}}, batchstore.StatusResponse{Store: "s", Shards: []batchstore.ShardStatus{{Shard: 1}}}},
		{"retire", call{route: "POST /v1/operator/stores/:id/retire", vars: map[string]string{"id": "s"}, body: `{"back":true}`}, controlplane.RetireResponse{ID: "s", Done: true, ShardsLeft: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			primary.response = test.response
			checkGolden(t, test.name, a, test.call)
		})
	}
}

// The responses of a daemon on the request path keep their keys and forms.
func TestResponsesOfTheRequestPath(t *testing.T) {
	primary := newFakePrimary()
	a := newAdmin(t, primary, nil)
	edge := machines.NewEdge(testDaemonID, machines.EdgeDefaults(), 1)
	a.Scheduling, a.Reader, a.Decisions = edge.Scheduling, edge.Reader, edge.Decisions
	server := endpoints.Server{Name: "server-1", Address: "127.0.0.1:9", Slots: 2}
	primary.publish(t, a.Loop, endpoints.ServerKey(server.Name), server)
	known, _ := a.Loop.Update(endpoints.ServerKey(server.Name))
	edge.UpdateReceived(known, 1)
	edge.Decisions.Begin(decisionlog.Entry{RequestID: "r", Tenant: "t", Route: "o", Priority: 1, ReceivedAt: 2})
	edge.Decisions.RecordAttempt("r", decisionlog.Attempt{Server: "server-1", StartedAt: 3, Duration: 4, Outcome: "complete"})
	edge.Decisions.RecordOutcome("r", "complete")
	for name, c := range map[string]call{
		"servers": {route: "GET /v1/operator/servers"},
		"quota":   {route: "GET /v1/operator/purse"},
		"request": {route: "GET /v1/operator/orders", query: "order=r"},
		"slowest": {route: "GET /v1/operator/orders", query: "slowest=5"},
	} {
		t.Run(name, func(t *testing.T) { checkGolden(t, name, a, c) })
	}
}

// A daemon whose disk fails writes says so, and why.
func TestHealthOfAFailingDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	folder, _, err := storage.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	primary := newFakePrimary()
	a := newAdmin(t, primary, folder)
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	a.Loop.Notify(machine.Record{Unit: "u", Kind: "k"})
	if diskState := <-primary.diskStates; diskState.Writable || diskState.Reason == "" {
		t.Fatalf("reported %+v", diskState)
	}
	checkGolden(t, "health_failing_disk", a, call{route: "GET /soundness"})
}

// A core of another release that answers with another type is an error, not a response.
func TestAnUnexpectedResponseIsAnError(t *testing.T) {
	primary := newFakePrimary()
	a := newAdmin(t, primary, nil)
	primary.publish(t, a.Loop, state.CoreKey, state.CoreUpdate{Fleet: "f", Epoch: 1, Primary: testDaemonID, Peer: testPeer})
	primary.response = "something else"
	for _, c := range []call{
		{route: "PUT /v1/operator/plan", body: testConfiguration},
		{route: "GET /v1/operator/plans"},
		{route: "POST /v1/operator/stores/:id/retire"},
	} {
		if recorder, err := a.do(c); !errs.Is(err, errs.ServerFault) {
			t.Errorf("%s: %v, wrote %q", c.route, err, recorder.Body)
		}
	}
}

// The response to a new endpoint list needs contact with other daemons; its form is checked
// by itself.
func TestResponseToANewEndpointList(t *testing.T) {
	data, err := json.Marshal(putEndpointsResponse{Servers: 2})
	if err != nil || string(data) != `{"servers":2}` {
		t.Errorf("%s %v", data, err)
	}
}

// Without contact with a majority of the voters a daemon changes no endpoints.
func TestEndpointsAreNotChangedWithoutContact(t *testing.T) {
	primary := newFakePrimary()
	a := newAdmin(t, primary, nil)
	server := endpoints.Server{Name: "server-1", Address: "127.0.0.1:9", Slots: 2}
	primary.publish(t, a.Loop, endpoints.ServerKey(server.Name), server)
	for _, c := range []call{
		{route: "PUT /v1/operator/servers", body: `{"servers":[]}`},
		{route: "POST /v1/operator/servers/:name/leaving", vars: map[string]string{"name": server.Name}},
	} {
		if _, err := a.do(c); !errs.Is(err, errs.NotReady) {
			t.Errorf("%s: %v", c.route, err)
		}
	}
}

// An endpoint list is rejected with all its faults at once.
func TestEveryFaultOfAnEndpointListIsNamed(t *testing.T) {
	_, err := validateServers([]endpoints.Server{
		{Name: "a", Address: "127.0.0.1:9", Slots: 1},
		{Name: "a", Address: "somewhere", Slots: maxSlots + 1},
		{Name: "b c", Address: "127.0.0.1:9", Removed: true},
	})
	want := []string{
		"servers[1].name: is there twice; give each server its own",
		"servers[1].address: not an IP number with a port",
		"servers[1].slots: must be from 1 to 100000",
		"servers[2].name: must be a text without spaces and slashes",
		"servers[2].slots: must be from 1 to 100000",
		"servers[2].gone: leave the server out of the list instead",
	}
	if got := errs.Of(err).Faults; !errs.Is(err, errs.BadInput) || !slices.Equal(got, want) {
		t.Errorf("%v: %q", err, got)
	}
}
