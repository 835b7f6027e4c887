package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tuliprudder/internal/errs"
	"tuliprudder/test/modelcontent"
)

func newTestServer(log *bytes.Buffer) *server {
	s := newServer(options{name: "s1", slots: 1, queueLimit: 1, maxCachedPrefixes: 1, maxChunks: 4})
	s.startLog.out = log
	return s
}

// complete sends a chat completion.
func (s *server) complete(messages string) (*httptest.ResponseRecorder, error) {
	body := `{"model":"m","max_tokens":4,"stream":true,"messages":[` + messages + `]}`
	recorder := httptest.NewRecorder()
	err := s.chatCompletion(recorder, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)))
	return recorder, err
}

// The output is streamed in the chunks derived from the input, the run's start and end are logged,
// and a request with a partial output gets only the remaining chunks.
func TestChatCompletion(t *testing.T) {
	var log bytes.Buffer
	s := newTestServer(&log)
	chunks := modelcontent.Chunks("hello", 4)
	got, err := s.complete(`{"role":"system","content":"p"},{"role":"user","content":"hello"}`)
	if err != nil || got.Code != http.StatusOK {
		t.Fatal(err, got.Code)
	}
	if events := strings.Count(got.Body.String(), `"object":"chat.completion.chunk"`); events != len(chunks) || !strings.HasSuffix(got.Body.String(), "data: [DONE]\n\n") {
		t.Errorf("got %d events for %d chunks, or no final [DONE]:\n%s", events, len(chunks), got.Body)
	}
	if lines := strings.Count(log.String(), "\n"); lines != 2 {
		t.Errorf("start log has %d lines, want 2 (start and end):\n%s", lines, &log)
	}
	got, err = s.complete(`{"role":"user","content":"hello"},{"role":"assistant","content":"` + chunks[0] + `"}`)
	if err != nil {
		t.Fatal(err)
	}
	if events := strings.Count(got.Body.String(), `"object":"chat.completion.chunk"`); events != len(chunks)-1 {
		t.Errorf("got %d events when resuming after the first of %d chunks", events, len(chunks))
	}
}

// With the reject fault the server returns a retry delay; a request without a user message is
// invalid input. Neither is logged as a start.
func TestRejections(t *testing.T) {
	var log bytes.Buffer
	s := newTestServer(&log)
	if _, err := s.complete(`{"role":"system","content":"p"}`); !errs.Is(err, errs.BadInput) {
		t.Errorf("no user message: got error %v", err)
	}
	recorder := httptest.NewRecorder()
	if err := s.setFault(recorder, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(`{"mode":"refuse"}`))); err != nil || strings.TrimSpace(recorder.Body.String()) != `{"mode":"refuse"}` {
		t.Fatalf("setting the fault: error %v, response %s", err, recorder.Body)
	}
	if _, err := s.complete(`{"role":"user","content":"hello"}`); !errs.Is(err, errs.NotReady) || errs.Of(err).RetryAfterUS != 1_000_000 {
		t.Errorf("with the reject fault: got error %v", err)
	}
	if log.Len() > 0 {
		t.Errorf("start log is not empty: %s", &log)
	}
}
