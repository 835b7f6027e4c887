package goldenjson

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// Inner has keys that no tag says.
type Inner struct {
	Untagged string
	Omitted  int `json:",omitempty"`
}

type sample struct {
	Inner
	Text   string           `json:"text"`
	Count  *int64           `json:"count"`
	Nested map[string]Inner `json:"nested"`
	Hidden string           `json:"-"`
}

const sampleGolden = `{"Untagged":"Untagged","Omitted":1,"text":"text","count":2,"nested":{"key of nested":{"Untagged":"Untagged","Omitted":3}}}` + "\n" +
	`{"Untagged":"","text":"","count":null,"nested":null}` + "\n"

// A golden file that differs in one byte is told apart.
func TestCheckTellsAKeyApart(t *testing.T) {
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
func TestCheckReadsBack(t *testing.T) {
	file := filepath.Join(t.TempDir(), "one-way.json")
	if err := os.WriteFile(file, []byte(`{"text":"text"}`+"\n"+`{"text":""}`+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := Check(file, &oneWay{}); err == nil {
		t.Error("a value that reads nothing passed")
	}
}

// Fields without a key of their own are listed, also where they lie deeper.
func TestFieldsWithoutAKeyAreListed(t *testing.T) {
	got := WithoutKey(reflect.TypeFor[[]sample]())
	if want := []string{"goldenjson.Inner.Untagged", "goldenjson.Inner.Omitted"}; !slices.Equal(got, want) {
		t.Errorf("listed %q, not %q", got, want)
	}
}
