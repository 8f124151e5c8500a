package structure

import (
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// maxWritingFiles is in how many files of its package a field may be written. A field written in more is widely written.
const maxWritingFiles = 2

// widelyWrittenLimit is how many fields of some packages may be widely written.
type widelyWrittenLimit struct {
	name     string
	packages []string // nil: all
	allowed  int
	// ceiling replaces allowed while it is higher. It may only be lowered: it must be the current number.
	ceiling int
}

var widelyWrittenLimits = []widelyWrittenLimit{
	{name: "the cores", packages: []string{"placer", "platform/dispatch", "kube/engine"}, allowed: 8},
	{name: "all packages", allowed: 8},
}

func TestFewFieldsAreWidelyWritten(t *testing.T) {
	source := load(t)
	for _, limit := range widelyWrittenLimits {
		for _, path := range limit.packages {
			if !source.has(path) {
				t.Errorf("the limit of %s names package %s, which there is not", limit.name, path)
			}
		}
		if finding := limit.check(widelyWritten(source, limit.packages)); finding != "" {
			t.Error(finding)
		}
	}
}

func TestWidelyWrittenFieldsAreFound(t *testing.T) {
	declaration := `package planted

type inner struct{ depth int }

type record struct {
	assigned, added, counted, ranged, twice, read int
	elements, deleted map[string]int
	appended, cleared, copied []int
	nested inner
	unnamed struct{ depth int }
	pointed *int
}

func (r *record) readIt() int { return r.read }

func construct() record { return record{read: 1} }
`
	writer := `package planted

func writeIn%s(r *record) {
	r.assigned = r.read
	(r.added) += 1
	r.counted++
	for _, r.ranged = range r.copied {
	}
	r.elements["key"] = r.read
	delete(r.deleted, "key")
	r.appended = append(r.appended, 1)
	clear(r.cleared)
	copy(r.copied[1:], r.copied)
	r.nested.depth--
	r.unnamed.depth = 1
	*r.pointed = 1
	read := r.read
	read++
}
`
	sources := map[string]string{"record.go": declaration, "twice.go": "package planted\n\nfunc writeTwice(r *record) { r.twice = 1; r.twice = 2 }\n"}
	for _, name := range []string{"A", "B", "C"} {
		sources[name+".go"] = fmt.Sprintf(writer, name)
	}
	var want []string
	for _, field := range []string{
		"inner.depth", "record.added", "record.appended", "record.assigned", "record.cleared", "record.copied", "record.counted",
		"record.deleted", "record.elements", "record.pointed", "record.ranged", "record.unnamed.depth",
	} {
		want = append(want, "planted."+field+" is written in 3 files: A.go, B.go, C.go")
	}

	source := plantedModule(t, sources)
	requireFindings(t, widelyWritten(source, nil), want)
	requireFindings(t, widelyWritten(source, []string{"placer"}), nil) // another package
}

func TestWidelyWrittenLimit(t *testing.T) {
	for _, test := range []struct {
		name             string
		allowed, ceiling int
		fields           []string
		want             string
	}{
		{"as many as allowed", 2, 0, []string{"a", "b"}, ""},
		{"more than allowed", 1, 0, []string{"a", "b"}, "2 fields of planted are widely written, 1 are allowed:\na\nb"},
		{"ceiling is the number", 1, 2, []string{"a", "b"}, ""},
		{"more than the ceiling", 0, 1, []string{"a", "b"}, "2 fields of planted are widely written, 1 are allowed:\na\nb"},
		{"ceiling too high", 1, 3, []string{"a", "b"}, "2 fields of planted are widely written, the ceiling of 3 must be lowered"},
		{"ceiling not needed", 2, 3, []string{"a"}, "1 fields of planted are widely written, the ceiling of 3 must be lowered"},
	} {
		t.Run(test.name, func(t *testing.T) {
			limit := widelyWrittenLimit{name: "planted", allowed: test.allowed, ceiling: test.ceiling}
			if got := limit.check(test.fields); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// check describes how the widely written fields exceed the limit, or returns "" if they do not.
func (l widelyWrittenLimit) check(fields []string) string {
	count := len(fields)
	switch {
	case count > max(l.allowed, l.ceiling):
		return fmt.Sprintf("%d fields of %s are widely written, %d are allowed:\n%s",
			count, l.name, max(l.allowed, l.ceiling), strings.Join(fields, "\n"))
	case l.ceiling > max(l.allowed, count):
		return fmt.Sprintf("%d fields of %s are widely written, the ceiling of %d must be lowered", count, l.name, l.ceiling)
	}
	return ""
}

// fieldWriters collects the files that write each field.
type fieldWriters struct {
	source *module
	pkg    *sourcePackage
	files  map[*types.Var]map[string]bool
}

// widelyWritten describes each field of the packages' types that more than maxWritingFiles files of its own package write, in order of name.
// Without a list of packages it looks at all.
func widelyWritten(source *module, packages []string) []string {
	var findings []string
	for _, pkg := range source.packages {
		if packages != nil && !slices.Contains(packages, pkg.shortPath()) {
			continue
		}
		writers := fieldWriters{source: source, pkg: pkg, files: map[*types.Var]map[string]bool{}}
		for _, file := range pkg.files {
			ast.Inspect(file, writers.visit)
		}
		names := fieldNames(pkg)
		for field, files := range writers.files {
			name, own := names[field]
			if own && len(files) > maxWritingFiles {
				written := slices.Sorted(maps.Keys(files))
				findings = append(findings, fmt.Sprintf("%s is written in %d files: %s", name, len(files), strings.Join(written, ", ")))
			}
		}
	}
	slices.Sort(findings)
	return findings
}

// visit records what one statement or expression writes.
func (w *fieldWriters) visit(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.AssignStmt:
		if node.Tok != token.DEFINE {
			for _, target := range node.Lhs {
				w.record(target)
			}
		}
	case *ast.IncDecStmt:
		w.record(node.X)
	case *ast.RangeStmt:
		if node.Tok == token.ASSIGN {
			w.record(node.Key)
			w.record(node.Value)
		}
	case *ast.CallExpr:
		if w.changesItsArgument(node) {
			w.record(node.Args[0])
		}
	}
	return true
}

// changesItsArgument reports whether a call is of a built-in function that changes the map or slice that it gets first. What append
// returns is assigned, which is seen there.
func (w *fieldWriters) changesItsArgument(call *ast.CallExpr) bool {
	name, ok := ast.Unparen(call.Fun).(*ast.Ident)
	if !ok {
		return false
	}
	builtin, ok := w.pkg.info.Uses[name].(*types.Builtin)
	return ok && slices.Contains([]string{"delete", "clear", "copy"}, builtin.Name())
}

// record records that the file writes the field that an expression denotes, if it denotes one or an element of one.
func (w *fieldWriters) record(target ast.Expr) {
	for {
		switch expression := ast.Unparen(target).(type) {
		case *ast.IndexExpr:
			target = expression.X
		case *ast.SliceExpr:
			target = expression.X
		case *ast.StarExpr:
			target = expression.X
		case *ast.SelectorExpr:
			selection, ok := w.pkg.info.Selections[expression]
			if !ok || selection.Kind() != types.FieldVal {
				return
			}
			field := selection.Obj().(*types.Var).Origin()
			if w.files[field] == nil {
				w.files[field] = map[string]bool{}
			}
			position := w.source.fileSet.Position(expression.Pos())
			w.files[field][filepath.Base(position.Filename)] = true
			return
		default:
			return
		}
	}
}

// fieldNames returns the fields of the package's struct types, with their names.
func fieldNames(pkg *sourcePackage) map[*types.Var]string {
	names := map[*types.Var]string{}
	scope := pkg.types.Scope()
	for _, name := range scope.Names() {
		if declared, ok := scope.Lookup(name).(*types.TypeName); ok && !declared.IsAlias() {
			addFieldNames(names, pkg.shortPath()+"."+name, declared.Type())
		}
	}
	return names
}

// addFieldNames adds the fields of a struct type, and those of structs without a name in it.
func addFieldNames(names map[*types.Var]string, owner string, declared types.Type) {
	structure, ok := declared.Underlying().(*types.Struct)
	if !ok {
		return
	}
	for i := range structure.NumFields() {
		field := structure.Field(i)
		name := owner + "." + field.Name()
		names[field] = name
		if _, unnamed := field.Type().(*types.Struct); unnamed {
			addFieldNames(names, name, field.Type())
		}
	}
}
