package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/replication"
)

func TestMain(m *testing.M) {
	modelclient.ConfigureDefaultClient()
	logx.Disable()
	os.Exit(m.Run())
}

const testConfiguration = `{"classes":[{"name":"gold","rank":10,"allowance":5,"labels":{"t":"gold"}}],
 "customers":[{"name":"c","key":"key-c","class":"gold"}],
 "pools":[{"name":"p","labels":{"u":"all"},"servers":{"fleet":"main"}}],
 "routes":[
  {"name":"once","kind":"one-shot","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","max_tokens":8,"expiry_us":400000},
  {"name":"flow","kind":"stream","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","expiry_us":400000},
  {"name":"many","kind":"bundle","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","most_items":3}]}`

// storeStub answers the machine's asks of other daemons.
type storeStub func(body any) (any, error)

// stubLoop runs an edge's machine for a test, as the porter does.
type stubLoop struct {
	mu        sync.Mutex
	edge      *machines.Edge
	start     time.Time
	waiting   map[uint64]chan machine.Reply
	lastCall  uint64
	callStore storeStub
}

func (s *stubLoop) now() clock.Micros { return 1_000_000 + time.Since(s.start).Microseconds() }

// apply takes one step of the machine and does what it decided.
func (s *stubLoop) apply(do func(now clock.Micros) []machine.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, effect := range do(s.now()) {
		switch e := effect.(type) {
		case machine.Reply:
			if waits := s.waiting[e.Call]; waits != nil {
				waits <- e
			}
		case machine.Request:
			go func() {
				body, err := s.callStore(e.Body)
				s.apply(func(now clock.Micros) []machine.Effect { return s.edge.ReplyReceived(e.Token, body, err, now) })
			}()
		}
	}
}

func (s *stubLoop) callMachine(_ context.Context, body, _ any, _ time.Duration) (any, error) {
	response := make(chan machine.Reply, 1)
	s.apply(func(now clock.Micros) []machine.Effect {
		s.lastCall++
		s.waiting[s.lastCall] = response
		return s.edge.Call(s.lastCall, body, now)
	})
	got := <-response
	return got.Body, got.Err
}

// newTestHandler is a gate whose one server answers by f and whose store by ask.
func newTestHandler(t *testing.T, f http.HandlerFunc, callStore storeStub) (*Handler, *stubLoop) {
	t.Helper()
	settings := machines.EdgeDefaults()
	settings.Scheduler.MaxStaleness, settings.Requests.IdleTimeout = 600*clock.Second, 200*clock.Millisecond
	s := &stubLoop{edge: machines.NewEdge("edge", settings, 1), start: time.Now(), waiting: map[uint64]chan machine.Reply{}, callStore: callStore}
	parsed, err := config.Parse([]byte(testConfiguration))
	if err != nil {
		t.Fatal(err)
	}
	parsed.Version = 1
	self := membership.Member{ID: "edge", Kind: membership.Edge, Zone: "z", Peer: "edge"}
	shardMap, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Shards: make([]replication.Assignment, 1)})
	announcement, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "keeper", PersistedUpTo: 9, Shards: []token.OwnedShard{{Shard: 0, Epoch: 1}}})
	for _, update := range []machine.Update{{Key: membership.Key("edge"), Value: self.Encode()}, {Key: state.MapKey, Seq: 1, Value: shardMap}, {Key: token.Key(1), Epoch: 1, Seq: 1, Value: announcement}} {
		s.apply(func(now clock.Micros) []machine.Effect { return s.edge.UpdateReceived(update, now) })
	}
	s.edge.Scheduler.SetConfiguration(parsed, s.now())
	s.apply(func(now clock.Micros) []machine.Effect { return s.edge.FreshnessAdvanced(now, now) })
	if f != nil {
		server := httptest.NewServer(f)
		t.Cleanup(server.Close)
		s.edge.Scheduler.SetServer(endpoints.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4, Labels: map[string]string{"fleet": "main"}})
	}
	var ends cleanup.Stack
	t.Cleanup(ends.Run)
	cleanup.Every(&ends, 10*time.Millisecond, func() { s.apply(s.edge.Tick) })
	return &Handler{Settings: Defaults(), CallMachine: s.callMachine, Now: s.now, Notify: func(body any) {
		s.apply(func(now clock.Micros) []machine.Effect { return s.edge.Call(0, body, now) })
	}}, s
}

