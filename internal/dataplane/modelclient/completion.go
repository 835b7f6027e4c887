// Package modelclient is a client for model servers and their published protocol (DESIGN §7.1):
// chat completions streamed as server-sent events, a health endpoint and a metrics endpoint.
//
// StreamCompletion and ReadLoad may be called by any number of goroutines. StreamCompletion makes
// one HTTP request and ReadLoad two. Neither retries: the caller decides by the Outcome.
package modelclient

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"tuliprudder/internal/clock"
)

const (
	// endMarker is the data of the last event of a stream.
	endMarker = "[DONE]"
	// maxLineBytes limits the length of a line of a stream.
	maxLineBytes = 1 << 20
	// lineBufferBytes is the initial size of the line buffer.
	lineBufferBytes = 4 << 10
)

// completionChunk is the JSON data of one event of a stream; the keys are those of the servers' wire format.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// StreamCompletion sends a request and calls onChunk with each chunk of the output as it arrives. An
// error returned by onChunk interrupts the request. The outcome is Complete only if the stream has
// both a finish reason and the end marker; the error is nil in this case only.
func StreamCompletion(ctx context.Context, r Request, onChunk func(string) error) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var headersWritten atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }})
	request, err := r.httpRequest(ctx)
	if err != nil {
		return NotStarted, err
	}
	timeout := clock.Duration(r.IdleTimeout)
	idleTimer := time.AfterFunc(timeout, cancel)
	defer idleTimer.Stop()
	response, err := httpc.DoRequest(request)
	if err != nil {
		if !headersWritten.Load() {
			return NotStarted, errors.Wrap(err, "connecting to the server")
		}
		return Interrupted, errors.Wrap(err, "no response from the server")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusOutcome(response)
	}
	return readStream(response.Body, func() { idleTimer.Reset(timeout) }, onChunk)
}

// statusOutcome returns the outcome of a response with a status other than 200. Servers reply with
// 429 and 503 only before they start a request.
func statusOutcome(response *http.Response) (Outcome, error) {
	status := response.StatusCode
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return NotStarted, errors.Errorf("the server did not start the request: %s", response.Status)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return Rejected, errors.Errorf("the server rejected the request: %s", response.Status)
	}
	return Interrupted, errors.Errorf("the server failed: %s", response.Status)
}

// readStream reads the events of a response. It calls onLine for each line.
func readStream(stream io.Reader, onLine func(), onChunk func(string) error) (Outcome, error) {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, lineBufferBytes), maxLineBytes)
	finished := false
	for lines.Scan() {
		onLine()
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == endMarker {
			if finished {
				return Complete, nil
			}
			return Interrupted, errors.New("the stream has its end marker but no finish reason")
		}
		hasFinishReason, err := readEvent(data, onChunk)
		if err != nil {
			return Interrupted, err
		}
		finished = finished || hasFinishReason
	}
	if err := lines.Err(); err != nil {
		return Interrupted, errors.Wrap(err, "the stream was interrupted")
	}
	return Interrupted, errors.New("the stream ended without its end marker")
}

// readEvent passes the chunks of one event to onChunk and reports whether the event has a finish reason.
func readEvent(data string, onChunk func(string) error) (hasFinishReason bool, err error) {
	var event completionChunk
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return false, errors.Wrap(err, "decoding an event of the stream")
	}
	if event.Error != nil {
		return false, errors.Errorf("the server reported an error: %s", event.Error.Message)
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != "" {
			if err := onChunk(choice.Delta.Content); err != nil {
				return false, err
			}
		}
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			hasFinishReason = true
		}
	}
	return hasFinishReason, nil
}
