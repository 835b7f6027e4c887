package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// crowdTestPrefix begins the names of the tests of crowds, which run in a step of their own and don't count against the
// cap of KNOWN-RED.txt.
const crowdTestPrefix = "TestCrowd"

// crowdDeployments are the functions that start what a crowd meets: a test of a crowd calls one of them.
var crowdDeployments = map[string]bool{"newCrowdDeployment": true, "newTenantsDeployment": true}

// What runs apart and is exempt from the cap are the tests of crowds and no others: their names, their files and what
// they start go together.
func TestCrowdsAreTestsOfCrowds(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(repositoryRoot, "platform/standin/*_test.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no tests are found: %v", err)
	}
	count := 0
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		isCrowdFile := strings.HasPrefix(filepath.Base(name), "crowd_")
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Recv != nil || !strings.HasPrefix(function.Name.Name, "Test") || function.Name.Name == "TestMain" {
				continue
			}
			isCrowdTest := strings.HasPrefix(function.Name.Name, crowdTestPrefix)
			if isCrowdTest != isCrowdFile || isCrowdTest != startsCrowdDeployment(function) {
				t.Errorf("%s in %s: a test of a crowd has its name, its file and its deployment, any other test none of them", function.Name.Name, name)
			}
			if isCrowdTest {
				count++
			}
		}
	}
	if count < 20 {
		t.Errorf("only %d tests of crowds are found", count)
	}
}

// startsCrowdDeployment reports whether a test starts a deployment for a crowd.
func startsCrowdDeployment(function *ast.FuncDecl) (found bool) {
	ast.Inspect(function, func(node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			name, isName := call.Fun.(*ast.Ident)
			found = found || isName && crowdDeployments[name.Name]
		}
		return !found
	})
	return found
}
