package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// repositoryRoot is the repository's root, seen from this package.
const repositoryRoot = "../.."

var (
	pathInPage       = regexp.MustCompile(`(?:^|\./|[^\w./-])((?:internal|cmd|test|platform)/[\w./*-]*\w)`)
	testInPage       = regexp.MustCompile(`\bTest[A-Z]\w*`)
	identifierInPage = regexp.MustCompile("`([a-z]+)\\.([A-Z]\\w*)`(?: \\((?:field|method) `(\\w+)`\\))?")
	linkInPage       = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
)

// recordedKinds are packages of an earlier build that named the messages in the tables of
// docs/CAPACITY.md: the runs were made with that build, and a run's record isn't rewritten.
var recordedKinds = map[string][]string{"docs/CAPACITY.md": {"circle", "keeper", "tether"}}

// page is one page of the documentation.
type page struct{ name, text string }

// readPages reads the pages whose names of code have to be right.
func readPages(t *testing.T) []page {
	t.Helper()
	names := []string{"README.md", "DEVELOPERS.md"}
	err := fs.WalkDir(os.DirFS(repositoryRoot), "docs", func(name string, _ fs.DirEntry, err error) error {
		if filepath.Ext(name) == ".md" {
			names = append(names, name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	var pages []page
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(repositoryRoot, name))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, page{name, string(text)})
	}
	return pages
}

// declarations are the names that the Go files of the repository declare.
type declarations struct {
	tests       map[string]bool
	identifiers map[string]bool // by "package.Name", and "package.Name.Member" of a type
}

// parseDeclarations reads all Go files of the repository.
func parseDeclarations(t *testing.T) declarations {
	t.Helper()
	found := declarations{tests: map[string]bool{}, identifiers: map[string]bool{}}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			found.add(file.Name.Name, declaration, strings.HasSuffix(path, "_test.go"))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func (d declarations) add(packageName string, declaration ast.Decl, inTestFile bool) {
	switch declared := declaration.(type) {
	case *ast.FuncDecl:
		d.addFunction(packageName, declared, inTestFile)
	case *ast.GenDecl:
		for _, spec := range declared.Specs {
			d.addSpec(packageName, spec)
		}
	}
}

func (d declarations) addFunction(packageName string, function *ast.FuncDecl, inTestFile bool) {
	name := packageName + "." + function.Name.Name
	switch {
	case inTestFile && function.Recv == nil:
		d.tests[function.Name.Name] = true
	case function.Recv != nil:
		name = packageName + "." + receiverName(function.Recv.List[0].Type) + "." + function.Name.Name
	}
	d.identifiers[name] = true
}

// receiverName is the name of a method's receiver type.
func receiverName(expression ast.Expr) string {
	switch receiver := expression.(type) {
	case *ast.StarExpr:
		return receiverName(receiver.X)
	case *ast.IndexExpr:
		return receiverName(receiver.X)
	case *ast.Ident:
		return receiver.Name
	}
	return ""
}

func (d declarations) addSpec(packageName string, spec ast.Spec) {
	switch declared := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range declared.Names {
			d.identifiers[packageName+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		name := packageName + "." + declared.Name.Name
		d.identifiers[name] = true
		if structure, ok := declared.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				for _, fieldName := range field.Names {
					d.identifiers[name+"."+fieldName.Name] = true
				}
			}
		}
	}
}

// missingNames lists what a page names that isn't in the repository.
func missingNames(p page, declared declarations) []string {
	var missing []string
	for _, match := range pathInPage.FindAllStringSubmatch(p.text, -1) {
		if files, err := filepath.Glob(filepath.Join(repositoryRoot, match[1])); err != nil || len(files) == 0 {
			missing = append(missing, "path "+match[1])
		}
	}
	for _, name := range testInPage.FindAllString(p.text, -1) {
		if !declared.tests[name] {
			missing = append(missing, "test "+name)
		}
	}
	for _, match := range identifierInPage.FindAllStringSubmatch(p.text, -1) {
		name := match[1] + "." + match[2]
		if match[3] != "" {
			name += "." + match[3]
		}
		if !declared.identifiers[name] && !slices.Contains(recordedKinds[p.name], match[1]) {
			missing = append(missing, "identifier "+name)
		}
	}
	for _, match := range linkInPage.FindAllStringSubmatch(p.text, -1) {
		if _, err := os.Stat(filepath.Join(repositoryRoot, filepath.Dir(p.name), match[1])); err != nil {
			missing = append(missing, "link "+match[1])
		}
	}
	return missing
}

// What a page says of the code has to be there: paths, tests, identifiers as
// `package.Name`, and the pages that it links to.
func TestPagesNameWhatIsThere(t *testing.T) {
	declared := parseDeclarations(t)
	for _, p := range readPages(t) {
		for _, name := range missingNames(p, declared) {
			t.Errorf("%s names the %s, which isn't there", p.name, name)
		}
	}
}

// The check finds each kind of wrong name, and lets a right one pass.
func TestWrongNamesInPagesAreFound(t *testing.T) {
	declared := parseDeclarations(t)
	for text, want := range map[string]string{
		"see `internal/errs`, `./platform/...` and `internal/*/events.go`": "",
		"`TestKnownRed` and `errs.Busy` (the kind), [x](DESIGN.md#a)":      "",
		"`config.Forward` (field `LatencyTarget`)":                         "",
		"see `internal/nothing`":                                           "path internal/nothing",
		"see `test/ci/nothing_test.go`.":                                   "path test/ci/nothing_test.go",
		"by `TestOf" + "Nothing`":                                          "test TestOfNothing",
		"an `errs.Nothing`":                                                "identifier errs.Nothing",
		"`config.Forward` (field `Nothing`)":                               "identifier config.Forward.Nothing",
		"[x](NOTHING.md)":                                                  "link NOTHING.md",
	} {
		missing := strings.Join(missingNames(page{"docs/x.md", text}, declared), ", ")
		if missing != want {
			t.Errorf("%s: missing is %q, not %q", text, missing, want)
		}
	}
}

var (
	eventInCode  = regexp.MustCompile(`EventName\(\) string \{ return "([a-z_]+)" \}`)
	metricInCode = regexp.MustCompile(`Key: "([a-z_]+)", Name: "([a-z0-9_]+)"`)
)

// operatorNames are the keys of log events, the counters and the metrics that the
// daemons' code declares.
func operatorNames(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, folder := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, pattern := range []*regexp.Regexp{eventInCode, metricInCode} {
				for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
					names = append(names, match[1:]...)
				}
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

// The runbook has each log event, each counter and its name in /metrics.
func TestRunbookHasEveryEventAndCounter(t *testing.T) {
	runbook, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/RUNBOOK.md"))
	if err != nil {
		t.Fatal(err)
	}
	names := operatorNames(t)
	for _, name := range []string{"term_won", "core_term", "tuliprudder_core_term"} {
		if !slices.Contains(names, name) {
			t.Fatalf("%s isn't found in the code any more: the patterns miss what they look for", name)
		}
	}
	for _, name := range names {
		if !strings.Contains(string(runbook), "`"+name+"`") {
			t.Errorf("docs/RUNBOOK.md has no %s", name)
		}
	}
}
