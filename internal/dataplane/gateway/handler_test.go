package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

const testConfiguration = `{"classes":[{"name":"gold","rank":10,"allowance":5,"labels":{"t":"gold"}}],
 "customers":[{"name":"c","key":"key-c","class":"gold"}],
 "pools":[{"name":"p","labels":{"u":"all"},"servers":{"fleet":"main"}}],
 "routes":[
  {"name":"once","kind":"one-shot","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","max_tokens":8,"expiry_us":400000},
  {"name":"flow","kind":"stream","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","expiry_us":400000},
  {"name":"many","kind":"bundle","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","most_items":3}]}`

// newTestHandler returns a handler whose only server responds with f (nil: no server) and whose store
// responds with callStore.
func newTestHandler(t *testing.T, f http.HandlerFunc, callStore storeStub) (*Handler, *stubLoop) {
	t.Helper()
	settings := machines.EdgeDefaults()
	settings.Scheduler.MaxStaleness = 600 * clock.Second
	settings.Requests.IdleTimeout = 200 * clock.Millisecond
	shardMap, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Shards: make([]replication.Assignment, 1)})
	announcement, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "store", PersistedUpTo: 9, Shards: []token.OwnedShard{{Shard: 0, Epoch: 1}}})
	s := newStubLoop(t, settings, testConfiguration, callStore,
		machine.Update{Key: state.MapKey, Seq: 1, Value: shardMap},
		machine.Update{Key: token.Key(1), Epoch: 1, Seq: 1, Value: announcement})
	if f != nil {
		server := httptest.NewServer(f)
		t.Cleanup(server.Close)
		s.apply(func(clock.Micros) []machine.Effect {
			s.edge.Scheduler.SetServer(endpoints.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4, Labels: map[string]string{"fleet": "main"}})
			return nil
		})
	}
	return &Handler{Settings: Defaults(), CallMachine: s.callMachine, Notify: s.notify, Now: s.now}, s
}

func submitHandler(h *Handler, _ *stubLoop) httpserver.Handler { return h.SubmitRequest }

func serve(handle httpserver.Handler, method, target, key, idempotencyKey, body string, vars map[string]string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	recorder := httptest.NewRecorder()
	request.Body = http.MaxBytesReader(recorder, request.Body, 2000)
	if err := handle(recorder, pathvar.WithVars(request, vars)); err != nil {
		httpserver.WriteError(recorder, err)
	}
	return recorder
}

func errorKind(t *testing.T, r *httptest.ResponseRecorder) errs.Kind {
	t.Helper()
	var body struct {
		Error errs.Error `json:"error"`
	}
	if err := json.Unmarshal(r.Body.Bytes(), &body); err != nil || body.Error.Remedy == "" {
		t.Fatalf("the response is not a typed error with a remedy: %d %s", r.Code, r.Body)
	}
	return body.Error.Kind
}

// Each kind of bad input gets its typed error and reaches neither a server nor a store.
func TestBadInputReachesNoServerOrStore(t *testing.T) {
	var executions atomic.Int64
	h, _ := newTestHandler(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) }, func(any) (any, error) {
		executions.Add(1)
		return nil, nil
	})
	route := func(name string) map[string]string { return map[string]string{"route": name} }
	item := `{"id":"%d","input":"x"}`
	fourItems := []string{}
	for i := 0; i < 4; i++ {
		fourItems = append(fourItems, fmt.Sprintf(item, i))
	}
	for name, c := range map[string]struct {
		got  *httptest.ResponseRecorder
		want errs.Kind
	}{
		"no key":                {serve(h.SubmitRequest, "POST", "/", "", "", `{"input":"x"}`, route("once")), errs.Unauthorised},
		"unknown customer":      {serve(h.SubmitRequest, "POST", "/", "nobody", "", `{"input":"x"}`, route("once")), errs.Unauthorised},
		"unknown route":         {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, route("nowhere")), errs.UnknownRoute},
		"malformed":             {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":`, route("once")), errs.BadInput},
		"unknown field":         {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x","colour":1}`, route("once")), errs.BadInput},
		"two values":            {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}{}`, route("once")), errs.BadInput},
		"empty input":           {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":""}`, route("once")), errs.BadInput},
		"oversize":              {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"`+strings.Repeat("x", 3000)+`"}`, route("once")), errs.TooLarge},
		"too many tokens":       {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x","max_tokens":9}`, route("once")), errs.BadInput},
		"expired":               {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x","expiry_us":-1}`, route("once")), errs.DeadlineExceeded},
		"key on a stream":       {serve(h.SubmitRequest, "POST", "/", "key-c", "k", `{"input":"x"}`, route("flow")), errs.BadInput},
		"live on a batch route": {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, route("many")), errs.BadInput},
		"batch on a live route": {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[]}`, route("once")), errs.BadInput},
		"empty batch":           {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[]}`, route("many")), errs.BadInput},
		"oversize batch":        {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[`+strings.Join(fourItems, ",")+`]}`, route("many")), errs.TooLarge},
		"one bad item":          {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[{"id":"a","input":"x"},{"id":"b","input":""}]}`, route("many")), errs.BadInput},
		"duplicate item ID":     {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[{"id":"a","input":"x"},{"id":"a","input":"y"}]}`, route("many")), errs.BadInput},
		"bad token":             {serve(h.BatchResults, "GET", "/?after=AAAA", "key-c", "", "", map[string]string{"bundle": "b"}), errs.BadToken},
		"bad limit":             {serve(h.BatchResults, "GET", "/?limit=x", "key-c", "", "", map[string]string{"bundle": "b"}), errs.BadInput},
		"bad parameter":         {serve(h.Feed, "GET", "/?since=1", "key-c", "", "", nil), errs.BadInput},
	} {
		if got := errorKind(t, c.got); got != c.want {
			t.Errorf("%s: got the error %s, want %s (%s)", name, got, c.want, c.got.Body)
		}
	}
	if executions.Load() != 0 {
		t.Fatalf("bad input reached a server or a store %d times", executions.Load())
	}
}
