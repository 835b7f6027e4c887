// Package verify stands in for the callers and checks every promise by what
// they and the servers saw (DESIGN §9).
package verify

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/proof/modelcontent"
)

// Outcome is what a caller was told.
type Outcome string

// The outcomes.
const (
	OK      Outcome = "ok"
	Refused Outcome = "turned away"
	Unknown Outcome = "unknown"
)

// Live is one live order as its caller saw it.
type Live struct {
	Input, Route string
	Outcome      Outcome
	Output       string
	Ended        bool // a stream with its end mark
	Asked, Told  int64
	Kind         string
	Key          string
	Once         bool
}

// about names the promise that a breach is of.
type about string

// The promises that callers see broken themselves; the others are judged from all
// records together.
const (
	aboutKept  about = "kept"
	aboutExact about = "exact"
	aboutOnce  about = "once"
	aboutTyped about = "typed"
)

type seen struct {
	about about
	text  string
}

// Row is a listed result as a reader saw it.
type Row struct {
	Writer   int    `json:"writer"`
	Position int64  `json:"position"`
	Bundle   string `json:"bundle"`
	Item     int    `json:"item"`
	Status   string `json:"status"`
	Output   string `json:"output"`
}

// Bundle is one bundle as its caller saw it.
type Bundle struct {
	ID, Key  string
	Inputs   []string
	Accepted bool
	Maybe    bool // some try was of unknown outcome
	Ended    int64
	Asked    int64
	Told     int64
	Whole    int64 // when the last result was read
	Rows     []Row
	SeenAt   []int64 // when each row was first read by the one who waited for it
	Bad      bool    // handed in with a bad item: must be turned away
}

// Tour is a run of callers.
type Tour struct {
	Edges       func() []string // HTTP addresses of edges
	Seed        int64
	LiveKeys    []string
	BundleKey   string
	BundleRoute string
	Items       int
	Pieces      int
	LiveWorkers int
	Quiet       bool          // nothing fails on the way: rows have to come within a second
	Bundles     int           // bundles to hand in
	Pace        time.Duration // between two bundles
	MostTries   int
	Patience    time.Duration // to read a bundle whole

	mu       sync.Mutex
	lives    []*Live
	bundles  []*Bundle
	feed     []Row
	breaches []seen
	counts   map[string]int
	client   *http.Client
	number   int
}

func now() int64 { return time.Now().UnixMicro() }

// breach notes what a caller saw with its own eyes, under the promise it breaks.
func (t *Tour) breach(promise about, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.breaches) < 500 {
		t.breaches = append(t.breaches, seen{promise, fmt.Sprintf(format, args...)})
	}
}

func (t *Tour) count(what string, by int) {
	t.mu.Lock()
	t.counts[what] += by
	t.mu.Unlock()
}

func (t *Tour) name(word string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	return fmt.Sprintf("%s-%d-%d", word, t.Seed, t.number)
}

type answer struct {
	status int
	kind   string
	body   []byte
}

// do asks one edge; an error means nobody knows.
func (t *Tour) do(ctx context.Context, edge, method, path, key, idem string, body any) (answer, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return answer{}, err
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+edge+path, reader)
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if idem != "" {
		request.Header.Set("Idempotency-Key", idem)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	var wrong struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	if response.StatusCode >= 400 {
		json.Unmarshal(data, &wrong)
		if wrong.Error.Kind == "" {
			t.breach(aboutTyped, "an error without a kind: %s %s: %d %.200s", method, path, response.StatusCode, data)
		}
		if (response.StatusCode == 429 || response.StatusCode == 503) && response.Header.Get("Retry-After") == "" {
			t.breach(aboutTyped, "turned away without Retry-After: %s %s: %s", method, path, wrong.Error.Kind)
		}
	}
	return answer{response.StatusCode, wrong.Error.Kind, data}, nil
}

func (a answer) outcome(err error) Outcome {
	switch {
	case err != nil || a.kind == "outcome_unknown":
		return Unknown
	case a.status/100 == 2:
		return OK
	}
	return Refused
}

