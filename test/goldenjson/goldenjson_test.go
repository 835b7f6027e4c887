package goldenjson

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Inner is embedded, and nested besides.
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

// A golden file that differs in one byte is told apart.
func TestCheckDetectsDifferences(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sample.json")
	for text, good := range map[string]bool{sampleGolden: true, strings.Replace(sampleGolden, "count", "total", 1): false, strings.Replace(sampleGolden, `"text":"",`, "", 1): false, sampleGolden + "\n": false} {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := Check(file, &sample{}); (err == nil) != good {
			t.Errorf("%s: told %v", text, err)
		}
	}
	if err := Check(filepath.Join(t.TempDir(), "none.json"), &sample{}); err == nil {
		t.Error("a golden file that is not there passed")
	}
}

// oneWay writes more than it reads.
type oneWay struct {
	Text string `json:"text"`
}

// UnmarshalJSON reads nothing.
func (*oneWay) UnmarshalJSON([]byte) error { return nil }

// A value that is not read back as it was written is told.
func TestCheckDetectsFailedRoundTrip(t *testing.T) {
	file := filepath.Join(t.TempDir(), "one-way.json")
	if err := os.WriteFile(file, []byte(`{"text":"text"}`+"\n"+`{"text":""}`+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := Check(file, &oneWay{}); err == nil {
		t.Error("a value that reads nothing passed")
	}
}

// A field whose key would follow its Go name is told, also where it lies deeper.
func TestFillRejectsFieldWithoutKey(t *testing.T) {
	type untagged struct {
		Text string `json:",omitempty"`
	}
	for _, pointer := range []any{&untagged{}, &[]map[string]untagged{}} {
		if err := Fill(pointer); err == nil {
			t.Errorf("%T passed", pointer)
		}
	}
}
