package state

import (
	"maps"
	"slices"
)

// Apply registers the store, or records what changed. A known store keeps its writer id and its
// retirement marks.
func (e RegisterStore) Apply(s *State) {
	store := e.Store
	if known, ok := s.Stores[store.ID]; ok {
		store.Writer, store.Retiring, store.Retired = known.Writer, known.Retiring, known.Retired
	} else {
		store.Writer = s.NextWriter
		s.NextWriter++
		// A new store runs at the address of another one, whose disk is therefore lost for good.
		for _, id := range s.StoresAt(store.Peer) {
			departed := s.Stores[id]
			departed.Evicted = true
			s.setStore(departed)
		}
	}
	s.setStore(store)
	s.pruneDepartedStores()
}

// maxDepartedStores is how many evicted or retired stores that no shard refers to stay in
// the state, so that a store that comes back soon is still recognised.
const maxDepartedStores = 16

// pruneDepartedStores drops the oldest departed stores above maxDepartedStores. Their
// writer ids are not reused.
func (s *State) pruneDepartedStores() {
	var departed []Store
	for _, store := range s.Stores {
		if (store.Evicted || store.Retired) && !s.refersTo(store.ID) {
			departed = append(departed, store)
		}
	}
	if len(departed) <= maxDepartedStores {
		return
	}
	slices.SortFunc(departed, func(a, b Store) int { return a.Writer - b.Writer })
	kept := maps.Clone(s.Stores)
	for _, store := range departed[:len(departed)-maxDepartedStores] {
		delete(kept, store.ID)
	}
	s.Stores = kept
}

// StoresAt returns the ids of the stores, sorted, that are registered at an address and not
// evicted.
func (s *State) StoresAt(peer string) []string {
	var out []string
	for id, store := range s.Stores {
		if store.Peer == peer && !store.Evicted {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// StoreNamed returns the store with the name that the operator gave to its machine. Evicted stores
// are skipped; if there are several others, it returns the newest.
func (s *State) StoreNamed(name string) (Store, bool) {
	var newest Store
	for _, store := range s.Stores {
		if name != "" && store.Name == name && !store.Evicted && store.Writer > newest.Writer {
			newest = store
		}
	}
	return newest, newest.ID != ""
}

// setStore sets a store in a copy of the map, because callers of Map may hold the old one.
func (s *State) setStore(store Store) {
	stores := make(map[string]Store, len(s.Stores)+1)
	for id, known := range s.Stores {
		stores[id] = known
	}
	stores[store.ID] = store
	s.Stores = stores
}

// Apply sets or removes the store's retirement marks.
func (e Retire) Apply(s *State) {
	if store, ok := s.Stores[e.ID]; ok {
		store.Retiring, store.Retired = !e.Cancel, e.Done && !e.Cancel
		s.setStore(store)
		s.pruneDepartedStores()
	}
}