// Run runs the tour: live workers go on until all bundles are read or ctx ends.
func (t *Tour) Run(ctx context.Context) {
	t.counts = map[string]int{}
	t.client = &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer t.client.CloseIdleConnections()
	if t.MostTries == 0 {
		t.MostTries = 60
	}
	if t.Patience == 0 {
		t.Patience = 60 * time.Second
	}
	began := time.Now()
	liveCtx, stop := context.WithCancel(ctx)
	var live, bundles sync.WaitGroup
	for i := 0; i < t.LiveWorkers; i++ {
		live.Add(1)
		go func() {
			defer live.Done()
			chance := rand.New(rand.NewSource(t.Seed + int64(i)))
			for liveCtx.Err() == nil {
				t.live(ctx, chance)
			}
		}()
	}
	live.Add(1)
	go func() { defer live.Done(); t.follow(liveCtx, rand.New(rand.NewSource(t.Seed-1))) }()
	for i := 0; i < t.Bundles && ctx.Err() == nil; i++ {
		bundles.Add(1)
		go func() {
			defer bundles.Done()
			t.bundle(ctx, rand.New(rand.NewSource(t.Seed*1000+int64(i))), i)
		}()
		time.Sleep(t.Pace)
	}
	bundles.Wait()
	stop()
	live.Wait()
	t.count("milliseconds of live callers", int(time.Since(began).Milliseconds()))
	if ctx.Err() == nil {
		t.lastFeed(ctx)
		t.lastLists(ctx)
	}
}

// lastLists is the day's end: every accepted bundle's list is read back whole.
func (t *Tour) lastLists(ctx context.Context) {
	chance := rand.New(rand.NewSource(t.Seed - 3))
	expiry := time.Now().Add(t.Patience)
	for _, b := range t.bundles {
		if !b.Accepted || b.Ended > 0 || len(b.Rows) < len(b.Inputs) {
			continue
		}
		rows := -1
		for rows < len(b.Rows) {
			if ctx.Err() != nil || time.Now().After(expiry) {
				t.breach(aboutKept, "bundle %s: only %d of %d results at the day's end", b.ID, max(rows, 0), len(b.Rows))
				break
			}
			p, ok := t.page(ctx, chance, "/v1/bundles/"+b.ID+"/results", "", 1000)
			if !ok {
				continue
			}
			if rows = len(p.Results); rows > len(b.Rows) || fmt.Sprint(p.Results) != fmt.Sprint(b.Rows[:rows]) {
				t.breach(aboutExact, "bundle %s: read again at the day's end it reads otherwise", b.ID)
				break
			}
		}
		t.count("lists read back at the day's end", 1)
	}
}

func (t *Tour) edge(chance *rand.Rand) string {
	edges := t.Edges()
	return edges[chance.Intn(len(edges))]
}

func (t *Tour) live(ctx context.Context, chance *rand.Rand) {
	key := t.LiveKeys[chance.Intn(len(t.LiveKeys))]
	if chance.Intn(2) == 0 {
		t.stream(ctx, chance, key)
		return
	}
	l := &Live{Input: t.name("once"), Route: "verdict", Asked: now(), Once: true, Key: key}
	t.mu.Lock()
	t.lives = append(t.lives, l)
	t.mu.Unlock()
	idem := ""
	if chance.Intn(3) == 0 {
		idem = "k-" + l.Input
	}
	got, err := t.do(ctx, t.edge(chance), http.MethodPost, "/v1/routes/verdict/orders", key, idem, map[string]any{"input": l.Input})
	outcome, output := got.outcome(err), readOutput(got)
	if idem != "" && (outcome == Unknown || chance.Intn(2) == 0) {
		// The same key at another edge: never a second run.
		again, err := t.do(ctx, t.edge(chance), http.MethodPost, "/v1/routes/verdict/orders", key, idem, map[string]any{"input": l.Input})
		second := again.outcome(err)
		if outcome == OK && second == OK && readOutput(again) != output {
			t.breach(aboutOnce, "a repeated key got another answer: %s", l.Input)
		}
		if second == OK {
			outcome, output = OK, readOutput(again)
		}
		if outcome == Refused && second != Refused {
			outcome = second
		}
		t.count("keys repeated", 1)
	}
	t.mu.Lock()
	l.Outcome, l.Output, l.Told, l.Kind = outcome, output, now(), got.kind
	t.mu.Unlock()
	if outcome != OK {
		time.Sleep(100 * time.Millisecond)
	}
}

func readOutput(a answer) string {
	var body struct {
		Output string `json:"output"`
	}
	json.Unmarshal(a.body, &body)
	return body.Output
}

func (t *Tour) stream(ctx context.Context, chance *rand.Rand, key string) {
	l := &Live{Input: t.name("stream"), Route: "label", Asked: now(), Key: key}
	t.mu.Lock()
	t.lives = append(t.lives, l)
	t.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"input": l.Input})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.edge(chance)+"/v1/routes/label/orders", bytes.NewReader(data))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+key)
	outcome, output, ended, kind := Unknown, "", false, ""
	response, err := t.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			body, _ := io.ReadAll(response.Body)
			var wrong struct {
				Error struct {
					Kind string `json:"kind"`
				} `json:"error"`
			}
			json.Unmarshal(body, &wrong)
			kind = wrong.Error.Kind
			outcome = answer{status: response.StatusCode, kind: kind}.outcome(nil)
		} else {
			output, ended = readStream(response.Body)
			if ended {
				outcome = OK
			}
		}
	}
	t.mu.Lock()
	l.Outcome, l.Output, l.Ended, l.Told, l.Kind = outcome, output, ended, now(), kind
	t.mu.Unlock()
	if outcome != OK {
		time.Sleep(100 * time.Millisecond)
	}
}

