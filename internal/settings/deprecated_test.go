package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A setting is accepted under its former name, in the arguments and in a file, with a warning.
func TestAFormerNameIsReadWithAWarning(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(file, []byte("old 5\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	parse := func(args ...string) (value int64, warnings string, err error) {
		var out strings.Builder
		r := New("program")
		r.Warnings = &out
		r.Int(&value, "new", 3, 1, 10, "a number")
		r.Deprecated("old", "new")
		err = r.Parse(args)
		return value, out.String(), err
	}
	for _, test := range []struct {
		name  string
		args  []string
		want  int64
		warns bool
	}{
		{"by default", nil, 3, false},
		{"the current name", []string{"-new", "4"}, 4, false},
		{"the former name", []string{"-old", "4"}, 4, true},
		{"the former name in the file", []string{"-settings", file}, 5, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			value, warnings, err := parse(test.args...)
			if err != nil || value != test.want || (warnings != "") != test.warns {
				t.Errorf("%v, value %d, warnings %q", err, value, warnings)
			}
		})
	}
	if _, _, err := parse("-old", "11"); err == nil {
		t.Error("a value out of bounds is accepted under the former name")
	}
}
