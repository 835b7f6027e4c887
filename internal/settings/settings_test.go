package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

func reader() (*Reader, *Common, *int64) {
	r := New("test")
	var c Common
	var number int64
	r.Common(&c, true)
	r.Int(&number, "number", 5, 1, 10, "a number")
	return r, &c, &number
}

// All faults are reported together, each with its remedy.
func TestAllFaultsAreReported(t *testing.T) {
	r, _, _ := reader()
	err := r.Parse([]string{"-peer", "localhost:1", "-seeds", "127.0.0.1:1,nonsense", "-number", "11", "stray"})
	if !errs.Is(err, errs.BadSettings) {
		t.Fatalf("got %v", err)
	}
	all := strings.Join(errs.Of(err).Faults, "\n")
	for _, word := range []string{"-zone is missing", "-peer \"localhost:1\"", "-http", "-seeds \"nonsense\"", "names 2 addresses", "-data is missing", "-number 11", "stray"} {
		if !strings.Contains(all, word) {
			t.Errorf("no fault contains %q in:\n%s", word, all)
		}
	}
}

func TestFlagsOverrideTheSettingsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	text := "# a comment\nzone north\npeer 127.0.0.1:1\nhttp 127.0.0.1:2\nseeds 127.0.0.1:3,127.0.0.1:4,127.0.0.1:5\ndata /tmp/x\nnumber 3\n"
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	r, c, number := reader()
	if err := r.Parse([]string{"-settings", file, "-zone", "south"}); err != nil {
		t.Fatal(err)
	}
	if c.Zone != "south" || *number != 3 || len(c.Seeds) != 3 {
		t.Fatalf("read %+v and %d", c, *number)
	}
	if err := os.WriteFile(file, []byte(text+"colour red\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	r, _, _ = reader()
	if err := r.Parse([]string{"-settings", file}); !errs.Is(err, errs.BadSettings) || !strings.Contains(errs.Of(err).Faults[0], "colour") {
		t.Fatalf("an unknown setting in the file: %v", err)
	}
}
