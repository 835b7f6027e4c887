package gate

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

	"tuliprudder/core/config"
	"tuliprudder/core/state"
	"tuliprudder/daemon/machines"
	"tuliprudder/kernel/cleanup"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/httpserver"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/store"
	"tuliprudder/ledger/token"
	"tuliprudder/membership/identity"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/registry"
)

func TestMain(m *testing.M) {
	modelclient.Prepare()
	logx.Disable()
	os.Exit(m.Run())
}

const plan = `{"classes":[{"name":"gold","rank":10,"allowance":5,"labels":{"t":"gold"}}],
 "customers":[{"name":"c","key":"key-c","class":"gold"}],
 "pools":[{"name":"p","labels":{"u":"all"},"servers":{"fleet":"main"}}],
 "routes":[
  {"name":"once","kind":"one-shot","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","max_tokens":8,"expiry_us":400000},
  {"name":"flow","kind":"stream","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","expiry_us":400000},
  {"name":"many","kind":"bundle","classes":{"t":"gold"},"pools":{"u":"all"},"model":"m","most_items":3}]}`

// asker answers the machine's asks of other daemons.
type asker func(body any) (any, error)

// shell runs an edge's machine for a test, as the porter does.
type shell struct {
	mu    sync.Mutex
	edge  *machines.Edge
	start time.Time
	calls map[uint64]chan machine.Answer
	last  uint64
	ask   asker
}

func (s *shell) now() clock.Micros { return 1_000_000 + time.Since(s.start).Microseconds() }

// step takes one step of the machine and does what it decided.
func (s *shell) step(do func(now clock.Micros) []machine.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, effect := range do(s.now()) {
		switch e := effect.(type) {
		case machine.Answer:
			if waits := s.calls[e.Call]; waits != nil {
				waits <- e
			}
		case machine.Ask:
			go func() {
				body, err := s.ask(e.Body)
				s.step(func(now clock.Micros) []machine.Effect { return s.edge.Answered(e.Token, body, err, now) })
			}()
		}
	}
}

func (s *shell) machine(ctx context.Context, body, left any, most time.Duration) (any, error) {
	answer := make(chan machine.Answer, 1)
	s.step(func(now clock.Micros) []machine.Effect {
		s.last++
		s.calls[s.last] = answer
		return s.edge.Call(s.last, body, now)
	})
	got := <-answer
	return got.Body, got.Err
}

// gateWith is a gate whose one server answers by f and whose keeper by ask.
func gateWith(t *testing.T, f http.HandlerFunc, ask asker) (*Gate, *shell) {
	t.Helper()
	set := machines.EdgeDefaults()
	set.Scheduler.Staleness, set.Requests.Silence = 600*clock.Second, 200*clock.Millisecond
	s := &shell{edge: machines.NewEdge("edge", set, 1), start: time.Now(), calls: map[uint64]chan machine.Answer{}, ask: ask}
	parsed, err := config.Parse([]byte(plan))
	if err != nil {
		t.Fatal(err)
	}
	parsed.Version = 1
	self := identity.Member{ID: "edge", Kind: identity.Edge, Zone: "z", Peer: "edge"}
	chartMap, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Slots: make([]replication.Assignment, 1)})
	said, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "keeper", UpTo: 9, Slots: []token.Claimed{{Slot: 0, Epoch: 1}}})
	for _, update := range []machine.Update{{Key: identity.Key("edge"), Value: self.Encode()}, {Key: state.MapKey, Seq: 1, Value: chartMap}, {Key: token.Key(1), Epoch: 1, Seq: 1, Value: said}} {
		s.step(func(now clock.Micros) []machine.Effect { return s.edge.Heard(update, now) })
	}
	s.edge.Scheduler.SetPlan(parsed, s.now())
	s.step(func(now clock.Micros) []machine.Effect { return s.edge.Fresh(now, now) })
	if f != nil {
		server := httptest.NewServer(f)
		t.Cleanup(server.Close)
		s.edge.Scheduler.SetServer(registry.Server{Name: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4, Labels: map[string]string{"fleet": "main"}})
	}
	var ends cleanup.Stack
	t.Cleanup(ends.Run)
	cleanup.Every(&ends, 10*time.Millisecond, func() { s.step(s.edge.ClockEvent) })
	return &Gate{Set: Defaults(), Machine: s.machine, Clock: s.now, Word: func(body any) {
		s.step(func(now clock.Micros) []machine.Effect { return s.edge.Call(0, body, now) })
	}}, s
}

