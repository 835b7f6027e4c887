package state

import (
	"maps"
	"slices"
)

// Apply registers the store, or writes down what changed; a known store keeps its writer id.
func (e RegisterStore) Apply(s *State) {
	store := e.Store
	if known, ok := s.Stores[store.ID]; ok {
		store.Writer, store.Retiring, store.Retired = known.Writer, known.Retiring, known.Retired
	} else {
		store.Writer = s.NextWriter
		s.NextWriter++
		// An empty store at the address of another: that one's disk is lost for good.
		for _, id := range s.StoresAt(store.Peer) {
			departed := s.Stores[id]
			departed.Evicted = true
			s.setStore(departed)
		}
	}
	s.setStore(store)
	s.pruneDepartedStores()
}

// maxDepartedStores is how many stores that are evicted or retired, and that no shard
// refers to, stay in the state: for a while one that comes back is still recognised.
const maxDepartedStores = 16

// pruneDepartedStores drops the oldest of the departed stores. Their writer ids
// are not given again.
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

// StoresAt lists the stores that count and were last heard at an address.
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

// StoreNamed finds the store that has the operator's name: one that is not evicted, the
// newest where there are several.
func (s *State) StoreNamed(name string) (Store, bool) {
	var newest Store
	for _, store := range s.Stores {
		if name != "" && store.Name == name && !store.Evicted && store.Writer > newest.Writer {
			newest = store
		}
	}
	return newest, newest.ID != ""
}

// setStore replaces the map, which may have been handed out.
func (s *State) setStore(store Store) {
	stores := make(map[string]Store, len(s.Stores)+1)
	for id, known := range s.Stores {
		stores[id] = known
	}
	stores[store.ID] = store
	s.Stores = stores
}

// Apply marks the store.
func (e Retire) Apply(s *State) {
	if store, ok := s.Stores[e.ID]; ok {
		store.Retiring, store.Retired = !e.Cancel, e.Done && !e.Cancel
		s.setStore(store)
		s.pruneDepartedStores()
	}
}