// readStream gathers the pieces; whole tells whether the end mark came.
func readStream(body io.Reader) (text string, whole bool) {
	lines := bufio.NewScanner(body)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case "piece":
			var piece struct {
				Text string `json:"text"`
			}
			json.Unmarshal([]byte(data), &piece)
			text += piece.Text
		case "end":
			return text, true
		case "error":
			return text, false
		}
	}
	return text, false
}

func (t *Tour) bundle(ctx context.Context, chance *rand.Rand, i int) {
	b := &Bundle{Key: t.name("bundle"), Bad: i%7 == 6, Asked: now()}
	items := []map[string]any{}
	for n := 0; n < t.Items; n++ {
		input := fmt.Sprintf("%s/item-%d", b.Key, n)
		b.Inputs = append(b.Inputs, input)
		items = append(items, map[string]any{"id": strconv.Itoa(n), "input": input})
	}
	if b.Bad {
		items[len(items)-1]["input"] = ""
	}
	t.mu.Lock()
	t.bundles = append(t.bundles, b)
	t.mu.Unlock()
	for try := 0; try < t.MostTries && ctx.Err() == nil; try++ {
		got, err := t.do(ctx, t.edge(chance), http.MethodPost, "/v1/routes/"+t.BundleRoute+"/bundles", t.BundleKey, b.Key, map[string]any{"items": items})
		outcome := got.outcome(err)
		if outcome == Unknown {
			t.mu.Lock()
			b.Maybe = true
			t.mu.Unlock()
			t.count("bundles of unknown outcome asked again", 1)
		}
		if outcome == OK {
			var receipt struct {
				Bundle string `json:"bundle"`
			}
			json.Unmarshal(got.body, &receipt)
			t.mu.Lock()
			b.Accepted, b.ID, b.Told = true, receipt.Bundle, now()
			t.mu.Unlock()
			break
		}
		if b.Bad {
			if got.kind != "bad_input" && outcome == Refused && got.kind != "not_ready" && got.kind != "over_allowance" {
				t.breach(aboutTyped, "a bad bundle was turned away as %q", got.kind)
			}
			if got.kind == "bad_input" {
				return
			}
		}
		if outcome == Refused {
			t.count("bundles turned away: "+got.kind, 1)
		}
		time.Sleep(time.Duration(100+chance.Intn(200)) * time.Millisecond)
	}
	if !b.Accepted {
		return
	}
	if i%9 == 8 {
		t.end(ctx, chance, b)
		return
	}
	t.readBundle(ctx, chance, b)
}

