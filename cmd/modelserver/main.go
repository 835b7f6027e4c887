// Program modelserver is a stand-in model server (DESIGN §9): uneven speed, slots, a
// prefix cache, and faults on demand. It logs every start.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tuliprudder/kernel/cleanup"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/httpserver"
	"tuliprudder/kernel/logging"
	"tuliprudder/kernel/settings"
	"tuliprudder/proof/modelcontent"
)

type options struct {
	listen, name, starts string
	slots, queue         int64
	pieceUS, prefillUS   int64
	prefixes, pieces     int64
}

func main() {
	var set options
	r := settings.New("modelserver")
	r.Flags.StringVar(&set.listen, "listen", "", "address to serve on, IP:port")
	r.Flags.StringVar(&set.name, "name", "modelserver", "name of the server in its log")
	r.Flags.StringVar(&set.starts, "starts", "", "file that every start is logged to")
	r.Int(&set.slots, "slots", 8, 1, 10_000, "orders that run at once")
	r.Int(&set.queue, "queue", 64, 0, 100_000, "orders that wait; more are turned away")
	r.Int(&set.pieceUS, "piece-us", 4000, 0, 10_000_000, "time for a piece")
	r.Int(&set.prefillUS, "prefill-us", 20_000, 0, 10_000_000, "time before the first piece without a cached prefix")
	r.Int(&set.prefixes, "prefixes", 4, 0, 10_000, "prefixes kept in the cache")
	r.Int(&set.pieces, "pieces", 6, 1, 10_000, "pieces of an answer")
	r.Check(func() { r.Address("listen", set.listen) })
	r.MustParse(os.Args[1:])
	logging.Open(os.Stderr, "modelserver", set.name)
	s := &server{set: set, line: newLine(int(set.slots))}
	if set.starts != "" {
		file, err := os.OpenFile(set.starts, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			fmt.Fprintln(os.Stderr, "modelserver:", err)
			os.Exit(1)
		}
		s.log = file
	}
	front := httpserver.New(set.listen, 100_000, 16<<20)
	front.Handle(http.MethodPost, "/v1/chat/completions", s.complete)
	front.Handle(http.MethodGet, "/health", s.health)
	front.Handle(http.MethodGet, "/metrics", s.metrics)
	front.Handle(http.MethodPost, "/control", s.control)
	var ends cleanup.Stack
	defer ends.Run()
	if err := front.Start(&ends); err != nil {
		fmt.Fprintln(os.Stderr, "modelserver:", err)
		os.Exit(1)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

type server struct {
	set     options
	line    *line
	waiting atomic.Int64
	running atomic.Int64
	hits    atomic.Int64
	mu      sync.Mutex
	log     *os.File
	cache   []string
	mode    atomic.Value // string: "", dark, cut, refuse
}

func (s *server) is(mode string) bool {
	now, _ := s.mode.Load().(string)
	return now == mode
}

// control sets a fault: {"mode":"dark"} holds everything open and silent,
// "cut" breaks streams off half way, "refuse" rejects, "" ends it.
func (s *server) control(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body struct {
		Mode string `json:"mode"`
	}
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	s.mode.Store(body.Mode)
	return httpserver.WriteJSON(w, http.StatusOK, body)
}

func (s *server) health(w http.ResponseWriter, r *http.Request) error {
	s.darken(r)
	return httpserver.WriteJSON(w, http.StatusOK, map[string]any{"status": "ok"})
}

func (s *server) metrics(w http.ResponseWriter, r *http.Request) error {
	s.darken(r)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{model_name=\"m\"} %d\n", s.running.Load())
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting{model_name=\"m\"} %d\n", s.waiting.Load())
	fmt.Fprintf(w, "# TYPE modelserver:prefix_hits gauge\nmodelserver:prefix_hits %d\n", s.hits.Load())
	return nil
}

// darken holds a request for as long as the server is dark.
func (s *server) darken(r *http.Request) {
	for s.is("dark") && r.Context().Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

type ask struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	User      string `json:"user"`
	Priority  int    `json:"priority"`
}

// texts are the messages by role: the prefix, the input, and what was produced
// already.
func (a ask) texts() (prefix, input, partial string) {
	for _, m := range a.Messages {
		switch m.Role {
		case "system":
			prefix = m.Content
		case "user":
			input = m.Content
		case "assistant":
			partial = m.Content
		}
	}
	return prefix, input, partial
}

func readAsk(r *http.Request) (body ask, err error) {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return body, err
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return body, errs.New(errs.BadInput, "send a chat completion", "%v", err)
	}
	if _, input, _ := body.texts(); input == "" {
		return body, errs.New(errs.BadInput, "send a user message", "no user message")
	}
	return body, nil
}

func (s *server) complete(w http.ResponseWriter, r *http.Request) error {
	body, err := readAsk(r)
	if err != nil {
		return err
	}
	prefix, input, partial := body.texts()
	if s.is("refuse") || s.waiting.Load() >= s.set.queue+s.set.slots {
		return errs.Later(errs.NotReady, 1_000_000, "come back", "the queue is full")
	}
	s.waiting.Add(1)
	entered := s.line.enter(r.Context(), body.Priority)
	s.waiting.Add(-1)
	if !entered {
		return nil
	}
	defer s.line.leave()
	s.running.Add(1)
	defer s.running.Add(-1)
	s.started(modelcontent.Start{At: time.Now().UnixMicro(), Server: s.set.name, Order: r.Header.Get("X-Request-Id"), Input: input, Resume: partial != ""})
	s.darken(r)
	if !s.cached(prefix) {
		time.Sleep(time.Duration(s.set.prefillUS) * time.Microsecond)
	}
	pieces := modelcontent.Pieces(input, int(min(s.set.pieces, max(body.MaxTokens, 1))))
	if !s.stream(w, r, pieces, partial) {
		return nil
	}
	s.started(modelcontent.Start{At: time.Now().UnixMicro(), Server: s.set.name, Order: r.Header.Get("X-Request-Id"), Input: input, End: true})
	fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	return nil
}

// stream sends the pieces that are not in partial yet; false when it was cut.
func (s *server) stream(w http.ResponseWriter, r *http.Request, pieces []string, partial string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for i, piece := range pieces {
		if strings.HasPrefix(partial, piece) {
			partial = partial[len(piece):]
			continue
		}
		time.Sleep(time.Duration(s.set.pieceUS) * time.Microsecond)
		s.darken(r)
		if r.Context().Err() != nil {
			return false
		}
		if s.is("cut") && i >= len(pieces)/2 {
			if conn, _, err := flush.Hijack(); err == nil {
				conn.Close()
			}
			return false
		}
		event, _ := json.Marshal(map[string]any{"object": "chat.completion.chunk", "choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": piece}}}})
		fmt.Fprintf(w, "data: %s\n\n", event)
		flush.Flush()
	}
	return true
}

func (s *server) started(start modelcontent.Start) {
	if s.log == nil {
		return
	}
	line, _ := json.Marshal(start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Write(append(line, '\n'))
}

// cached tells whether a prefix was in the cache, and puts it there.
func (s *server) cached(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, one := range s.cache {
		if one == prefix {
			s.cache = append(append(s.cache[:i:i], s.cache[i+1:]...), prefix)
			s.hits.Add(1)
			return true
		}
	}
	s.cache = append(s.cache, prefix)
	if int64(len(s.cache)) > s.set.prefixes {
		s.cache = s.cache[1:]
	}
	return false
}
