package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var quotedInPage = regexp.MustCompile("`([^`]+)`")

// functionsIn are the functions and methods that a Go file declares.
func functionsIn(t *testing.T, name string) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(repositoryRoot, name), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok {
			found[function.Name.Name] = true
		}
	}
	return found
}

// The walks of docs/ARCHITECTURE.md lead somewhere: a function stands in the file that is
// named before it in its row. A name with a dot is a type's or package's, which
// TestPagesNameWhatIsThere checks.
func TestWalksNameFunctionsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/ARCHITECTURE.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, walks, found := strings.Cut(string(page), "## Five walks")
	walks, _, foundEnd := strings.Cut(walks, "\n## ")
	if !found || !foundEnd {
		t.Fatal("the page has no section of walks")
	}
	functions := 0
	for _, row := range strings.Split(walks, "\n") {
		var functionsOfFile map[string]bool
		file := ""
		for _, quoted := range quotedInPage.FindAllStringSubmatch(row, -1) {
			name := quoted[1]
			switch {
			case strings.HasSuffix(name, ".go"):
				file = name
				if !strings.Contains(name, "/") {
					file = "internal/controlplane/placement/" + name
				}
				functionsOfFile = functionsIn(t, file)
			case strings.Contains(name, "."):
			case functionsOfFile == nil:
				t.Errorf("%q is named before any file: %s", name, row)
			case !functionsOfFile[name]:
				t.Errorf("%s has no function %s", file, name)
			default:
				functions++
			}
		}
	}
	if functions < 15 {
		t.Errorf("only %d functions were found in the walks", functions)
	}
}
