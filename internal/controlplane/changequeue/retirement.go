package changequeue

import (
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
)

// Retirement is a request to retire a store, to be decided at its turn: two that come
// at once are decided one after the other (DESIGN §8.4, §12.7).
type Retirement struct {
	ID       string // of the store; "": the store that the operator calls Name
	Name     string
	Cancel   bool // the store is to stay
	ReadOnly bool // only look how far it is

	decidedID string
}

// StoreID is the store that the request is about once it is decided.
func (r *Retirement) StoreID() string { return r.decidedID }

// decide marks a store as retiring, where the fleet can do without it; the entry is nil
// where there is nothing to change.
func (r *Retirement) decide(current *state.State, canRetire func(id string) error) (state.Entry, error) {
	store, err := r.find(current)
	if err != nil {
		return nil, err
	}
	if r.ReadOnly || store.Retiring != r.Cancel {
		r.decidedID = store.ID
		return nil, nil
	}
	if !r.Cancel {
		if err := canRetire(store.ID); err != nil {
			return nil, err
		}
	}
	r.decidedID = store.ID
	return state.Retire{ID: store.ID, Cancel: r.Cancel}, nil
}

// find looks the store up.
func (r *Retirement) find(current *state.State) (state.Store, error) {
	if r.ID == "" {
		store, known := current.StoreNamed(r.Name)
		if !known {
			return store, errs.New(errs.NotFound, "list the stores to see the names that exist", "no store is called %q", r.Name)
		}
		return store, nil
	}
	store, known := current.Stores[r.ID]
	if !known {
		return store, errs.New(errs.NotFound, "list the stores to see the ids that exist", "no store %q is registered", r.ID)
	}
	return store, nil
}
