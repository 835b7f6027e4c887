package modelclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
)

// Request is a completion request to a model server.
type Request struct {
	Address       string // of the server: IP and port
	RequestID     string
	Model         string
	Prefix        string // the system message; "" for none
	Input         string // the user's message
	PartialOutput string // output of earlier attempts, to be continued
	MaxTokens     int64
	Priority      int          // 0 is the highest
	IdleTimeout   clock.Micros // maximum time until the next line of the response
}

// The roles of messages.
const (
	roleSystem    = "system"
	roleUser      = "user"
	roleAssistant = "assistant"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the JSON body of a request; the keys are those of the servers' wire format.
type completionRequest struct {
	Model                string    `json:"model"`
	Messages             []message `json:"messages"`
	MaxTokens            int64     `json:"max_tokens"`
	Stream               bool      `json:"stream"`
	User                 string    `json:"user,omitempty"`
	Priority             int       `json:"priority"`
	ContinueFinalMessage bool      `json:"continue_final_message,omitempty"`
	AddGenerationPrompt  *bool     `json:"add_generation_prompt,omitempty"`
}

// payload returns the body of the request. A partial output is sent as the beginning of the
// assistant's message, which the server continues.
func (r Request) payload() completionRequest {
	payload := completionRequest{
		Model:     r.Model,
		MaxTokens: r.MaxTokens,
		Stream:    true,
		User:      r.RequestID,
		Priority:  r.Priority,
	}
	if r.Prefix != "" {
		payload.Messages = append(payload.Messages, message{roleSystem, r.Prefix})
	}
	payload.Messages = append(payload.Messages, message{roleUser, r.Input})
	if r.PartialOutput != "" {
		addGenerationPrompt := false
		payload.Messages = append(payload.Messages, message{roleAssistant, r.PartialOutput})
		payload.ContinueFinalMessage = true
		payload.AddGenerationPrompt = &addGenerationPrompt
	}
	return payload
}

// httpRequest returns the request in its HTTP form.
func (r Request) httpRequest(ctx context.Context) (*http.Request, error) {
	data, err := json.Marshal(r.payload())
	if err != nil {
		return nil, errors.Wrap(err, "encoding the request")
	}
	// net/http can't rewind a body of this type, so that it never sends the request a second time.
	body := io.NopCloser(bytes.NewReader(data))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+"/v1/chat/completions", body)
	if err != nil {
		return nil, errors.Wrap(err, "creating the HTTP request")
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", r.RequestID)
	return request, nil
}