// end ends a bundle half way.
func (t *Tour) end(ctx context.Context, chance *rand.Rand, b *Bundle) {
	for try := 0; try < t.MostTries && ctx.Err() == nil; try++ {
		got, err := t.do(ctx, t.edge(chance), http.MethodDelete, "/v1/bundles/"+b.ID, t.BundleKey, "", nil)
		if got.outcome(err) == OK {
			t.mu.Lock()
			b.Ended = now()
			t.mu.Unlock()
			t.count("bundles ended", 1)
			return
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// slowly reads a whole list over a connection that takes a few bytes at a time:
// it gets the same, and the others are judged beside it.
func (t *Tour) slowly(ctx context.Context, chance *rand.Rand, b *Bundle, path string) {
	conn, err := net.Dial("tcp", t.edge(chance))
	if err != nil {
		return
	}
	defer conn.Close()
	if limited, ok := conn.(*net.TCPConn); ok {
		limited.SetReadBuffer(2048)
	}
	fmt.Fprintf(conn, "GET %s?limit=1000 HTTP/1.1\r\nHost: edge\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", path, t.BundleKey)
	var raw []byte
	chunk := make([]byte, 256)
	for ctx.Err() == nil {
		count, err := conn.Read(chunk)
		raw = append(raw, chunk[:count]...)
		if err != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return // the edge went, or a slot was in passage
	}
	var p page
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		return
	}
	if len(p.Results) > len(b.Rows) || fmt.Sprint(p.Results) != fmt.Sprint(b.Rows[:len(p.Results)]) {
		t.breach(aboutExact, "bundle %s: read again slowly it reads otherwise", b.ID)
	}
	t.count("lists read slowly", 1)
}

type page struct {
	Results []Row  `json:"results"`
	Next    string `json:"next"`
	State   string `json:"state"`
	More    bool   `json:"more"`
}

func (t *Tour) page(ctx context.Context, chance *rand.Rand, path, token string, limit int) (page, bool) {
	got, err := t.do(ctx, t.edge(chance), http.MethodGet, fmt.Sprintf("%s?after=%s&limit=%d&wait_us=1000000", path, token, limit), t.BundleKey, "", nil)
	if got.outcome(err) != OK {
		if err == nil && got.kind != "not_ready" {
			t.breach(aboutTyped, "reading %s: %s: %.200s", path, got.kind, got.body)
		}
		time.Sleep(50 * time.Millisecond)
		return page{}, false
	}
	var p page
	if err := json.Unmarshal(got.body, &p); err != nil {
		t.breach(aboutTyped, "a page that can't be read: %.200s", got.body)
		return page{}, false
	}
	return p, true
}

// readBundle follows a bundle's list over changing edges until it is whole,
// then reads it again from the start somewhere else.
func (t *Tour) readBundle(ctx context.Context, chance *rand.Rand, b *Bundle) {
	path := "/v1/bundles/" + b.ID + "/results"
	expiry := time.Now().Add(t.Patience)
	token := ""
	var rows []Row
	var seenAt []int64
	for len(rows) < len(b.Inputs) {
		if ctx.Err() != nil || time.Now().After(expiry) {
			t.breach(aboutKept, "bundle %s (%s): only %d of %d results after %v", b.ID, b.Key, len(rows), len(b.Inputs), t.Patience)
			break
		}
		p, ok := t.page(ctx, chance, path, token, 1+chance.Intn(16))
		if !ok {
			continue
		}
		rows = append(rows, p.Results...)
		for range p.Results {
			seenAt = append(seenAt, now())
		}
		token = p.Next
		if p.State == "done" && !p.More && len(p.Results) == 0 && len(rows) < len(b.Inputs) {
			t.breach(aboutKept, "bundle %s: done with %d of %d results", b.ID, len(rows), len(b.Inputs))
			break
		}
	}
	t.mu.Lock()
	b.Rows, b.SeenAt, b.Whole = rows, seenAt, now()
	t.mu.Unlock()
	// Another edge may hear of the last rows a little later, but what it shows
	// must be the list's beginning.
	for try := 0; try < 60 && ctx.Err() == nil; try++ {
		p, ok := t.page(ctx, chance, path, "", 1000)
		if !ok {
			continue
		}
		if len(p.Results) > len(rows) || fmt.Sprint(p.Results) != fmt.Sprint(rows[:len(p.Results)]) {
			t.breach(aboutExact, "bundle %s: read again it reads otherwise (%d rows, %d before)", b.ID, len(p.Results), len(rows))
			return
		}
		if len(p.Results) == len(rows) {
			t.count("lists read twice", 1)
			if chance.Intn(5) == 0 {
				t.slowly(ctx, chance, b, path)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.breach(aboutExact, "bundle %s: read again it stays shorter", b.ID)
}

// follow reads the feed over changing edges.
func (t *Tour) follow(ctx context.Context, chance *rand.Rand) {
	token := ""
	for ctx.Err() == nil {
		p, ok := t.page(ctx, chance, "/v1/results", token, 1+chance.Intn(50))
		if !ok {
			continue
		}
		token = p.Next
		t.mu.Lock()
		t.feed = append(t.feed, p.Results...)
		t.mu.Unlock()
	}
	t.mu.Lock()
	t.counts["feed token bytes"] = len(token)
	t.number++
	t.mu.Unlock()
	t.lastToken(token)
}

var lastTokens sync.Map

func (t *Tour) lastToken(token string) { lastTokens.Store(t, token) }

// lastFeed reads the feed to its end, after all bundles are whole.
func (t *Tour) lastFeed(ctx context.Context) {
	chance := rand.New(rand.NewSource(t.Seed - 2))
	value, _ := lastTokens.LoadAndDelete(t)
	token, _ := value.(string)
	quiet := 0
	for tries := 0; quiet < 2 && tries < 200 && ctx.Err() == nil; tries++ {
		p, ok := t.page(ctx, chance, "/v1/results", token, 500)
		if !ok {
			continue
		}
		token = p.Next
		t.feed = append(t.feed, p.Results...)
		if len(p.Results) == 0 {
			quiet++
		} else {
			quiet = 0
		}
	}
}

// ReadStarts reads the servers' logs.
func ReadStarts(files []string) ([]modelcontent.Start, error) {
	var out []modelcontent.Start
	for _, name := range files {
		data, err := os.ReadFile(name)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "reading a log of starts")
		}
		for _, line := range bytes.Split(data, []byte("\n")) {
			var start modelcontent.Start
			if len(line) > 0 && json.Unmarshal(line, &start) == nil {
				out = append(out, start)
			}
		}
	}
	return out, nil
}
