package delivery

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// mayRefuseOtherOutcomes lists the packages that may refuse with an outcome other than NotRun; request declares the outcomes.
var mayRefuseOtherOutcomes = map[string]bool{"delivery": true, "reservation": true, "request": true}

const modulePrefix = "carawayknot.example/carawayknot/pkg/"

// TestP08OnlyListedPackagesRefuseOtherThanNotRun parses the source of all packages that entry depends on: outside the listed
// packages, a Refusal literal must set NotRun, and no other outcome may be assigned.
func TestP08OnlyListedPackagesRefuseOtherThanNotRun(t *testing.T) {
	files := token.NewFileSet()
	seen := map[string]bool{}
	for todo := []string{"entry"}; len(todo) > 0; {
		pkg := todo[0]
		todo = todo[1:]
		if seen[pkg] {
			continue
		}
		seen[pkg] = true
		for _, f := range parsePackage(t, files, pkg) {
			todo = append(todo, moduleImports(t, f)...)
			if mayRefuseOtherOutcomes[pkg] {
				continue
			}
			ast.Inspect(f, func(n ast.Node) bool {
				for _, at := range otherOutcomes(n) {
					t.Errorf("%s: refusal with an outcome other than NotRun", files.Position(at))
				}
				return true
			})
		}
	}
	for _, pkg := range []string{"entry", "desk", "delivery", "reservation", "dispatch", "pricing", "ledger"} {
		if !seen[pkg] {
			t.Errorf("package %s was not checked", pkg)
		}
	}
}

// parsePackage returns the non-test files of a package.
func parsePackage(t *testing.T, files *token.FileSet, pkg string) []*ast.File {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("..", pkg, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var out []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(files, name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, f)
	}
	return out
}

// moduleImports returns the packages of this module that the file imports, relative to modulePrefix.
func moduleImports(t *testing.T, f *ast.File) []string {
	t.Helper()
	var out []string
	for _, spec := range f.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if pkg, inModule := strings.CutPrefix(path, modulePrefix); inModule {
			out = append(out, pkg)
		}
	}
	return out
}

func TestOtherOutcomes(t *testing.T) {
	for _, c := range []struct {
		source string
		want   int
	}{
		{`&request.Refusal{Outcome: request.NotRun, Reason: r}`, 0},
		{`&request.Refusal{Outcome: request.MayHaveRun}`, 1},
		{`request.Refusal{Outcome: o}`, 1},
		{`request.Refusal{Reason: r}`, 1},
		{`request.Refusal{o, r}`, 1},
		{`func() { refusal.Outcome = request.Ran }`, 1},
		{`func() { refusal.Outcome = request.NotRun }`, 0},
		{`request.Refuse(r, 0, "")`, 0},
	} {
		e, err := parser.ParseExpr(c.source)
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		ast.Inspect(e, func(n ast.Node) bool {
			got += len(otherOutcomes(n))
			return true
		})
		if got != c.want {
			t.Errorf("%s: found %d positions, want %d", c.source, got, c.want)
		}
	}
}

// otherOutcomes returns the positions where the node builds a refusal with an outcome other than NotRun or assigns one.
func otherOutcomes(n ast.Node) []token.Pos {
	switch n := n.(type) {
	case *ast.CompositeLit:
		if isSelector(n.Type, "request", "Refusal") && !setsNotRun(n) {
			return []token.Pos{n.Pos()}
		}
	case *ast.AssignStmt:
		var found []token.Pos
		for i, left := range n.Lhs {
			sel, ok := left.(*ast.SelectorExpr)
			if ok && sel.Sel.Name == "Outcome" && (len(n.Rhs) <= i || !isSelector(n.Rhs[i], "request", "NotRun")) {
				found = append(found, left.Pos())
			}
		}
		return found
	}
	return nil
}

func setsNotRun(lit *ast.CompositeLit) bool {
	for _, e := range lit.Elts {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		if name, ok := kv.Key.(*ast.Ident); ok && name.Name == "Outcome" {
			return isSelector(kv.Value, "request", "NotRun")
		}
	}
	return false
}

func isSelector(e ast.Expr, pkg, name string) bool {
	sel, ok := e.(*ast.SelectorExpr)
	if !ok || sel.Sel.Name != name {
		return false
	}
	id, ok := sel.X.(*ast.Ident)
	return ok && id.Name == pkg
}
