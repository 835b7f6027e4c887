package storedformat

import (
	"bytes"
	"encoding/binary"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/machine"
)

// What this build writes is of the same forms as what the earlier build wrote: the units
// and kinds of records, the kinds of changes, the keys of updates, and the names and marks
// of files. Reading alone does not tell: some kinds are never looked at again.
func TestWrittenForms(t *testing.T) {
	f := newFleet(t)
	f.runToSnapshot()
	f.runOn()
	want := []string{
		"published core", "published map", "published plan", "published writer/#",
		"record core adopt", "record core copy",
		"record core entry enrol-store", "record core entry found", "record core entry pair", "record core entry put-plan", "record core entry retire",
		"record listed rumour", "record oath oath", "record self reserved", "record self writer",
		"record slot/### adopt", "record slot/### copy", "record slot/### drop",
		"record slot/### entry claim", "record slot/### entry end", "record slot/### entry enrol", "record slot/### entry enrol with bodies",
		"record slot/### entry forget", "record slot/### entry list", "record slot/### entry settle",
		"shelf bundle",
	}
	if got := slices.Sorted(maps.Keys(f.written)); !slices.Equal(got, want) {
		t.Errorf("written:\n%s\nexpected:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	wantFiles := []string{"identity.json", "records/*.group TRV2", "records/*.view TRV2", "shelf/*.shelf TRV2"}
	if got := fileForms(t, f.dataFolder(keptStore)); !slices.Equal(got, wantFiles) {
		t.Errorf("files %q, expected %q", got, wantFiles)
	}
}

// recordWritten notes the forms of what is about to be written.
func (f *fleet) recordWritten(effects []machine.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Persist:
			f.recordForms(e.Records)
		case machine.Compact:
			f.recordForms(e.Records)
		case machine.Archive:
			for _, record := range e.Records {
				f.written["shelf "+record.Kind] = true
			}
		}
	}
}

func (f *fleet) recordForms(records []machine.Record) {
	for _, record := range records {
		form := "record " + withoutNumber(record.Unit) + " " + record.Kind
		if record.Kind == "entry" {
			form += " " + entryForm(f.t, record.Body)
		}
		f.written[form] = true
	}
}

func (f *fleet) recordPublished(update machine.Update) {
	f.written["published "+withoutNumber(update.Key)] = true
}

// withoutNumber puts a # for each digit.
func withoutNumber(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return '#'
		}
		return r
	}, name)
}

// entryForm is the kind of a change, as it stands in its bytes.
func entryForm(t *testing.T, body []byte) string {
	t.Helper()
	after := ""
	if len(body) > 0 && body[0] == 0 { // the bodies of requests lie behind the rest
		_, size := binary.Uvarint(body[1:])
		body, after = body[1+size:], " with bodies"
	}
	rest, found := bytes.CutPrefix(body, []byte(`{"k":"`))
	kind, _, closed := bytes.Cut(rest, []byte(`","b":`))
	if !found || !closed {
		t.Fatalf("a change of an unknown form: %q", body)
	}
	return string(kind) + after
}

// fileForms lists the kinds of files in a data folder: numbered ones without their number,
// with the mark that they begin with.
func fileForms(t *testing.T, folder string) []string {
	t.Helper()
	forms := map[string]bool{}
	for _, pattern := range []string{"*.*", "*/*.*"} {
		names, err := filepath.Glob(filepath.Join(folder, pattern))
		must(t, err)
		for _, name := range names {
			forms[fileForm(t, folder, name)] = true
		}
	}
	return slices.Sorted(maps.Keys(forms))
}

func fileForm(t *testing.T, folder, name string) string {
	t.Helper()
	relative, err := filepath.Rel(folder, name)
	must(t, err)
	if filepath.Dir(relative) == "." {
		return relative
	}
	data, err := os.ReadFile(name)
	must(t, err)
	number := strings.TrimSuffix(filepath.Base(relative), filepath.Ext(relative))
	if len(number) != 16 || len(data) < 4 {
		t.Fatalf("%s is no numbered file with a mark", relative)
	}
	return filepath.Join(filepath.Dir(relative), "*"+filepath.Ext(relative)) + " " + string(data[:4])
}
