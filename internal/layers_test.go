package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	modulePath = "github.com/sequoiavalve/sequoiavalve/internal/"
	// platformPath is outside the layers: the package may import every layer, and
	// only commands may import it.
	platformPath = "github.com/sequoiavalve/sequoiavalve/platform"
)

// allowed lists for each layer the layers that it may import besides itself.
var allowed = map[string][]string{
	"transport":    {"protocol", "coordination", "state"},
	"protocol":     {"coordination", "state"},
	"coordination": {"state"},
	"state":        {},
}

// Guards against an import that breaks the layering, such as coordination code
// that depends on a message encoding. Test files count too.
func TestLayerImports(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || path == "layers_test.go" {
			return err
		}
		checkFile(t, path)
		return nil
	})
	assert.NilError(t, err)
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	layer, _, _ := strings.Cut(filepath.ToSlash(path), "/")
	layers, found := allowed[layer]
	assert.Assert(t, found, "%s is in no layer", path)
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	assert.NilError(t, err)
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		assert.Assert(t, !strings.HasPrefix(name, platformPath), "%s imports %s; only cmd may", path, name)
		rest, internal := strings.CutPrefix(name, modulePath)
		if !internal {
			continue
		}
		target, _, _ := strings.Cut(rest, "/")
		assert.Assert(t, target == layer || contains(layers, target), "%s imports %s", path, name)
	}
}

func contains(list []string, want string) bool {
	for _, item := range list {
		if item == want {
			return true
		}
	}
	return false
}
