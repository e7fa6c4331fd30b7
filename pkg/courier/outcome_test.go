package courier

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// mayTellMore are the packages that may refuse with another outcome than NotRun, besides enquiry, which declares it.
var mayTellMore = map[string]bool{"courier": true, "reservation": true, "enquiry": true}

// TestP08OnlySendingRefusesOtherThanNotRun reads the source of all packages: a refusal that is made by hand elsewhere
// must state NotRun, and the outcome of a refusal is set nowhere else.
func TestP08OnlySendingRefusesOtherThanNotRun(t *testing.T) {
	files := token.NewFileSet()
	checked := 0
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if mayTellMore[f.Name.Name] {
			return nil
		}
		checked++
		ast.Inspect(f, func(n ast.Node) bool {
			for _, at := range outcomesIn(n) {
				t.Errorf("%s: a refusal with an outcome other than NotRun", files.Position(at))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked == 0 {
		t.Fatal("no source was read")
	}
}

func TestOutcomesInFindsEachWay(t *testing.T) {
	for _, c := range []struct {
		source string
		want   int
	}{
		{`&enquiry.Refusal{Outcome: enquiry.NotRun, Reason: r}`, 0},
		{`&enquiry.Refusal{Outcome: enquiry.MayHaveRun}`, 1},
		{`enquiry.Refusal{Outcome: o}`, 1},
		{`enquiry.Refusal{Reason: r}`, 1},
		{`enquiry.Refusal{o, r}`, 1},
		{`func() { refusal.Outcome = enquiry.Ran }`, 1},
		{`func() { refusal.Outcome = enquiry.NotRun }`, 0},
		{`enquiry.Refuse(r, 0, "")`, 0},
	} {
		e, err := parser.ParseExpr(c.source)
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		ast.Inspect(e, func(n ast.Node) bool {
			got += len(outcomesIn(n))
			return true
		})
		if got != c.want {
			t.Errorf("%s: found %d, want %d", c.source, got, c.want)
		}
	}
}

// outcomesIn returns where the node makes a refusal, or sets its outcome, other than NotRun.
func outcomesIn(n ast.Node) []token.Pos {
	switch n := n.(type) {
	case *ast.CompositeLit:
		if isSelector(n.Type, "enquiry", "Refusal") && !statesNotRun(n) {
			return []token.Pos{n.Pos()}
		}
	case *ast.AssignStmt:
		var found []token.Pos
		for i, left := range n.Lhs {
			sel, ok := left.(*ast.SelectorExpr)
			if ok && sel.Sel.Name == "Outcome" && (len(n.Rhs) <= i || !isSelector(n.Rhs[i], "enquiry", "NotRun")) {
				found = append(found, left.Pos())
			}
		}
		return found
	}
	return nil
}

func statesNotRun(lit *ast.CompositeLit) bool {
	for _, e := range lit.Elts {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		if name, ok := kv.Key.(*ast.Ident); ok && name.Name == "Outcome" {
			return isSelector(kv.Value, "enquiry", "NotRun")
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
