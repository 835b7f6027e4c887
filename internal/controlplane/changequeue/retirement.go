package changequeue

import (
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
)

// Retirement is a request to retire a store. It is decided when its turn comes, so that
// concurrent requests are decided one after the other (DESIGN §8.4, §12.7).
type Retirement struct {
	ID       string // of the store; "": the store is identified by Name
	Name     string
	Cancel   bool // the retirement is to be cancelled
	ReadOnly bool // only report the progress

	decidedID string
}

// StoreID returns the id of the store that the request refers to, once it is decided.
func (r *Retirement) StoreID() string { return r.decidedID }

// decide returns the entry that marks a store as retiring or removes the mark. The entry is nil if
// there is nothing to change, and the error is not nil if the store cannot be retired.
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

// find returns the store that the request refers to.
func (r *Retirement) find(current *state.State) (state.Store, error) {
	if r.ID == "" {
		store, known := current.StoreNamed(r.Name)
		if !known {
			return store, errs.New(errs.NotFound, "list the stores to see the names that exist", "there is no store named %q", r.Name)
		}
		return store, nil
	}
	store, known := current.Stores[r.ID]
	if !known {
		return store, errs.New(errs.NotFound, "list the stores to see the ids that exist", "there is no registered store %q", r.ID)
	}
	return store, nil
}
