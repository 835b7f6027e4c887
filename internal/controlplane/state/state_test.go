package state

import "testing"

// A name refers to the newest store that has it and is not evicted; the empty name refers to none.
func TestStoreNamedFindsNewest(t *testing.T) {
	s := New()
	for _, store := range []Store{{ID: "c", Peer: "1", Name: "m"}, {ID: "b", Peer: "2", Name: "m"}, {ID: "a", Peer: "3", Name: "m"}, {ID: "d", Peer: "4"}} {
		RegisterStore{store}.Apply(s)
	}
	RegisterStore{Store{ID: "e", Peer: "3", Name: "other"}}.Apply(s) // at the address of a, which this evicts
	for name, want := range map[string]string{"m": "b", "other": "e", "": "", "x": ""} {
		if store, newest := s.StoreNamed(name); store.ID != want || newest != (want != "") {
			t.Errorf("name %q: got store %q, want %q", name, store.ID, want)
		}
	}
	RegisterStore{Store{ID: "b", Peer: "2", Name: "n"}}.Apply(s)
	if store, _ := s.StoreNamed("m"); store.ID != "c" || s.Stores["b"].Writer != 2 {
		t.Errorf("after b was renamed, name m refers to %q, want c; or b lost its writer id", store.ID)
	}
}
