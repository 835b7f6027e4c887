package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// server is a sound model server: it answers each POST with a stream of events, ids from 1 on.
type server struct {
	id, service, zone, address string
	record                     *record
	events                     int
	gap                        time.Duration
	runs                       atomic.Int64
}

// events and pause are of the streams of servers that start from now on.
var (
	events = 3
	pause  = 5 * time.Millisecond
)

func startServer(r *record, service, zone string) (*server, error) {
	listener, err := net.Listen("tcp", newAddress()+":0")
	if err != nil {
		return nil, err
	}
	s := &server{id: "i-" + strconv.FormatInt(time.Now().UnixNano(), 36), service: service, zone: zone, address: listener.Addr().String(), record: r, events: events, gap: pause}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance", s.id)
	if r.Method == http.MethodGet {
		return
	}
	if want := r.Header.Get("X-Want-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.runs.Add(1)
	s.record.say("server %s runs %s", s.id, id)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Seal", "seal-"+id)
	for event := from + 1; event <= s.events; event++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event, id, event)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(s.gap)
	}
}

// list is the platform's list of servers.
type list struct {
	mu      sync.Mutex
	servers []*server
	address string
}

func startList() (*list, error) {
	listener, err := net.Listen("tcp", newAddress()+":0")
	if err != nil {
		return nil, err
	}
	l := &list{address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, l) }()
	return l, nil
}

// ServeHTTP answers GET /instances with one page.
func (l *list) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []map[string]any{}
	for _, s := range l.servers {
		entries = append(entries, map[string]any{"id": s.id, "svc": s.service, "addr": s.address, "az": s.zone, "ver": "v1", "slots": 16, "state": "up", "warm-left-ms": 0})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"insts": entries, "next-token": nil})
}

// fresh is a client that opens a connection for each call.
func fresh(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// call is one HTTP call.
type call struct {
	method, address, path, host string
	header                      map[string]string
	body                        []byte
	timeout                     time.Duration
}

// do sends the call; status 0 means that there was no answer.
func (c call) do() (status int, body string) {
	request, err := http.NewRequest(c.method, "http://"+c.address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return 0, err.Error()
	}
	if c.host != "" {
		request.Host = c.host
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := fresh(c.timeout).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// short cuts a text for the record.
func short(text string) string {
	text = strings.ReplaceAll(text, "\n", " ")
	return text[:min(len(text), 160)]
}

// put sends a configuration to each core in turn until there is a clear answer: 200, or a 4xx. It
// returns whether it was acknowledged.
func put(r *record, f *fleet, document string, base, want int) (acknowledged bool) {
	until(20*time.Second, func() bool {
		for _, core := range f.byRole("core") {
			header := map[string]string{"X-Base-Version": strconv.Itoa(base), "Content-Type": "application/json"}
			status, body := call{method: "POST", address: core.control, path: "/config/replace", header: header, body: []byte(document), timeout: 4 * time.Second}.do()
			r.say("POST /config/replace %s... base %d to %s: %d %s (%d is right)", document[:9], base, core.name, status, short(body), want)
			if status == 200 || status >= 400 && status < 500 {
				acknowledged = status == 200
				return true
			}
			time.Sleep(300 * time.Millisecond)
		}
		return false
	})
	return acknowledged
}