func live(g *Gate, _ *shell) httpserver.Handler { return g.Live }

func call(handle httpserver.Handler, method, target, key, idem, body string, vars map[string]string) *httptest.ResponseRecorder {
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

func kindOf(t *testing.T, r *httptest.ResponseRecorder) errs.Kind {
	t.Helper()
	var body struct {
		Error errs.Error `json:"error"`
	}
	if err := json.Unmarshal(r.Body.Bytes(), &body); err != nil || body.Error.Remedy == "" {
		t.Fatalf("no typed error with a remedy: %d %s", r.Code, r.Body)
	}
	return body.Error.Kind
}

// Each bad input has its typed error, and neither a server nor a keeper hears
// of it.
func TestBadInput(t *testing.T) {
	var ran atomic.Int64
	g, _ := gateWith(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) }, func(any) (any, error) {
		ran.Add(1)
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
		"no key":           {call(g.Live, "POST", "/", "", "", `{"input":"x"}`, route("once")), errs.Unauthorised},
		"unknown customer": {call(g.Live, "POST", "/", "nobody", "", `{"input":"x"}`, route("once")), errs.Unauthorised},
		"unknown route":    {call(g.Live, "POST", "/", "key-c", "", `{"input":"x"}`, route("nowhere")), errs.UnknownRoute},
		"malformed":        {call(g.Live, "POST", "/", "key-c", "", `{"input":`, route("once")), errs.BadInput},
		"unknown field":    {call(g.Live, "POST", "/", "key-c", "", `{"input":"x","colour":1}`, route("once")), errs.BadInput},
		"two values":       {call(g.Live, "POST", "/", "key-c", "", `{"input":"x"}{}`, route("once")), errs.BadInput},
		"empty input":      {call(g.Live, "POST", "/", "key-c", "", `{"input":""}`, route("once")), errs.BadInput},
		"oversize":         {call(g.Live, "POST", "/", "key-c", "", `{"input":"`+strings.Repeat("x", 3000)+`"}`, route("once")), errs.TooLarge},
		"too many tokens":  {call(g.Live, "POST", "/", "key-c", "", `{"input":"x","max_tokens":9}`, route("once")), errs.BadInput},
		"expired":          {call(g.Live, "POST", "/", "key-c", "", `{"input":"x","expiry_us":-1}`, route("once")), errs.Expired},
		"key on a stream":  {call(g.Live, "POST", "/", "key-c", "k", `{"input":"x"}`, route("flow")), errs.BadInput},
		"live to bundle":   {call(g.Live, "POST", "/", "key-c", "", `{"input":"x"}`, route("many")), errs.BadInput},
		"bundle to live":   {call(g.Bundle, "POST", "/", "key-c", "", `{"items":[]}`, route("once")), errs.BadInput},
		"empty bundle":     {call(g.Bundle, "POST", "/", "key-c", "", `{"items":[]}`, route("many")), errs.BadInput},
		"oversize bundle":  {call(g.Bundle, "POST", "/", "key-c", "", `{"items":[`+strings.Join(four, ",")+`]}`, route("many")), errs.TooLarge},
		"one bad item":     {call(g.Bundle, "POST", "/", "key-c", "", `{"items":[{"id":"a","input":"x"},{"id":"b","input":""}]}`, route("many")), errs.BadInput},
		"an id twice":      {call(g.Bundle, "POST", "/", "key-c", "", `{"items":[{"id":"a","input":"x"},{"id":"a","input":"y"}]}`, route("many")), errs.BadInput},
		"bad token":        {call(g.Results, "GET", "/?after=AAAA", "key-c", "", "", map[string]string{"bundle": "b"}), errs.BadToken},
		"bad limit":        {call(g.Results, "GET", "/?limit=x", "key-c", "", "", map[string]string{"bundle": "b"}), errs.BadInput},
		"bad parameter":    {call(g.Feed, "GET", "/?since=1", "key-c", "", "", nil), errs.BadInput},
	} {
		if got := kindOf(t, c.got); got != c.want {
			t.Errorf("%s: %s, not %s (%s)", name, got, c.want, c.got.Body)
		}
	}
	if ran.Load() != 0 {
		t.Fatalf("bad input reached a server or a keeper %d times", ran.Load())
	}
}

