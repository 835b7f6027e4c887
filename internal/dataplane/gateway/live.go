package gateway

import (
	"context"
	"net/http"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/httpserver"
)

// SubmitRequestBody is the JSON body of a live request.
type SubmitRequestBody struct {
	Input     string `json:"input"`
	MaxTokens int64  `json:"max_tokens"` // 0: the route's limit
	TimeoutUS int64  `json:"expiry_us"`  // microseconds from now; 0: the route's time-out
}

// SubmitRequest serves a live request of any kind: it carries out the state machine's decisions,
// attempt by attempt, until one completes the request. A returned error is the caller's final
// response.
func (h *Handler) SubmitRequest(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body SubmitRequestBody
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	requestID := NewID()
	w.Header().Set(headerRequestID, requestID)
	out := &chunkWriter{w: w, requestID: requestID, maxBytes: h.Settings.MaxOutputBytes}
	return h.runRequest(r.Context(), out, requests.LiveRequest{
		ID:             requestID,
		APIKey:         apiKey(r),
		Route:          pathParameter(r, parameterRoute),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Input:          body.Input,
		MaxTokens:      body.MaxTokens,
		TimeoutUS:      body.TimeoutUS,
	})
}

func (h *Handler) runRequest(ctx context.Context, out *chunkWriter, request requests.LiveRequest) error {
	var input requests.Input = request
	for {
		decision, err := h.decide(ctx, request.ID, input)
		if err != nil {
			return out.writeError(err)
		}
		switch decision := decision.(type) {
		case requests.Attempt:
			out.streaming = decision.RouteKind != config.OneShot
			input = h.runAttempt(ctx, decision, out)
		case requests.Response:
			return out.complete(decision)
		default:
			return unexpectedReplyError(decision)
		}
	}
}

// runAttempt runs one attempt on its server and returns the result.
func (h *Handler) runAttempt(ctx context.Context, attempt requests.Attempt, out *chunkWriter) requests.AttemptResult {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(attempt.Deadline-h.Now()))
	defer cancel()
	requestID := attempt.Request.RequestID
	started := false
	outcome, err := modelclient.StreamCompletion(ctx, attempt.Request, func(text string) error {
		if !started {
			started = true
			h.reportStarted(requests.AttemptStarted{RequestID: requestID})
		}
		return out.writeChunk(text)
	})
	result := requests.AttemptResult{
		RequestID:   requestID,
		Outcome:     outcome,
		Output:      out.text.String(),
		ContextDone: ctx.Err() != nil,
	}
	if err != nil {
		result.Reason = err.Error()
	}
	return result
}