func submitHandler(h *Handler, _ *stubLoop) httpserver.Handler { return h.SubmitRequest }

func serve(handle httpserver.Handler, method, target, key, idem, body string, vars map[string]string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if idem != "" {
		request.Header.Set("Idempotency-Key", idem)
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
		t.Fatalf("no typed error with a remedy: %d %s", r.Code, r.Body)
	}
	return body.Error.Kind
}

// Each bad input has its typed error, and neither a server nor a store hears
// of it.
func TestBadInput(t *testing.T) {
	var executions atomic.Int64
	h, _ := newTestHandler(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) }, func(any) (any, error) {
		executions.Add(1)
		return nil, nil
	})
	route := func(name string) map[string]string { return map[string]string{"route": name} }
	item := `{"id":"%d","input":"x"}`
	four := []string{}
	for i := 0; i < 4; i++ {
		four = append(four, fmt.Sprintf(item, i))
	}
	for name, c := range map[string]struct {
		got  *httptest.ResponseRecorder
		want errs.Kind
	}{
		"no key":           {serve(h.SubmitRequest, "POST", "/", "", "", `{"input":"x"}`, route("once")), errs.Unauthorised},
		"unknown customer": {serve(h.SubmitRequest, "POST", "/", "nobody", "", `{"input":"x"}`, route("once")), errs.Unauthorised},
		"unknown route":    {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, route("nowhere")), errs.UnknownRoute},
		"malformed":        {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":`, route("once")), errs.BadInput},
		"unknown field":    {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x","colour":1}`, route("once")), errs.BadInput},
		"two values":       {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}{}`, route("once")), errs.BadInput},
		"empty input":      {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":""}`, route("once")), errs.BadInput},
		"oversize":         {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"`+strings.Repeat("x", 3000)+`"}`, route("once")), errs.TooLarge},
		"too many tokens":  {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x","max_tokens":9}`, route("once")), errs.BadInput},
		"expired":          {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x","expiry_us":-1}`, route("once")), errs.DeadlineExceeded},
		"key on a stream":  {serve(h.SubmitRequest, "POST", "/", "key-c", "k", `{"input":"x"}`, route("flow")), errs.BadInput},
		"live to bundle":   {serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, route("many")), errs.BadInput},
		"bundle to live":   {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[]}`, route("once")), errs.BadInput},
		"empty bundle":     {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[]}`, route("many")), errs.BadInput},
		"oversize bundle":  {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[`+strings.Join(four, ",")+`]}`, route("many")), errs.TooLarge},
		"one bad item":     {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[{"id":"a","input":"x"},{"id":"b","input":""}]}`, route("many")), errs.BadInput},
		"an id twice":      {serve(h.SubmitBatch, "POST", "/", "key-c", "", `{"items":[{"id":"a","input":"x"},{"id":"a","input":"y"}]}`, route("many")), errs.BadInput},
		"bad token":        {serve(h.BatchResults, "GET", "/?after=AAAA", "key-c", "", "", map[string]string{"bundle": "b"}), errs.BadToken},
		"bad limit":        {serve(h.BatchResults, "GET", "/?limit=x", "key-c", "", "", map[string]string{"bundle": "b"}), errs.BadInput},
		"bad parameter":    {serve(h.Feed, "GET", "/?since=1", "key-c", "", "", nil), errs.BadInput},
	} {
		if got := errorKind(t, c.got); got != c.want {
			t.Errorf("%s: %s, not %s (%s)", name, got, c.want, c.got.Body)
		}
	}
	if executions.Load() != 0 {
		t.Fatalf("bad input reached a server or a keeper %d times", executions.Load())
	}
}

func sseChunks(chunks ...string) string {
	out := ""
	for _, chunk := range chunks {
		out += fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", chunk)
	}
	return out
}

const finishEvent = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
const doneEvent = "data: [DONE]\n\n"

