// Package naming checks that the code speaks in the field's terms: no folder, file or
// identifier declared outside tests carries a word of words_test.go, unless accepted.txt
// lists it with the reason why it is right where it stands.
//
// After renames, bring accepted.txt up to date with
//
//	go test ./test/naming -run TestNamesAreTheFieldsOwn -write-accepted
//
// which drops the names that are gone and adds new ones without a reason. The test fails
// until each of these has been renamed or been given its reason by hand.
package naming

import (
	"flag"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

var writeAcceptedFlag = flag.Bool("write-accepted", false, "write accepted.txt anew for the present tree")

func TestNamesAreTheFieldsOwn(t *testing.T) {
	found, err := hidingNames("../..")
	if err != nil {
		t.Fatal(err)
	}
	reasons := readAccepted(t)
	if *writeAcceptedFlag {
		if err := writeAccepted(found, reasons); err != nil {
			t.Fatal(err)
		}
		reasons = readAccepted(t)
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		if _, ok := reasons[name]; !ok {
			t.Errorf("%s hides a term; usual ones: %s", name, found[name])
		}
	}
	control := 0
	for _, name := range slices.Sorted(maps.Keys(reasons)) {
		if found[name] == "" {
			t.Errorf("%s is accepted, but hides no term or is gone; take it off %s", name, acceptedFile)
		}
		if isControlName(name) {
			control++
		}
	}
	if len(reasons) > maxAccepted {
		t.Errorf("%d names are accepted, at most %d may be", len(reasons), maxAccepted)
	}
	if control > maxAcceptedControl {
		t.Errorf("%d names of control and state packages are accepted, at most %d may be", control, maxAcceptedControl)
	}
}

// readAccepted reads accepted.txt and reports what is wrong with it.
func readAccepted(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile(acceptedFile)
	if err != nil {
		t.Fatal(err)
	}
	reasons, err := parseAccepted(string(text))
	if err != nil && !*writeAcceptedFlag {
		t.Error(err)
	}
	return reasons
}

func TestAHiddenTermIsFoundInsideAName(t *testing.T) {
	for _, c := range []struct{ folder, name, want string }{
		{"a", "OpenShelf", "archive"},
		{"a", "KeeperOf", "lease holder, owner"},
		{"a", "mayBeTold", "notified, acknowledged"},
		{"a", "sentOn", "forwarded"},
		{"a", "TendHTTP", "the glossary's term (docs/GLOSSARY.md)"},
		{"a", "cairn", "the glossary's term (docs/GLOSSARY.md)"},
		{"a", "probe", "health check"},
		{"internal/gossip", "probe", ""},
		{"internal/gossip", "probeOrder", "request"},
		{"a", "HTTPServer", ""},
		{"a", "Rollback", ""},
		{"a", "Controller", ""},
		{"a", "resentOnce", ""},
	} {
		if got := hiddenTerm(c.folder, c.name); got != c.want {
			t.Errorf("%s.%s: found %q, want %q", c.folder, c.name, got, c.want)
		}
	}
}

func TestNamesOfEveryScopeAreRead(t *testing.T) {
	const source = `package keeper
const someFold = 1
var rowsOf, yes int
type Shelf[Lot any] struct { Standing int; inner struct{ news int } }
type judge interface { Mend(sick bool) (told error) }
func (ill Shelf[T]) Enrol(patience int) (gone bool) {
	var held int
	for piece, backs := range []int{} { bundle := piece + backs; _ = bundle }
	expiry, why := held, 2
	_ = func(mark int) { _ = expiry + why }
	return
}`
	file, err := parser.ParseFile(token.NewFileSet(), "roll.go", source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]string{}
	addHidingNames(found, "internal/camp/roll.go", file)
	want := []string{"internal/camp", "internal/camp/roll.go"}
	for _, name := range strings.Fields(`keeper someFold rowsOf yes Shelf Lot Standing news judge Mend sick told
		ill Enrol patience gone held piece backs bundle expiry why mark`) {
		want = append(want, "internal/camp."+name)
	}
	slices.Sort(want)
	if got := slices.Sorted(maps.Keys(found)); !slices.Equal(got, want) {
		t.Errorf("found %v\nwant %v", got, want)
	}
}

func TestFaultsOfTheAcceptedFileAreReported(t *testing.T) {
	for _, c := range []struct {
		behaviour, text string
		valid           bool
	}{
		{"sorted names with reasons", "# head\na.lot # a\nb.row # b\n", true},
		{"a name without a reason", "a.lot\n", false},
		{"a name with an empty reason", "a.lot #\n", false},
		{"names out of order", "b.row # b\na.lot # a\n", false},
		{"a name twice", "a.lot # a\na.lot # a\n", false},
	} {
		if _, err := parseAccepted(c.text); (err == nil) != c.valid {
			t.Errorf("%s: error %v, want valid %t", c.behaviour, err, c.valid)
		}
	}
}

func TestControlNamesAreThoseOfItsPackages(t *testing.T) {
	for entry, want := range map[string]bool{
		"internal/batchstore.kindFold":       true,
		"internal/batchstore/shard.kindList": true,
		"internal/gossip/roll.go":            true,
		"internal/machine":                   true,
		"internal/machines.row":              false,
		"internal/daemon/machines.row":       false,
	} {
		if got := isControlName(entry); got != want {
			t.Errorf("%s: %t, want %t", entry, got, want)
		}
	}
}
