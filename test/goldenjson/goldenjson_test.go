package goldenjson

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Inner is both embedded and nested.
type Inner struct {
	Plain   string `json:"plain"`
	Omitted int    `json:"omitted,omitempty"`
}

type sample struct {
	Inner
	Text   string           `json:"text"`
	Count  *int64           `json:"count"`
	Nested map[string]Inner `json:"nested"`
	Hidden string           `json:"-"`
}

const sampleGolden = `{"plain":"plain","omitted":1,"text":"text","count":2,"nested":{"key of nested":{"plain":"plain","omitted":3}}}` + "\n" +
	`{"plain":"","text":"","count":null,"nested":null}` + "\n"

// A golden file that differs in a key, a field or one byte is an error, and so is a missing file.
func TestCheckDetectsDifferences(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sample.json")
	for text, good := range map[string]bool{sampleGolden: true, strings.Replace(sampleGolden, "count", "total", 1): false, strings.Replace(sampleGolden, `"text":"",`, "", 1): false, sampleGolden + "\n": false} {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := Check(file, &sample{}); (err == nil) != good {
			t.Errorf("%s: unexpected result of Check: %v", text, err)
		}
	}
	if err := Check(filepath.Join(t.TempDir(), "none.json"), &sample{}); err == nil {
		t.Error("a missing golden file is accepted")
	}
}

// oneWay encodes a field that it does not decode.
type oneWay struct {
	Text string `json:"text"`
}

// UnmarshalJSON ignores its input.
func (*oneWay) UnmarshalJSON([]byte) error { return nil }

// A value that does not decode to what was encoded is an error.
func TestCheckDetectsFailedRoundTrip(t *testing.T) {
	file := filepath.Join(t.TempDir(), "one-way.json")
	if err := os.WriteFile(file, []byte(`{"text":"text"}`+"\n"+`{"text":""}`+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := Check(file, &oneWay{}); err == nil {
		t.Error("a value that decodes nothing is accepted")
	}
}

// A field whose key would follow its Go name is an error, also in nested values.
func TestFillRejectsFieldWithoutKey(t *testing.T) {
	type untagged struct {
		Text string `json:",omitempty"`
	}
	for _, pointer := range []any{&untagged{}, &[]map[string]untagged{}} {
		if err := Fill(pointer); err == nil {
			t.Errorf("%T is accepted, want an error", pointer)
		}
	}
}
