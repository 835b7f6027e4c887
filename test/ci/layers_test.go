package ci

// The packages import each other in the order of the layers: what is lower knows nothing of what
// is higher, so that it can be read, tested and changed alone.

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "tuliprudder/"

// layer is some packages that may import each other and every lower layer.
type layer struct {
	name string
	// packages are folders relative to the module's root; the folders below one belong to it
	// unless they are named in another layer.
	packages []string
}

// order has the layers from the lowest to the highest, with the reason of each step.
var order = []layer{
	// Building blocks know no protocol and no role of a daemon: any package may use them.
	{"building blocks", []string{
		"internal/cleanup", "internal/clock", "internal/errs", "internal/httpserver",
		"internal/logging", "internal/machine", "internal/ring", "internal/services",
		"internal/settings", "internal/storage", "internal/transport",
	}},
	// The operators' document is data with checks; control and data plane read it alike.
	{"configuration", []string{"internal/config"}},
	// A member is data that gossip spreads.
	{"membership", []string{"internal/membership"}},
	// Gossip spreads updates whose contents it does not know. Who the voters are is given to it.
	{"gossip", []string{"internal/gossip"}},
	// A replication group replicates a state that it does not know, to members that are assigned
	// to it.
	{"replication", []string{"internal/replication"}},
	// Permits for acts are part of the control state; what the acts are it does not know.
	{"exclusive acts", []string{"internal/exclusive"}},
	// The control state is the data that the control plane replicates and publishes; stores and
	// the data plane read it without the machine that decides on it.
	{"control state", []string{"internal/controlplane/state"}},
	{"control plane", []string{"internal/controlplane"}},
	// The batch store's machine: a store obeys the control plane, so it is above it.
	{"batch store", []string{"internal/batchstore"}},
	// The data plane submits batches, reads results and runs items.
	{"data plane", []string{"internal/dataplane"}},
	// A daemon puts machines together and executes their effects.
	{"daemon", []string{"internal/daemon"}},
	// Programs and the platform's adapter configure daemons and start them.
	{"programs", []string{"platform", "cmd"}},
}

// testPackages may import anything. Other packages import nothing of them, for what runs in
// operation must not depend on what tests it.
const testPackages = "test"

// testPrograms are the programs that run tests, simulations and stand-ins, with what they share:
// they are thin ends of packages in testPackages.
var testPrograms = []string{
	"cmd/capacity", "cmd/controlcheck", "cmd/hunt", "cmd/internal/localrun", "cmd/loadgen",
	"cmd/localfleet", "cmd/modelserver", "cmd/simsweep", "cmd/zonedrill",
}

// exceptions are the imports against the order that there are, with the reason. The list may only
// shrink: one that is gone fails the test.
var exceptions = map[imported]string{}

// imported is one package's import of another, as folders relative to the module's root.
type imported struct{ from, to string }

func TestPackagesImportLowerLayersOnly(t *testing.T) {
	imports := importsOf(t, filepath.Join("..", ".."))
	if len(imports) < 100 {
		t.Fatalf("only %d imports were found: is the module somewhere else?", len(imports))
	}
	for _, one := range imports {
		violation := violationOf(one)
		_, isException := exceptions[one]
		if violation != "" && !isException {
			t.Errorf("%s imports %s: %s", one.from, one.to, violation)
		}
	}
	for exception := range exceptions {
		if violationOf(exception) == "" || !slices.Contains(imports, exception) {
			t.Errorf("%s does not import %s against the order any more: remove the exception", exception.from, exception.to)
		}
	}
}

// A check that can't fail proves nothing.
func TestAnImportAgainstTheOrderIsFound(t *testing.T) {
	for _, test := range []struct {
		imported
		isAllowed bool
	}{
		{imported{"internal/gossip", "internal/membership"}, true},
		{imported{"internal/gossip", "internal/controlplane/state"}, false},
		{imported{"internal/controlplane/state", "internal/controlplane"}, false},
		{imported{"internal/controlplane", "internal/controlplane/state"}, true},
		{imported{"internal/controlplane", "internal/batchstore/shard"}, false},
		{imported{"internal/batchstore/token", "internal/batchstore/shard"}, true},
		{imported{"internal/transport", "internal/membership"}, false},
		{imported{"internal/dataplane/quota", "internal/dataplane/endpoints"}, true},
		{imported{"internal/dataplane/quota", "internal/daemon/machines"}, false},
		{imported{"internal/daemon/host", "platform"}, false},
		{imported{"platform/tuliprudder", "platform"}, true},
		{imported{"cmd/store", "internal/daemon/roles"}, true},
		{imported{"cmd/store", "test/simulator"}, false},
		{imported{"cmd/simsweep", "test/simulator"}, true},
		{imported{"cmd/zonedrill", "cmd/internal/localrun"}, true},
		{imported{"cmd/store", "cmd/internal/localrun"}, false},
		{imported{"internal/storage", "test/simulator"}, false},
		{imported{"test/simulator", "cmd/store"}, true},
		{imported{"internal/unheardof", "internal/clock"}, false},
		{imported{"internal/storage", "internal/unheardof"}, false},
	} {
		if violation := violationOf(test.imported); (violation == "") != test.isAllowed {
			t.Errorf("%s imports %s: found %q", test.from, test.to, violation)
		}
	}
}

// violationOf says how an import is against the order; "" where it is not.
func violationOf(one imported) string {
	if isIn(one.from, testPackages) {
		return ""
	}
	isTestProgram := slices.Contains(testPrograms, one.from)
	switch {
	case isTestProgram && isIn(one.to, testPackages):
		return ""
	case isIn(one.to, testPackages):
		return "only test programs import test packages"
	case !isTestProgram && slices.Contains(testPrograms, one.to):
		return "only test programs import what test programs share"
	}
	from, to := layerOf(one.from), layerOf(one.to)
	switch {
	case from < 0:
		return one.from + " is in no layer: add it to the order"
	case to < 0:
		return one.to + " is in no layer: add it to the order"
	case to > from:
		return fmt.Sprintf("%s is above %s", order[to].name, order[from].name)
	}
	return ""
}

// layerOf gives the index in order of a package's layer, that of the longest folder; -1 where
// there is none.
func layerOf(folder string) int {
	found, longest := -1, ""
	for i, candidate := range order {
		for _, root := range candidate.packages {
			if isIn(folder, root) && len(root) > len(longest) {
				found, longest = i, root
			}
		}
	}
	return found
}

// isIn reports whether a folder is root or below it.
func isIn(folder, root string) bool {
	return folder == root || strings.HasPrefix(folder, root+"/")
}

// importsOf lists the imports between the module's packages, without those of test files: a test
// may put together more than its package knows.
func importsOf(t *testing.T, root string) []imported {
	t.Helper()
	var out []imported
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		isHidden := strings.HasPrefix(entry.Name(), ".") && name != root
		if entry.IsDir() && (isHidden || entry.Name() == "testdata") {
			return filepath.SkipDir
		}
		if entry.IsDir() || path.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		folder, err := filepath.Rel(root, filepath.Dir(name))
		if err != nil {
			return err
		}
		for _, to := range moduleImports(t, name) {
			out = append(out, imported{filepath.ToSlash(folder), to})
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(out, func(a, b imported) int {
		return strings.Compare(a.from+" "+a.to, b.from+" "+b.to)
	})
	return slices.Compact(out)
}

// moduleImports lists the module's packages that a file imports.
func moduleImports(t *testing.T, name string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, spec := range file.Imports {
		importPath, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if folder, ok := strings.CutPrefix(importPath, modulePath); ok {
			out = append(out, folder)
		}
	}
	return out
}
