package modelclient

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
)

const (
	chunkAB       = `data: {"choices":[{"delta":{"content":"ab"}}]}` + "\n\n"
	chunkC        = `data: {"choices":[{"delta":{"content":"c"}}]}` + "\n\n"
	finishedEvent = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	doneEvent     = "data: [DONE]\n\n"
)

func newRequest(address string) Request {
	return Request{Address: address, RequestID: "o", Model: "m", Input: "x", MaxTokens: 8, IdleTimeout: 20 * clock.Second}
}

// complete sends a request and returns its outcome, output and error.
func complete(t *testing.T, request Request) (outcome Outcome, output string, err error) {
	t.Helper()
	var text strings.Builder
	outcome, err = StreamCompletion(t.Context(), request, func(chunk string) error {
		text.WriteString(chunk)
		return nil
	})
	return outcome, text.String(), err
}

// A stream is complete only with both a finish reason and the end marker.
func TestStreamOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		stream, output string
		want           Outcome
	}{
		"complete":                     {chunkAB + chunkC + finishedEvent + doneEvent, "abc", Complete},
		"other lines and comments":     {": ping\n\nevent: x\n" + chunkAB + finishedEvent + doneEvent, "ab", Complete},
		"no end marker":                {chunkAB + finishedEvent, "ab", Interrupted},
		"no finish reason":             {chunkAB + doneEvent, "ab", Interrupted},
		"empty":                        {"", "", Interrupted},
		"not JSON":                     {chunkAB + "data: {oops\n\n" + finishedEvent + doneEvent, "ab", Interrupted},
		"an error":                     {chunkAB + `data: {"error":{"message":"out of memory"}}` + "\n\n", "ab", Interrupted},
		"a line longer than the limit": {chunkAB + "data: " + strings.Repeat("x", maxLineBytes) + "\n\n" + finishedEvent + doneEvent, "ab", Interrupted},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, c.stream) })
			outcome, output, err := complete(t, newRequest(address))
			if outcome != c.want || output != c.output || (err == nil) != (c.want == Complete) {
				t.Errorf("%s, output %q, error %v", outcome, output, err)
			}
		})
	}
}

// The status code of a response determines whether the request was started.
func TestStatusOutcomes(t *testing.T) {
	for status, want := range map[int]Outcome{
		http.StatusServiceUnavailable:  NotStarted,
		http.StatusTooManyRequests:     NotStarted,
		http.StatusBadRequest:          Rejected,
		http.StatusUnprocessableEntity: Rejected,
		http.StatusInternalServerError: Interrupted,
		http.StatusFound:               Interrupted, // redirects are not followed
	} {
		address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", "http://"+r.Host+"/elsewhere")
			w.WriteHeader(status)
		})
		if outcome, _, err := complete(t, newRequest(address)); outcome != want || err == nil {
			t.Errorf("status %d: outcome %s, error %v", status, outcome, err)
		}
	}
}

// A request that reached no server has not started. One whose connection breaks may have run.
func TestConnectionOutcomes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	if outcome, _, err := complete(t, newRequest(listener.Addr().String())); outcome != NotStarted || err == nil {
		t.Errorf("no server: outcome %s, error %v", outcome, err)
	}
	address := startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if outcome, _, err := complete(t, newRequest(address)); outcome != Interrupted || err == nil {
		t.Errorf("broken connection: outcome %s, error %v", outcome, err)
	}
}

// A request is interrupted if its server sends nothing during the idle time-out.
func TestIdleTimeout(t *testing.T) {
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, chunkAB)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	request := newRequest(address)
	request.IdleTimeout = 100 * clock.Millisecond
	if outcome, _, err := complete(t, request); outcome != Interrupted || err == nil {
		t.Errorf("outcome %s, error %v", outcome, err)
	}
}

// An error returned by onChunk interrupts the request.
func TestReaderError(t *testing.T) {
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, chunkAB+chunkC+finishedEvent+doneEvent)
	})
	full := errors.New("full")
	outcome, err := StreamCompletion(t.Context(), newRequest(address), func(string) error { return full })
	if outcome != Interrupted || !errors.Is(err, full) {
		t.Errorf("outcome %s, error %v", outcome, err)
	}
}

// The request carries its prefix, input and partial output as messages, and its ID in a header.
func TestRequestAsSent(t *testing.T) {
	type sent struct {
		path, id string
		body     completionRequest
	}
	received := make(chan sent, 1)
	address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		request := sent{path: r.Method + " " + r.URL.Path, id: r.Header.Get("X-Request-Id")}
		if err := json.NewDecoder(r.Body).Decode(&request.body); err != nil {
			t.Error(err)
		}
		received <- request
	})
	request := newRequest(address)
	request.Prefix, request.PartialOutput, request.Priority = "be brief", "begun", 2
	complete(t, request)
	addGenerationPrompt := false
	want := sent{"POST /v1/chat/completions", "o", completionRequest{
		Model:                "m",
		Messages:             []message{{"system", "be brief"}, {"user", "x"}, {"assistant", "begun"}},
		MaxTokens:            8,
		Stream:               true,
		User:                 "o",
		Priority:             2,
		ContinueFinalMessage: true,
		AddGenerationPrompt:  &addGenerationPrompt,
	}}
	if got := <-received; !reflect.DeepEqual(got, want) {
		t.Errorf("sent %+v, want %+v", got, want)
	}
}
