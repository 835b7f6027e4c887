package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// showStore prints a store's own description of its state.
func showStore(id string) command { return printDocument{path: pathStores + url.PathEscape(id)} }

// retirementChange is the request body, and retirement the response, of a call to start, poll or
// cancel a store's retirement.
type (
	retirementChange struct {
		Cancel bool `json:"back"`
	}
	retirement struct {
		Retired    bool `json:"retired"`
		ShardsLeft int  `json:"slots_left"`
	}
)

// retireStore starts moving a store's shards to other stores and waits until that is done.
type retireStore struct{ id string }

// Apply repeats the call until the store is retired; the first call starts the retirement, and
// later ones return its progress.
func (r retireStore) Apply(ctx context.Context, s *session) error {
	for last := -1; ; {
		state, err := s.callRetirement(ctx, r.id, retirementChange{})
		if err != nil {
			return err
		}
		if state.ShardsLeft != last {
			last = state.ShardsLeft
			s.printf(s.wording.dependentShards, r.id, state.ShardsLeft)
		}
		if state.Retired {
			s.printf("%s: retired; it may be switched off\n", r.id)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.env.retireInterval):
		}
	}
}

// cancelRetirement cancels a retirement that is in progress.
type cancelRetirement struct{ id string }

// Apply prints how many shards still depend on the store.
func (c cancelRetirement) Apply(ctx context.Context, s *session) error {
	state, err := s.callRetirement(ctx, c.id, retirementChange{Cancel: true})
	if err != nil {
		return err
	}
	s.printf(s.wording.dependentShards, c.id, state.ShardsLeft)
	if state.Retired {
		s.printf("%s: retired; it may be switched off\n", c.id)
	}
	return nil
}

func (s *session) callRetirement(ctx context.Context, id string, change retirementChange) (retirement, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return retirement{}, err
	}
	return send[retirement](ctx, s.client, http.MethodPost, pathStores+url.PathEscape(id)+suffixRetire, body)
}
