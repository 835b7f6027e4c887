package decisiondigest

import (
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
)

// recordOf returns the record of a run of equal effects, except for the effect number other.
func recordOf(effects, other int) Record {
	d := New()
	for i := 1; i <= effects; i++ {
		value := 0
		if i == other {
			value = 1
		}
		d.Add(clock.Micros(i), 0, sent(value).effect)
	}
	return NewRecord("run", d, Count{"steps", 12})
}

func TestRecordsRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records.txt")
	short := recordOf(3, 0)
	short.Name = "short"
	if err := WriteRecords(path, []Record{recordOf(2500, 0), short}); err != nil {
		t.Fatal(err)
	}
	records, err := ReadRecords(path)
	if err != nil || len(records) != 2 {
		t.Fatalf("%d records, want 2; error %v", len(records), err)
	}
	for _, want := range []Record{recordOf(2500, 0), short} {
		if differences := records[want.Name].Differences(want); len(differences) > 0 || !slices.Equal(records[want.Name].Checkpoints, want.Checkpoints) {
			t.Errorf("%s is not read back as written: %v", want.Name, differences)
		}
	}
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	if _, err := parseRecord("run steps=many digest=1"); err == nil {
		t.Error("a count that is not a number is accepted")
	}
	path := filepath.Join(t.TempDir(), "records.txt")
	if err := WriteRecords(path, []Record{recordOf(1, 0), recordOf(1, 0)}); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRecords(path); err == nil {
		t.Error("two records of one run are accepted")
	}
}

// A difference names the range of 1000 effects that contains the first different one.
func TestDifferencesNameFirstDifferingRange(t *testing.T) {
	want := recordOf(3500, 0)
	for other, span := range map[int]string{1: "run:1:1000", 1000: "run:1:1000", 1001: "run:1001:2000", 3400: "run:3001:4000"} {
		got := want.Differences(recordOf(3500, other))
		if len(got) != 1 || !strings.Contains(got[0], span+" ") {
			t.Errorf("effect %d differs: got %q, want it to contain %s", other, got, span)
		}
	}
	fewer := want
	fewer.Counts = []Count{{"steps", 11}, {"effects", 3500}}
	if got := want.Differences(fewer); len(got) != 1 {
		t.Errorf("a different count: got %q, want one difference", got)
	}
	if got := (Record{}).Differences(want); len(got) != 2 {
		t.Errorf("a run without a record: got %q, want two differences", got)
	}
}

func TestPrintEffectsFlag(t *testing.T) {
	flags := flag.NewFlagSet("test", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	set := AddFlags(flags)
	if set.Write {
		t.Error("-write-digests is set by default")
	}
	for _, wrong := range []string{"run", "run:1", "run:one:two"} {
		if flags.Parse([]string{"-" + PrintFlag, wrong}) == nil {
			t.Errorf("%q is accepted as a range", wrong)
		}
	}
	if err := flags.Parse([]string{"-" + PrintFlag, "run:2:3", "-" + WriteFlag}); err != nil || !set.Write {
		t.Fatalf("%+v, %v", set, err)
	}
	var lines []string
	keep := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, name := range []string{"run", "another run"} {
		d := New()
		set.Trace(name, d, keep)
		for i := range 5 {
			d.Add(clock.Micros(i), 0, sent(i).effect)
		}
	}
	if len(lines) != 2 || !strings.HasPrefix(lines[0], "2 hash ") || !strings.HasPrefix(lines[1], "3 hash ") {
		t.Errorf("printed %q, want effects 2 and 3", lines)
	}
}
