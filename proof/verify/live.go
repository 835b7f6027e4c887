package verify

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

// Live is one live order as its caller saw it.
type Live struct {
	Input, Route       string
	Outcome            Outcome
	Output             string
	Ended              bool // a stream with its end mark
	SentAt, AnsweredAt int64
	Kind               string
	Key                string
	Once               bool
}

func (t *Workload) live(ctx context.Context, chance *rand.Rand) {
	key := t.LiveKeys[chance.Intn(len(t.LiveKeys))]
	if chance.Intn(2) == 0 {
		t.stream(ctx, chance, key)
		return
	}
	l := &Live{Input: t.name("once"), Route: "verdict", SentAt: now(), Once: true, Key: key}
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
			t.addBreach(promiseOnce, "a repeated key got another answer: %s", l.Input)
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
	l.Outcome, l.Output, l.AnsweredAt, l.Kind = outcome, output, now(), got.kind
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

func (t *Workload) stream(ctx context.Context, chance *rand.Rand, key string) {
	l := &Live{Input: t.name("stream"), Route: "label", SentAt: now(), Key: key}
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
	l.Outcome, l.Output, l.Ended, l.AnsweredAt, l.Kind = outcome, output, ended, now(), kind
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
