package shard

import (
	"reflect"
	"testing"
)

// A batch with bodies of arbitrary bytes is decoded unchanged. Truncated at any byte it is an
// error, never a batch that lacks something.
func TestEntryWithBodiesRoundTrip(t *testing.T) {
	submit := SubmitBatch{Batch: Batch{ID: "b", Tenant: "c", State: Open, Items: []Item{
		{ID: "1", Request: &Request{Target: "/x", Host: "h", Header: map[string]string{"a": "b"}, Body: []byte{0, 1, 255, '"', '}'}, Tokens: 7}},
		{ID: "2", Input: "text"},
		{ID: "3", Request: &Request{Target: "/y", Host: "h", Tokens: 9}},
		{ID: "4", Request: &Request{Target: "/z", Host: "h", Body: []byte("last"), Tokens: 1}},
	}}}
	data := Encode(submit)
	if data[0] != formatWithBodies {
		t.Fatal("the bodies do not follow the JSON")
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if items := got.(SubmitBatch).Batch.Items; !reflect.DeepEqual(items, submit.Batch.Items) {
		t.Fatalf("the items are decoded as %+v", items)
	}
	for cut := 1; cut < len(data); cut++ {
		if got, err := Decode(data[:cut]); err == nil {
			t.Fatalf("truncated at byte %d of %d it is decoded as %+v", cut, len(data), got)
		}
	}
	if _, err := Decode(append(data, 'x')); err == nil {
		t.Fatal("an additional byte was ignored")
	}
}

// Entries without bodies are plain JSON. Those of earlier releases, which have other white space,
// can be decoded too.
func TestEntryWithoutBodiesIsJSON(t *testing.T) {
	for _, e := range []Entry{SubmitBatch{Batch: Batch{ID: "b", Items: []Item{{ID: "1", Input: "x"}}}}, EndBatch{Batch: "b"}} {
		if back, err := Decode(Encode(e)); err != nil || back.kind() != e.kind() {
			t.Fatalf("%T: %v %v", e, back, err)
		}
	}
	if _, err := Decode([]byte(`{ "k": "end", "b": {"Bundle":"b"} }`)); err != nil {
		t.Fatal(err)
	}
}
