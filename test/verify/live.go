package verify

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

// LiveRequest records one live request as its caller observed it.
type LiveRequest struct {
	Input, Route string
	Key          string // API key
	AtMostOnce   bool   // must run at most once
	Outcome      Outcome
	Output       string
	EndSeen      bool   // the end event of the stream was received
	ErrorKind    string // "" means no error
	SentAt       int64  // microseconds since the Unix epoch
	AnsweredAt   int64  // microseconds since the Unix epoch; 0 until answered
}

// Routes that live callers use.
const (
	oneShotRoute = "verdict"
	streamRoute  = "label"
)

// pauseAfterFailure is how long a live caller waits after a request that did not succeed.
const pauseAfterFailure = 100 * time.Millisecond

// addLive records a request before it is sent.
func (t *Workload) addLive(l *LiveRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.liveRequests = append(t.liveRequests, l)
}

// liveResult is the result of a live request.
type liveResult struct {
	outcome   Outcome
	output    string
	endSeen   bool
	errorKind string
}

// recordLive records the result of a request, and pauses the caller if the request did not
// succeed.
func (t *Workload) recordLive(l *LiveRequest, result liveResult) {
	t.mu.Lock()
	l.Outcome = result.outcome
	l.Output = result.output
	l.EndSeen = result.endSeen
	l.ErrorKind = result.errorKind
	l.AnsweredAt = nowMicros()
	t.mu.Unlock()
	if result.outcome != OK {
		time.Sleep(pauseAfterFailure)
	}
}

// sendLive sends one live request, either one-shot or streaming.
func (t *Workload) sendLive(ctx context.Context, rng *rand.Rand) {
	key := t.LiveKeys[rng.Intn(len(t.LiveKeys))]
	if rng.Intn(2) == 0 {
		t.sendStream(ctx, rng, key)
		return
	}
	t.sendOneShot(ctx, rng, key)
}

func liveCall(route, key, input string) apiCall {
	return apiCall{
		method: http.MethodPost,
		path:   "/v1/routes/" + route + "/orders",
		apiKey: key,
		body:   map[string]string{"input": input},
	}
}

// sendOneShot sends a one-shot request; one in three has an idempotency key.
func (t *Workload) sendOneShot(ctx context.Context, rng *rand.Rand, key string) {
	l := &LiveRequest{Input: t.uniqueName("once"), Route: oneShotRoute, SentAt: nowMicros(), AtMostOnce: true, Key: key}
	t.addLive(l)
	request := liveCall(l.Route, key, l.Input)
	if rng.Intn(3) == 0 {
		request.idempotencyKey = "k-" + l.Input
	}
	got, err := t.call(ctx, t.randomEdge(rng), request)
	result := liveResult{outcome: got.outcome(err), output: readOutput(got), errorKind: got.errorKind}
	if request.idempotencyKey != "" && (result.outcome == Unknown || rng.Intn(2) == 0) {
		t.resend(ctx, rng, request, l, &result)
	}
	t.recordLive(l, result)
}

// resend repeats a request with the same idempotency key at a random edge. The repetition must
// not run a second time and must return the first answer.
func (t *Workload) resend(ctx context.Context, rng *rand.Rand, request apiCall, l *LiveRequest, first *liveResult) {
	response, err := t.call(ctx, t.randomEdge(rng), request)
	second := response.outcome(err)
	if first.outcome == OK && second == OK && readOutput(response) != first.output {
		t.addViolation(guaranteeSingleRun, "a repeated idempotency key got a different answer: %s", l.Input)
	}
	if second == OK {
		first.outcome, first.output = OK, readOutput(response)
	}
	if first.outcome == Rejected && second != Rejected {
		first.outcome = second
	}
	t.addCount("keys repeated", 1)
}

func readOutput(a callResult) string {
	var body struct {
		Output string `json:"output"`
	}
	json.Unmarshal(a.body, &body) // an error response has no output
	return body.Output
}

// sendStream sends a request and reads its streamed answer.
func (t *Workload) sendStream(ctx context.Context, rng *rand.Rand, key string) {
	l := &LiveRequest{Input: t.uniqueName("stream"), Route: streamRoute, SentAt: nowMicros(), Key: key}
	t.addLive(l)
	request, err := liveCall(l.Route, key, l.Input).newRequest(ctx, t.randomEdge(rng))
	if err != nil {
		return
	}
	t.recordLive(l, t.streamResult(request))
}

func (t *Workload) streamResult(request *http.Request) liveResult {
	result := liveResult{outcome: Unknown}
	response, err := t.client.Do(request)
	if err != nil {
		return result
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body) // a truncated body has no error kind
		result.errorKind = errorKind(body)
		result.outcome = callResult{status: response.StatusCode, errorKind: result.errorKind}.outcome(nil)
		return result
	}
	result.output, result.endSeen = readStream(response.Body)
	if result.endSeen {
		result.outcome = OK
	}
	return result
}

// readStream concatenates the chunks of a stream of server-sent events; complete reports whether
// the end event was received. The event names are those of the HTTP API.
func readStream(body io.Reader) (text string, complete bool) {
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
			var chunk struct {
				Text string `json:"text"`
			}
			json.Unmarshal([]byte(data), &chunk)
			text += chunk.Text
		case "end":
			return text, true
		case "error":
			return text, false
		}
	}
	return text, false
}
