// Package gateway serves callers at an edge (DESIGN §7): one function an order,
// read from top to bottom. What is decided, the edge's machine decides
// (path/trek); the sockets are here.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/httpserver"
)

// Settings of the gate; the defaults are ours.
type Settings struct {
	MaxOutputBytes int
	MaxLongPoll    clock.Micros // longest long poll
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MaxOutputBytes: 256 << 10, MaxLongPoll: 30 * clock.Second}
}

// MachineCaller asks the edge's machine on behalf of a caller; left is what it is told
// if the caller leaves first.
type MachineCaller func(ctx context.Context, body, onDisconnect any, timeout time.Duration) (any, error)

// Handler is the edge daemon's front.
type Handler struct {
	Settings    Settings
	CallMachine MachineCaller
	Notify      func(body any) // tells the machine something that has no answer
	Now         func() clock.Micros
}

// RegisterRoutes hangs the callers' paths on the httpserver.
func (h *Handler) RegisterRoutes(server *httpserver.Server) {
	server.Handle(http.MethodPost, "/v1/routes/:route/orders", h.SubmitRequest)
	server.Handle(http.MethodPost, "/v1/routes/:route/bundles", h.SubmitBatch)
	server.Handle(http.MethodGet, "/v1/bundles/:bundle", h.BatchStatus)
	server.Handle(http.MethodDelete, "/v1/bundles/:bundle", h.CancelBatch)
	server.Handle(http.MethodGet, "/v1/bundles/:bundle/results", h.BatchResults)
	server.Handle(http.MethodGet, "/v1/results", h.Feed)
}

// NewID makes a name for an order that nobody else has.
func NewID() string {
	var random [8]byte
	rand.Read(random[:])
	return "o-" + hex.EncodeToString(random[:])
}

// apiKey is the key the caller carries; "" when it carries none.
func apiKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// machineTimeout is how long the machine may take for an answer before something is
// wrong with it: every order and ask in it has an deadline of its own.
const machineTimeout = 2 * time.Hour

// callMachine asks the machine and expects an answer of one type.
func callMachine[T any](h *Handler, r *http.Request, body, onDisconnect any) (T, error) {
	got, err := h.CallMachine(r.Context(), body, onDisconnect, machineTimeout)
	response, ok := got.(T)
	if err == nil && !ok {
		err = errs.New(errs.ServerFault, "run the same release on all daemons", "the answer was %T", got)
	}
	return response, err
}

// SubmitRequestBody is a live order.
type SubmitRequestBody struct {
	Input     string `json:"input"`
	MaxTokens int64  `json:"max_tokens"`
	TimeoutUS int64  `json:"expiry_us"`
}

// SubmitRequest serves one live order of any kind: the machine says on which server it is
// run, hears how that went, and says what is next.
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
	w.Header().Set("X-Order", requestID)
	out := &chunkWriter{w: w, requestID: requestID, maxBytes: h.Settings.MaxOutputBytes}
	var next any = requests.LiveRequest{ID: requestID, APIKey: apiKey(r), Route: pathParameter(r, "route"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Input: body.Input, MaxTokens: body.MaxTokens, TimeoutUS: body.TimeoutUS}
	for {
		decision, err := h.CallMachine(r.Context(), next, requests.CallerDisconnected{RequestID: requestID}, machineTimeout)
		if err != nil {
			return out.writeError(err)
		}
		switch action := decision.(type) {
		case requests.Attempt:
			out.streaming = action.RouteKind != config.OneShot
			next = h.runAttempt(r.Context(), action, out)
		case requests.Response:
			if action.Replayed {
				w.Header().Set("Idempotency-Replayed", "true")
			}
			return out.complete(action)
		default:
			return errs.New(errs.ServerFault, "run the same release on all daemons", "the answer was %T", decision)
		}
	}
}

// runAttempt runs one try on its server, and tells how it went.
func (h *Handler) runAttempt(ctx context.Context, attempt requests.Attempt, out *chunkWriter) requests.AttemptResult {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(attempt.Deadline-h.Now()))
	defer cancel()
	started := false
	outcome, err := modelclient.StreamCompletion(ctx, attempt.Request, func(text string) error {
		if !started {
			started = true
			h.Notify(requests.AttemptStarted{RequestID: attempt.Request.RequestID})
		}
		return out.writeChunk(text)
	})
	result := requests.AttemptResult{RequestID: attempt.Request.RequestID, Outcome: outcome, Output: out.text.String(), ContextDone: ctx.Err() != nil}
	if err != nil {
		result.Reason = err.Error()
	}
	return result
}
