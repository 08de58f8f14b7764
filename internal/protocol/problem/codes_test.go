package problem

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that reaches callers with status 500 because its code is
// missing in the table of statuses, and against codes that nothing uses.
func TestStatusTableHasTheCodesInUse(t *testing.T) {
	used := map[string]string{CodeInternal: "Of"}
	parseEachFile(t, "../../coordination", func(name string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			if code, ok := declaredCode(n); ok {
				used[code] = name
			}
			return true
		})
	})
	assert.Assert(t, len(used) > 15, "the sources were not read: %v", used)
	parseEachFile(t, "../../transport", func(name string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok && strings.HasPrefix(s.Sel.Name, "Code") {
				if pkg, ok := s.X.(*ast.Ident); ok && pkg.Name == "problem" {
					used[constantValue(t, s.Sel.Name)] = name
				}
			}
			return true
		})
	})
	for code, where := range used {
		assert.Check(t, statuses[code] != 0, "code %q of %s has no status", code, where)
	}
	for code := range statuses {
		assert.Check(t, used[code] != "", "nothing uses code %q", code)
	}
}

// declaredCode returns the code that a constant named Code… declares, or that a
// composite literal assigns to a field Code.
func declaredCode(n ast.Node) (string, bool) {
	var value ast.Expr
	switch n := n.(type) {
	case *ast.ValueSpec:
		if strings.HasPrefix(n.Names[0].Name, "Code") && len(n.Values) == 1 {
			value = n.Values[0]
		}
	case *ast.KeyValueExpr:
		if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Code" {
			value = n.Value
		}
	}
	literal, ok := value.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	code, err := strconv.Unquote(literal.Value)
	return code, err == nil
}

// constantValue returns the value of a constant of this package.
func constantValue(t *testing.T, name string) string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	assert.NilError(t, err)
	value := ""
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && spec.Names[0].Name == name {
			value, _ = declaredCode(n)
		}
		return true
	})
	assert.Assert(t, value != "", name)
	return value
}

// parseEachFile parses each Go source file below root but tests, and calls visit.
func parseEachFile(t *testing.T, root string, visit func(name string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			visit(path, file)
		}
		return err
	})
	assert.NilError(t, err)
}
