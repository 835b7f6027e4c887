package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// showStore prints what a store says of itself.
func showStore(id string) command { return printDocument{path: pathStores + url.PathEscape(id)} }

// retirement is the body and the response of a call on a store's retirement.
type (
	retirementChange struct {
		Cancel bool `json:"back"`
	}
	retirement struct {
		Retired    bool `json:"retired"`
		ShardsLeft int  `json:"slots_left"`
	}
)

// retireStore has a store's shards moved to others, and waits for the end of it.
type retireStore struct{ id string }

// Apply repeats the call, which starts the retirement or reports how far it is.
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

// cancelRetirement ends a retirement that is under way.
type cancelRetirement struct{ id string }

// Apply prints how many shards depend on the store now.
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
