package shard

import (
	"reflect"
	"testing"
)

// A batch with bodies comes back as it was, whatever bytes they are; cut anywhere it
// is an error, never a batch with less in it.
func TestBodiesComeBack(t *testing.T) {
	submit := SubmitBatch{Batch: Batch{ID: "b", Tenant: "c", State: Open, Items: []Item{
		{ID: "1", Request: &Request{Target: "/x", Host: "h", Header: map[string]string{"a": "b"}, Body: []byte{0, 1, 255, '"', '}'}, Tokens: 7}},
		{ID: "2", Input: "text"},
		{ID: "3", Request: &Request{Target: "/y", Host: "h", Tokens: 9}},
		{ID: "4", Request: &Request{Target: "/z", Host: "h", Body: []byte("last"), Tokens: 1}},
	}}}
	data := Encode(submit)
	if data[0] != rawFormat {
		t.Fatal("the bodies do not lie behind the rest")
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for i, item := range got.(SubmitBatch).Batch.Items {
		want := submit.Batch.Items[i]
		if item.ID != want.ID || (item.Request == nil) != (want.Request == nil) || item.Request != nil && (string(item.Request.Body) != string(want.Request.Body) || item.Request.Tokens != want.Request.Tokens || !reflect.DeepEqual(item.Request.Header, want.Request.Header)) {
			t.Fatalf("item %d came back as %+v", i, item)
		}
	}
	for cut := 1; cut < len(data); cut++ {
		if got, err := Decode(data[:cut]); err == nil {
			t.Fatalf("cut at %d of %d it is %+v", cut, len(data), got)
		}
	}
	if _, err := Decode(append(data, 'x')); err == nil {
		t.Fatal("a byte too many was passed over")
	}
	// One without bodies, and one of the release before, are JSON.
	for _, e := range []Entry{SubmitBatch{Batch: Batch{ID: "b", Items: []Item{{ID: "1", Input: "x"}}}}, EndBatch{Batch: "b"}} {
		if back, err := Decode(Encode(e)); err != nil || back.kind() != e.kind() {
			t.Fatalf("%T: %v %v", e, back, err)
		}
	}
	if _, err := Decode([]byte(`{ "k": "end", "b": {"Bundle":"b"} }`)); err != nil {
		t.Fatal(err)
	}
}