func sse(pieces ...string) string {
	out := ""
	for _, piece := range pieces {
		out += fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", piece)
	}
	return out
}

const finish = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
const done = "data: [DONE]\n\n"

// Only a stream with its finish reason and its end mark looks complete to the
// caller; a one-shot order that may have run is never run again.
func TestCutShortNeverLooksComplete(t *testing.T) {
	for name, body := range map[string]string{
		"no end mark": sse("a", "b") + finish, "no finish": sse("a", "b") + done, "half": sse("a"),
		"not an event": sse("a") + "data: {oops\n\n" + finish + done, "an error": sse("a") + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n",
	} {
		var runs atomic.Int64
		answers := func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			fmt.Fprint(w, body)
		}
		once := call(live(gateWith(t, answers, nil)), "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "once"})
		if got := kindOf(t, once); got != errs.OutcomeUnknown {
			t.Errorf("%s: a one-shot order is told %s", name, got)
		}
		if runs.Load() != 1 {
			t.Errorf("%s: a one-shot order ran %d times", name, runs.Load())
		}
		flow := call(live(gateWith(t, answers, nil)), "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"}).Body.String()
		if strings.Contains(flow, "event: end") || !strings.Contains(flow, "event: error") || strings.Count(flow, `"text":"a"`) != 1 {
			t.Errorf("%s: the stream reads %q", name, flow)
		}
	}
	g, _ := gateWith(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, sse("a", "b")+finish+done) }, nil)
	whole := call(g.Live, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"}).Body.String()
	if !strings.Contains(whole, "event: end") || strings.Contains(whole, "event: error") {
		t.Fatalf("a whole stream reads %q", whole)
	}
}

// A server that turns an order away has not run it: the order may go elsewhere,
// and the caller is told when to come back if none takes it.
func TestTurnedAwayByEveryServer(t *testing.T) {
	var asked atomic.Int64
	g, _ := gateWith(t, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}, nil)
	got := call(g.Live, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "once"})
	if kind := kindOf(t, got); kind != errs.Busy && kind != errs.Expired {
		t.Fatalf("told %s", kind)
	}
	if got.Header().Get("Retry-After") == "" || asked.Load() == 0 {
		t.Fatalf("Retry-After %q after %d askings", got.Header().Get("Retry-After"), asked.Load())
	}
}

// A claimed key is voided before the order is turned away; where that can't be
// confirmed, the outcome is said to be unknown.
func TestAClaimIsVoidedBeforeTheOrderIsTurnedAway(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		var states []string
		g, _ := gateWith(t, nil, func(body any) (any, error) {
			switch ask := body.(type) {
			case store.ClaimAsk:
				return store.ClaimAnswer{Yours: true, Claim: ask.Claim}, nil
			case store.SettleAsk:
				states = append(states, ask.State)
				if confirmed {
					return store.Settled{}, nil
				}
			}
			return nil, errs.New(errs.OutcomeUnknown, "ask again", "no answer")
		})
		got := kindOf(t, call(g.Live, "POST", "/", "key-c", "k1", `{"input":"x"}`, map[string]string{"route": "once"}))
		want := errs.Expired
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
func TestATryThatMayHaveRunIsNeverTurnedAway(t *testing.T) {
	var asked atomic.Int64
	g, s := gateWith(t, func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) > 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, nil)
	s.mu.Lock()
	s.edge.Scheduler.SetServer(registry.Server{Name: "t", Address: s.edge.Scheduler.Servers()[0].Address, Slots: 4, Labels: map[string]string{"fleet": "main"}})
	s.mu.Unlock()
	got := call(g.Live, "POST", "/", "key-c", "", `{"input":"x"}`, map[string]string{"route": "flow"})
	if kind := kindOf(t, got); kind != errs.OutcomeUnknown || asked.Load() < 2 {
		t.Fatalf("told %s after %d tries, of which the first may have run", kind, asked.Load())
	}
}