// Only a stream with its finish reason and its end mark looks complete to the
// caller; a one-shot order that may have run is never run again.
func TestCutShortNeverLooksComplete(t *testing.T) {
	for name, body := range map[string]string{
		"no end mark": sseChunks("a", "b") + finishEvent, "no finish": sseChunks("a", "b") + doneEvent, "half": sseChunks("a"),
		"not an event": sseChunks("a") + "data: {oops\n\n" + finishEvent + doneEvent, "an error": sseChunks("a") + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n",
	} {
		var runs atomic.Int64
		handler := func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			fmt.Fprint(w, body)
		}
		once := serve(submitHandler(newTestHandler(t, handler, nil)), "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "once"})
		if got := errorKind(t, once); got != errs.OutcomeUnknown {
			t.Errorf("%s: a one-shot order is told %s", name, got)
		}
		if runs.Load() != 1 {
			t.Errorf("%s: a one-shot order ran %d times", name, runs.Load())
		}
		flow := serve(submitHandler(newTestHandler(t, handler, nil)), "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"}).Body.String()
		if strings.Contains(flow, "event: end") || !strings.Contains(flow, "event: error") || strings.Count(flow, `"text":"a"`) != 1 {
			t.Errorf("%s: the stream reads %q", name, flow)
		}
	}
	h, _ := newTestHandler(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, sseChunks("a", "b")+finishEvent+doneEvent) }, nil)
	whole := serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"}).Body.String()
	if !strings.Contains(whole, "event: end") || strings.Contains(whole, "event: error") {
		t.Fatalf("a whole stream reads %q", whole)
	}
}

// A server that turns an order away has not run it: the order may go elsewhere,
// and the caller is told when to come back if none takes it.
func TestRejectedByEveryServer(t *testing.T) {
	var asked atomic.Int64
	h, _ := newTestHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}, nil)
	got := serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "once"})
	if kind := errorKind(t, got); kind != errs.Busy && kind != errs.DeadlineExceeded {
		t.Fatalf("told %s", kind)
	}
	if got.Header().Get("Retry-After") == "" || asked.Load() == 0 {
		t.Fatalf("Retry-After %q after %d askings", got.Header().Get("Retry-After"), asked.Load())
	}
}

// A claimed key is voided before the order is turned away; where that can't be
// confirmed, the outcome is said to be unknown.
func TestAClaimIsVoidedBeforeTheRequestIsRejected(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		var states []string
		h, _ := newTestHandler(t, nil, func(body any) (any, error) {
			switch ask := body.(type) {
			case batchstore.ClaimRequest:
				return batchstore.ClaimResponse{Yours: true, Claim: ask.Claim}, nil
			case batchstore.CompleteClaimRequest:
				states = append(states, ask.State)
				if confirmed {
					return batchstore.CompleteClaimResponse{}, nil
				}
			}
			return nil, errs.New(errs.OutcomeUnknown, "ask again", "no answer")
		})
		got := errorKind(t, serve(h.SubmitRequest, "POST", "/", "key-c", "k1", `{"input":"x"}`, map[string]string{"route": "once"}))
		want := errs.DeadlineExceeded
		if !confirmed {
			want = errs.OutcomeUnknown
		}
		if got != want || fmt.Sprint(states) != "[turned-away]" {
			t.Fatalf("confirmed %v: told %s after settling as %v", confirmed, got, states)
		}
	}
}

// A stream whose first try may have run, and whose others were turned away, is
// not said to be turned away.
func TestAnAttemptThatMayHaveRunIsNeverRejected(t *testing.T) {
	var asked atomic.Int64
	h, s := newTestHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) > 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, nil)
	s.mu.Lock()
	s.edge.Scheduler.SetServer(endpoints.Server{Name: "t", Address: s.edge.Scheduler.Servers()[0].Address, Slots: 4, Labels: map[string]string{"fleet": "main"}})
	s.mu.Unlock()
	got := serve(h.SubmitRequest, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"})
	if kind := errorKind(t, got); kind != errs.OutcomeUnknown || asked.Load() < 2 {
		t.Fatalf("told %s after %d tries, of which the first may have run", kind, asked.Load())
	}
}
