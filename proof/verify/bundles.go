package verify

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"time"
)

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
	ID, Key        string
	Inputs         []string
	Accepted       bool
	OutcomeUnknown bool // some try was of unknown outcome
	Ended          int64
	SentAt         int64
	AnsweredAt     int64
	CompleteAt     int64 // when the last result was read
	Rows           []Row
	SeenAt         []int64 // when each row was first read by the one who waited for it
	Invalid        bool    // handed in with a bad item: must be rejected
}

// readAllBundles is the day's end: every accepted bundle's list is read back whole.
func (t *Workload) readAllBundles(ctx context.Context) {
	chance := rand.New(rand.NewSource(t.Seed - 3))
	expiry := time.Now().Add(t.Patience)
	for _, b := range t.bundles {
		if !b.Accepted || b.Ended > 0 || len(b.Rows) < len(b.Inputs) {
			continue
		}
		rows := -1
		for rows < len(b.Rows) {
			if ctx.Err() != nil || time.Now().After(expiry) {
				t.addBreach(promiseKept, "bundle %s: only %d of %d results at the day's end", b.ID, max(rows, 0), len(b.Rows))
				break
			}
			p, ok := t.page(ctx, chance, "/v1/bundles/"+b.ID+"/results", "", 1000)
			if !ok {
				continue
			}
			if rows = len(p.Results); rows > len(b.Rows) || fmt.Sprint(p.Results) != fmt.Sprint(b.Rows[:rows]) {
				t.addBreach(promiseExact, "bundle %s: read again at the day's end it reads otherwise", b.ID)
				break
			}
		}
		t.count("lists read back at the day's end", 1)
	}
}

// newBundle makes a bundle and its items; an invalid one has an item without input.
func (t *Workload) newBundle(invalid bool) (*Bundle, []map[string]any) {
	b := &Bundle{Key: t.name("bundle"), Invalid: invalid, SentAt: now()}
	items := []map[string]any{}
	for n := range t.Items {
		input := fmt.Sprintf("%s/item-%d", b.Key, n)
		b.Inputs = append(b.Inputs, input)
		items = append(items, map[string]any{"id": strconv.Itoa(n), "input": input})
	}
	if invalid {
		items[len(items)-1]["input"] = ""
	}
	return b, items
}

func (t *Workload) bundle(ctx context.Context, chance *rand.Rand, i int) {
	b, items := t.newBundle(i%7 == 6)
	t.mu.Lock()
	t.bundles = append(t.bundles, b)
	t.mu.Unlock()
	for try := 0; try < t.MostTries && ctx.Err() == nil; try++ {
		got, err := t.do(ctx, t.edge(chance), http.MethodPost, "/v1/routes/"+t.BundleRoute+"/bundles", t.BundleKey, b.Key, map[string]any{"items": items})
		outcome := got.outcome(err)
		if outcome == Unknown {
			t.mu.Lock()
			b.OutcomeUnknown = true
			t.mu.Unlock()
			t.count("bundles of unknown outcome asked again", 1)
		}
		if outcome == OK {
			var receipt struct {
				Bundle string `json:"bundle"`
			}
			json.Unmarshal(got.body, &receipt)
			t.mu.Lock()
			b.Accepted, b.ID, b.AnsweredAt = true, receipt.Bundle, now()
			t.mu.Unlock()
			break
		}
		if b.Invalid && got.kind == "bad_input" {
			return
		}
		if b.Invalid && outcome == Refused && got.kind != "not_ready" && got.kind != "over_allowance" {
			t.addBreach(promiseTyped, "a bad bundle was turned away as %q", got.kind)
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
		t.endBundle(ctx, chance, b)
		return
	}
	t.readBundle(ctx, chance, b)
}

// endBundle ends a bundle half way.
func (t *Workload) endBundle(ctx context.Context, chance *rand.Rand, b *Bundle) {
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

// checkDelay reads a whole list over a connection that takes a few bytes at a time:
// it gets the same, and the others are judged beside it.
func (t *Workload) checkDelay(ctx context.Context, chance *rand.Rand, b *Bundle, path string) {
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
		t.addBreach(promiseExact, "bundle %s: read again slowly it reads otherwise", b.ID)
	}
	t.count("lists read slowly", 1)
}

type page struct {
	Results []Row  `json:"results"`
	Next    string `json:"next"`
	State   string `json:"state"`
	More    bool   `json:"more"`
}

func (t *Workload) page(ctx context.Context, chance *rand.Rand, path, token string, limit int) (page, bool) {
	got, err := t.do(ctx, t.edge(chance), http.MethodGet, fmt.Sprintf("%s?after=%s&limit=%d&wait_us=1000000", path, token, limit), t.BundleKey, "", nil)
	if got.outcome(err) != OK {
		if err == nil && got.kind != "not_ready" {
			t.addBreach(promiseTyped, "reading %s: %s: %.200s", path, got.kind, got.body)
		}
		time.Sleep(50 * time.Millisecond)
		return page{}, false
	}
	var p page
	if err := json.Unmarshal(got.body, &p); err != nil {
		t.addBreach(promiseTyped, "a page that can't be read: %.200s", got.body)
		return page{}, false
	}
	return p, true
}

// readBundle follows a bundle's list over changing edges until it is whole,
// then reads it again from the start somewhere else.
func (t *Workload) readBundle(ctx context.Context, chance *rand.Rand, b *Bundle) {
	path := "/v1/bundles/" + b.ID + "/results"
	expiry := time.Now().Add(t.Patience)
	token := ""
	var rows []Row
	var seenAt []int64
	for len(rows) < len(b.Inputs) {
		if ctx.Err() != nil || time.Now().After(expiry) {
			t.addBreach(promiseKept, "bundle %s (%s): only %d of %d results after %v", b.ID, b.Key, len(rows), len(b.Inputs), t.Patience)
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
			t.addBreach(promiseKept, "bundle %s: done with %d of %d results", b.ID, len(rows), len(b.Inputs))
			break
		}
	}
	t.mu.Lock()
	b.Rows, b.SeenAt, b.CompleteAt = rows, seenAt, now()
	t.mu.Unlock()
	t.readAgain(ctx, chance, b, path)
}

// readAgain reads a bundle's list once more at some edge. That edge may hear of the
// last rows a little later, but what it shows must be the list's beginning.
func (t *Workload) readAgain(ctx context.Context, chance *rand.Rand, b *Bundle, path string) {
	rows := b.Rows
	for try := 0; try < 60 && ctx.Err() == nil; try++ {
		p, ok := t.page(ctx, chance, path, "", 1000)
		if !ok {
			continue
		}
		if len(p.Results) > len(rows) || fmt.Sprint(p.Results) != fmt.Sprint(rows[:len(p.Results)]) {
			t.addBreach(promiseExact, "bundle %s: read again it reads otherwise (%d rows, %d before)", b.ID, len(p.Results), len(rows))
			return
		}
		if len(p.Results) == len(rows) {
			t.count("lists read twice", 1)
			if chance.Intn(5) == 0 {
				t.checkDelay(ctx, chance, b, path)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.addBreach(promiseExact, "bundle %s: read again it stays shorter", b.ID)
}
