package state

import "testing"

// The operator's name means the newest store that has it and is not struck; no name
// means none.
func TestTheNewestStoreOfAName(t *testing.T) {
	c := New()
	for _, store := range []Store{{ID: "c", Peer: "1", Name: "m"}, {ID: "b", Peer: "2", Name: "m"}, {ID: "a", Peer: "3", Name: "m"}, {ID: "d", Peer: "4"}} {
		EnrolStore{store}.Apply(c)
	}
	EnrolStore{Store{ID: "e", Peer: "3", Name: "other"}}.Apply(c) // at the address of a, which is struck
	for name, want := range map[string]string{"m": "b", "other": "e", "": "", "x": ""} {
		if store, found := c.Named(name); store.ID != want || found != (want != "") {
			t.Errorf("%q means %q, not %q", name, store.ID, want)
		}
	}
	EnrolStore{Store{ID: "b", Peer: "2", Name: "n"}}.Apply(c)
	if store, _ := c.Named("m"); store.ID != "c" || c.Stores["b"].Writer != 2 {
		t.Errorf("after b got another name m means %q", store.ID)
	}
}
