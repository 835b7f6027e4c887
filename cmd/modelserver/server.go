package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
	"tuliprudder/test/modelcontent"
)

// server is the model server. Its handlers are safe for concurrent use.
type server struct {
	options    options
	slots      *slotQueue
	prefixes   *prefixCache
	startLog   *startLog
	fault      currentFault
	waiting    atomic.Int64
	running    atomic.Int64
	prefixHits atomic.Int64
}

func newServer(opts options) *server {
	return &server{
		options:  opts,
		slots:    newSlotQueue(int(opts.slots)),
		prefixes: &prefixCache{limit: int(opts.maxCachedPrefixes)},
		startLog: &startLog{server: opts.name},
	}
}

func (s *server) health(w http.ResponseWriter, r *http.Request) error {
	s.fault.awaitResponsive(r)
	return httpserver.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// metrics writes the gauges that schedulers read, in the format of vLLM's metrics page.
func (s *server) metrics(w http.ResponseWriter, r *http.Request) error {
	s.fault.awaitResponsive(r)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{model_name=\"m\"} %d\n", s.running.Load())
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting{model_name=\"m\"} %d\n", s.waiting.Load())
	fmt.Fprintf(w, "# TYPE modelserver:prefix_hits gauge\nmodelserver:prefix_hits %d\n", s.prefixHits.Load())
	return nil
}

type chatRequest struct {
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

// splitByRole returns the content of the system, user and assistant messages: the prompt prefix,
// the input, and the partial output of an earlier run.
func (r chatRequest) splitByRole() (prefix, input, partial string) {
	for _, m := range r.Messages {
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

func readChatRequest(r *http.Request) (body chatRequest, err error) {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return body, err
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return body, errs.New(errs.BadInput, "send a chat completion", "%v", err)
	}
	if _, input, _ := body.splitByRole(); input == "" {
		return body, errs.New(errs.BadInput, "send a user message", "no user message")
	}
	return body, nil
}

// chatCompletion runs a request on a slot and streams its output.
func (s *server) chatCompletion(w http.ResponseWriter, r *http.Request) error {
	body, err := readChatRequest(r)
	if err != nil {
		return err
	}
	if s.fault.is(faultReject) || s.waiting.Load() >= s.options.queueLimit+s.options.slots {
		return errs.NewWithRetry(errs.NotReady, clock.Second, "retry after the time given", "the request queue is full")
	}
	s.waiting.Add(1)
	acquired := s.slots.acquire(r.Context(), body.Priority)
	s.waiting.Add(-1)
	if !acquired {
		return nil // the caller has disconnected
	}
	defer s.slots.release()
	s.running.Add(1)
	defer s.running.Add(-1)
	prefix, input, partial := body.splitByRole()
	s.startLog.started(r, input, partial != "")
	s.fault.awaitResponsive(r)
	s.prefill(prefix)
	chunks := modelcontent.Chunks(input, int(min(s.options.maxChunks, max(body.MaxTokens, 1))))
	if !s.stream(w, r, chunks, partial) {
		return nil
	}
	s.startLog.ended(r, input)
	fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	return nil
}

// prefill sleeps for the prefill time if the prefix is not cached.
func (s *server) prefill(prefix string) {
	if s.prefixes.use(prefix) {
		s.prefixHits.Add(1)
		return
	}
	time.Sleep(time.Duration(s.options.prefillUS) * time.Microsecond)
}

// Types of the streamed event for one chunk, as in OpenAI's API.
type (
	chunkEvent struct {
		Choices []chunkChoice `json:"choices"`
		Object  string        `json:"object"`
	}
	chunkChoice struct {
		Delta chunkDelta `json:"delta"`
		Index int        `json:"index"`
	}
	chunkDelta struct {
		Content string `json:"content"`
	}
)

// stream sends the chunks that partial does not contain yet. It returns false if the stream was
// interrupted by a fault or the caller disconnected.
func (s *server) stream(w http.ResponseWriter, r *http.Request, chunks []string, partial string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for i, chunk := range chunks {
		if strings.HasPrefix(partial, chunk) {
			partial = partial[len(chunk):]
			continue
		}
		time.Sleep(time.Duration(s.options.chunkUS) * time.Microsecond)
		s.fault.awaitResponsive(r)
		if r.Context().Err() != nil {
			return false
		}
		if s.fault.is(faultInterrupt) && i >= len(chunks)/2 {
			if conn, _, err := controller.Hijack(); err == nil {
				conn.Close()
			}
			return false
		}
		event, _ := json.Marshal(chunkEvent{Object: "chat.completion.chunk", Choices: []chunkChoice{{Delta: chunkDelta{Content: chunk}}}})
		fmt.Fprintf(w, "data: %s\n\n", event)
		controller.Flush()
	}
	return true
}
