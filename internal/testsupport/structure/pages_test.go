package structure

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// recordPages are pages that keep the names of their time.
var recordPages = map[string]bool{"renamed-tests.md": true, "results.md": true}

var (
	qualifiedName = regexp.MustCompile(`^[a-z]\w*(\.[A-Za-z]\w*){1,2}$`)
	testFunction  = regexp.MustCompile(`^(Test|Fuzz|Benchmark|Example)[A-Z]\w*$`)
)

// A page that names a function, type or test in backquotes must name one that exists.
func TestNamesOnPages(t *testing.T) {
	declared, tests, outer := load(t).declarations(), declaredTests(t, moduleRoot), lastParts(readLines(t, outerNamesFile))
	pages, err := filepath.Glob(moduleRoot + "/docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("found %d pages, error %v", len(pages), err)
	}
	for _, path := range append(pages, moduleRoot+"/CONTRIBUTING.md", moduleRoot+"/README.md") {
		if recordPages[filepath.Base(path)] {
			continue
		}
		page, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		reportFindings(t, unknownPageNames(filepath.Base(path), string(page), declared, tests, outer))
	}
}

func TestUnknownNamesOnPagesAreFound(t *testing.T) {
	declared := plantedModule(t, map[string]string{
		"planted/queue.go": "package planted\n\ntype queue struct{ length int }\n\nfunc (q *queue) push() { q.length++ }\n",
	}).declarations()
	tests, outer := map[string]bool{"TestPush": true}, lastParts([]string{"# Settings.", "queue.maxLength", "length"})
	for _, test := range []struct {
		name, page string
		want       []string
	}{
		{"known names", "`planted.queue` and `planted.queue.push` (`TestPush`)", nil},
		{"name of another program", "`time.Duration`, `metadata.name`, `go test`", nil},
		{"settings", "`queue.maxLength`, `queue.length`", nil},
		{"unknown type", "see `planted.stack`", []string{"page.md: `planted.stack` is not declared"}},
		{"unknown method", "see `planted.queue.pop`", []string{"page.md: `planted.queue.pop` is not declared"}},
		{"unknown test", "see `TestPop`", []string{"page.md: no test is called `TestPop`"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			requireFindings(t, unknownPageNames("page.md", test.page, declared, tests, outer), test.want)
		})
	}
}

// lastParts returns what stands after the last point of each line.
func lastParts(lines []string) map[string]bool {
	parts := map[string]bool{}
	for _, line := range lines {
		parts[line[strings.LastIndex(line, ".")+1:]] = true
	}
	return parts
}

// unknownPageNames describes the tests and the names `package.Name` or `type.Member` of this module that a page names and nothing declares.
// Names whose last part leaves the process, such as keys of settings, may be any.
func unknownPageNames(title, page string, declared declarations, tests, outer map[string]bool) []string {
	packages := map[string]bool{}
	for name := range declared {
		if first, _, ok := strings.Cut(name, "."); ok {
			packages[first] = true
		}
	}
	var findings []string
	for _, word := range quoted.FindAllStringSubmatch(page, -1) {
		name := word[1]
		first, _, _ := strings.Cut(name, ".")
		switch {
		case testFunction.MatchString(name) && !tests[name]:
			findings = append(findings, fmt.Sprintf("%s: no test is called `%s`", title, name))
		case qualifiedName.MatchString(name) && packages[first] && len(declared[name]) == 0 && !outer[name[strings.LastIndex(name, ".")+1:]]:
			findings = append(findings, fmt.Sprintf("%s: `%s` is not declared", title, name))
		}
	}
	return findings
}

// declaredTests returns the names of all test functions below a folder.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
				tests[function.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}
