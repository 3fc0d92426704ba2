package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// Every struct tag of earlier builds still exists, since tags name the keys in files, messages and admin bodies. New
// tags may be added.
func TestTagsOfEarlierBuildsExist(t *testing.T) {
	tags := map[string]bool{}
	for _, dir := range []string{"../../cmd", "../../decide", "../../internal"} {
		if err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(f, func(n ast.Node) bool {
				if field, ok := n.(*ast.Field); ok && field.Tag != nil {
					collectTags(t, field.Tag.Value, tags)
				}
				return true
			})
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	var all []string
	for tag := range tags {
		all = append(all, tag)
	}
	slices.Sort(all)
	golden.CheckContains(t, "tags.txt", all)
}

func collectTags(t *testing.T, literal string, tags map[string]bool) {
	t.Helper()
	text, err := strconv.Unquote(literal)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{"json", "toml"} {
		if value, ok := reflect.StructTag(text).Lookup(kind); ok {
			tags[kind+" "+value] = true
		}
	}
}
