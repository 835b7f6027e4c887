package admin

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
	"tuliprudder/test/goldenjson"
)

// volatileFields matches the fields of the responses that differ from run to run.
var volatileFields = regexp.MustCompile(`("now_us"|"disk"):("[^"]*"|\d+)`)

func checkGolden(t *testing.T, name string, a *Admin, c call) {
	t.Helper()
	recorder, err := a.do(c)
	if err != nil {
		t.Fatalf("%s: %v %q", c.route, err, errs.Of(err).Faults)
	}
	got := volatileFields.ReplaceAll(bytes.TrimSuffix(recorder.Body.Bytes(), []byte("\n")), []byte("$1:0"))
	if err := goldenjson.CheckBytes(filepath.Join("testdata", "golden", name+".json"), got); err != nil {
		t.Error(err)
	}
}

const testConfiguration = `{"classes":[{"name":"a","rank":1,"allowance":1,"labels":{"t":"a"}}],"pools":[{"name":"p","labels":{"u":"1"},"servers":{"s":"1"}}],
 "routes":[{"name":"r","kind":"repeatable","classes":{},"pools":{"u":"1"},"forward":{"host":"a.example","path_prefix":"/"}}]}`

var testVersion = state.Version{Number: 7, Base: 6, Body: json.RawMessage(`{"a":1}`), By: "someone", At: 5}

// The JSON of the responses that every daemon gives must not change.
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

// The JSON of the responses that the primary core gives must not change.
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
		{"acts", call{route: "GET /v1/operator/acts"}, controlplane.ActsResponse{Subjects: []exclusive.SubjectStatus{
			{Subject: "windows", Holder: "machine-1", Fence: 2, LastNumber: 3, LastResult: "done", Failures: 1, Open: []exclusive.ActStatus{{Number: 3, AgeUS: 4, IsPending: true}}},
			{Subject: "target", Holder: "machine-2", Fence: 5, LastNumber: 6},
		}}},
		{"acts_none", call{route: "GET /v1/operator/acts"}, controlplane.ActsResponse{}},
		{"retire", call{route: "POST /v1/operator/stores/:id/retire", vars: map[string]string{"id": "s"}, body: `{"back":true}`}, controlplane.RetireResponse{ID: "s", Done: true, ShardsLeft: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			primary.response = test.response
			checkGolden(t, test.name, a, test.call)
		})
	}
}

// The JSON of the responses of a daemon on the request path must not change.
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

// A daemon whose disk fails to write reports that, and the reason.
func TestHealthReportsFailingDisk(t *testing.T) {
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
		t.Fatalf("reported disk state %+v; want one that is not writable, with a reason", diskState)
	}
	checkGolden(t, "health_failing_disk", a, call{route: "GET /soundness"})
}

// A response of an unexpected type, which a core of another release may send, leads to an error.
func TestUnexpectedResponseTypeIsAnError(t *testing.T) {
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
