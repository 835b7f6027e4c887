package naming

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// skippedFolders hold no code of this module: what git keeps, data of tests, and the
// journal of measured rounds.
var skippedFolders = []string{".git", "testdata", "journal"}

// hidingNames lists the names declared outside tests that hide a term: "DIR.name", or
// "DIR" for a folder and "DIR/file.go" for a file, each with the usual terms.
func hidingNames(root string) (map[string]string, error) {
	found := map[string]string{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains(skippedFolders, entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		addHidingNames(found, filepath.ToSlash(relative), file)
		return nil
	})
	return found, err
}

// addHidingNames adds those of one file, which is given relative to the module's root.
func addHidingNames(found map[string]string, path string, file *ast.File) {
	folder, base := ".", path
	if i := strings.LastIndex(path, "/"); i >= 0 {
		folder, base = path[:i], path[i+1:]
	}
	add := func(entry, name string) {
		if term := hiddenTerm(folder, name); term != "" {
			found[entry] = term
		}
	}
	add(folder, filepath.Base(folder))
	add(path, strings.TrimSuffix(base, ".go"))
	for _, name := range declaredNames(file) {
		add(folder+"."+name, name)
	}
}

// declaredNames are all identifiers that a file declares, in any scope: the package, types
// and type parameters, functions and methods, fields, parameters and results, constants
// and variables.
func declaredNames(file *ast.File) []string {
	names := []string{file.Name.Name}
	addExpressions := func(expressions ...ast.Expr) {
		for _, expression := range expressions {
			if identifier, ok := expression.(*ast.Ident); ok {
				names = append(names, identifier.Name)
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			names = append(names, n.Name.Name)
		case *ast.TypeSpec:
			names = append(names, n.Name.Name)
		case *ast.Field:
			for _, name := range n.Names {
				names = append(names, name.Name)
			}
		case *ast.ValueSpec:
			for _, name := range n.Names {
				names = append(names, name.Name)
			}
		case *ast.AssignStmt:
			if n.Tok == token.DEFINE {
				addExpressions(n.Lhs...)
			}
		case *ast.RangeStmt:
			if n.Tok == token.DEFINE {
				addExpressions(n.Key, n.Value)
			}
		}
		return true
	})
	return names
}
