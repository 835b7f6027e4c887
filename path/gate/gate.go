// Package gate serves callers at an edge (DESIGN §7): one function an order,
// read from top to bottom. What is decided, the edge's machine decides
// (path/trek); the sockets are here.
package gate

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/httpserver"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/requests"
)

// Settings of the gate; the defaults are ours.
type Settings struct {
	MostBytes int
	MostWait  clock.Micros // longest long poll
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MostBytes: 256 << 10, MostWait: 30 * clock.Second}
}

// Machine asks the edge's machine on behalf of a caller; left is what it is told
// if the caller leaves first.
type Machine func(ctx context.Context, body, left any, most time.Duration) (any, error)

// Gate is the edge daemon's front.
type Gate struct {
	Set     Settings
	Machine Machine
	Word    func(body any) // tells the machine something that has no answer
	Clock   func() clock.Micros
}

// Routes hangs the callers' paths on the httpserver.
func (g *Gate) Routes(p *httpserver.Server) {
	p.Handle(http.MethodPost, "/v1/routes/:route/orders", g.Live)
	p.Handle(http.MethodPost, "/v1/routes/:route/bundles", g.Bundle)
	p.Handle(http.MethodGet, "/v1/bundles/:bundle", g.Status)
	p.Handle(http.MethodDelete, "/v1/bundles/:bundle", g.End)
	p.Handle(http.MethodGet, "/v1/bundles/:bundle/results", g.Results)
	p.Handle(http.MethodGet, "/v1/results", g.Feed)
}

// NewName makes a name for an order that nobody else has.
func NewName() string {
	var random [8]byte
	rand.Read(random[:])
	return "o-" + hex.EncodeToString(random[:])
}

// caller is the key the caller carries; "" when it carries none.
func caller(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// patience is how long the machine may take for an answer before something is
// wrong with it: every order and ask in it has an expiry of its own.
const patience = 2 * time.Hour

// ask asks the machine and expects an answer of one type.
func ask[T any](g *Gate, r *http.Request, body, left any) (T, error) {
	got, err := g.Machine(r.Context(), body, left, patience)
	answer, ok := got.(T)
	if err == nil && !ok {
		err = errs.New(errs.ServerFault, "run the same release on all daemons", "the answer was %T", got)
	}
	return answer, err
}

// LiveBody is a live order.
type LiveBody struct {
	Input     string `json:"input"`
	MaxTokens int64  `json:"max_tokens"`
	ExpiryUS  int64  `json:"expiry_us"`
}

// Live serves one live order of any kind: the machine says on which server it is
// run, hears how that went, and says what is next.
func (g *Gate) Live(w http.ResponseWriter, r *http.Request) error {
	data, err := httpserver.ReadBody(r)
	if err != nil {
		return err
	}
	var body LiveBody
	if err := httpserver.Decode(data, &body); err != nil {
		return err
	}
	order := NewName()
	w.Header().Set("X-Order", order)
	out := &outlet{w: w, order: order, most: g.Set.MostBytes}
	var next any = requests.Live{Order: order, Caller: caller(r), Route: porchVar(r, "route"), Key: r.Header.Get("Idempotency-Key"),
		Input: body.Input, MaxTokens: body.MaxTokens, ExpiryUS: body.ExpiryUS}
	for {
		word, err := g.Machine(r.Context(), next, requests.Left{Order: order}, patience)
		if err != nil {
			return out.cut(err)
		}
		switch said := word.(type) {
		case requests.Run:
			out.streams = said.Kind != config.OneShot
			next = g.run(r.Context(), said, out)
		case requests.Answer:
			if said.Replayed {
				w.Header().Set("Idempotency-Replayed", "true")
			}
			return out.end(said)
		default:
			return errs.New(errs.ServerFault, "run the same release on all daemons", "the answer was %T", word)
		}
	}
}

// run runs one try on its server, and tells how it went.
func (g *Gate) run(ctx context.Context, said requests.Run, out *outlet) requests.Ran {
	ctx, cancel := context.WithTimeout(ctx, clock.Span(said.Expiry-g.Clock()))
	defer cancel()
	began := false
	outcome, err := modelclient.Run(ctx, said.Request, func(text string) error {
		if !began {
			began = true
			g.Word(requests.Began{Order: said.Request.Order})
		}
		return out.piece(text)
	})
	ran := requests.Ran{Order: said.Request.Order, Outcome: outcome, Output: out.text.String(), Over: ctx.Err() != nil}
	if err != nil {
		ran.Why = err.Error()
	}
	return ran
}
