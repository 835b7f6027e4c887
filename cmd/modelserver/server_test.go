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

// An output comes in chunks that follow from the input, its run is logged, and a partial
// output is gone on with.
func TestChatCompletion(t *testing.T) {
	var log bytes.Buffer
	s := newTestServer(&log)
	chunks := modelcontent.Chunks("hello", 4)
	got, err := s.complete(`{"role":"system","content":"p"},{"role":"user","content":"hello"}`)
	if err != nil || got.Code != http.StatusOK {
		t.Fatal(err, got.Code)
	}
	if events := strings.Count(got.Body.String(), `"object":"chat.completion.chunk"`); events != len(chunks) || !strings.HasSuffix(got.Body.String(), "data: [DONE]\n\n") {
		t.Errorf("%d events of %d chunks:\n%s", events, len(chunks), got.Body)
	}
	if lines := strings.Count(log.String(), "\n"); lines != 2 {
		t.Errorf("the log of starts has %d lines, not a start and an end:\n%s", lines, &log)
	}
	got, err = s.complete(`{"role":"user","content":"hello"},{"role":"assistant","content":"` + chunks[0] + `"}`)
	if err != nil {
		t.Fatal(err)
	}
	if events := strings.Count(got.Body.String(), `"object":"chat.completion.chunk"`); events != len(chunks)-1 {
		t.Errorf("%d events after the first of %d chunks", events, len(chunks))
	}
}

// A server that rejects says when to come back; requests without an input are invalid.
func TestRejections(t *testing.T) {
	var log bytes.Buffer
	s := newTestServer(&log)
	if _, err := s.complete(`{"role":"system","content":"p"}`); !errs.Is(err, errs.BadInput) {
		t.Errorf("without an input: %v", err)
	}
	recorder := httptest.NewRecorder()
	if err := s.setFault(recorder, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(`{"mode":"refuse"}`))); err != nil || strings.TrimSpace(recorder.Body.String()) != `{"mode":"refuse"}` {
		t.Fatalf("%v, answered %s", err, recorder.Body)
	}
	if _, err := s.complete(`{"role":"user","content":"hello"}`); !errs.Is(err, errs.NotReady) || errs.Of(err).RetryAfterUS != 1_000_000 {
		t.Errorf("while it rejects: %v", err)
	}
	if log.Len() > 0 {
		t.Errorf("a start was logged: %s", &log)
	}
}
