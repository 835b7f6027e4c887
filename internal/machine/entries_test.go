package machine

import "testing"

type change interface{ text() string }

type old struct{ Text string }

func (o old) text() string { return o.Text }

// A field that only another release has is ignored. A kind of change that this release does not know
// is an error: ignoring it would make the replicas diverge.
func TestUnknownFieldIsIgnoredAndUnknownKindRejected(t *testing.T) {
	entries := EntryCodec[change]{"old": Decoder(func(o old) change { return o })}
	got, err := entries.Decode([]byte(`{"k":"old","b":{"Text":"x","Colour":"red"}}`))
	if err != nil || got.text() != "x" {
		t.Fatalf("decoding a change with an unknown field: %v %v", got, err)
	}
	if _, err := entries.Decode([]byte(`{"k":"new","b":{}}`)); err == nil {
		t.Fatal("an unknown kind of change was ignored")
	}
	back, err := entries.Decode(entries.Encode("old", old{"y"}))
	if err != nil || back.text() != "y" {
		t.Fatalf("decoding what was encoded: %v %v", back, err)
	}
}
