package structure

import (
	"fmt"
	"go/types"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// checkedHeadings begin the sections of the architecture page in which each word in backquotes is a name, a file or a folder of the source.
var checkedHeadings = []string{"Time", "The way of ", "Who owns which state", "The five rules"}

// standardNames are the names of the standard library that these sections use.
var standardNames = []string{"time.Duration", "time.Time"}

func TestNamesOnTheArchitecturePage(t *testing.T) {
	reportFindings(t, unknownNames(readArchitecturePage(t), load(t).declarations()))
}

func TestUnknownNamesAreFound(t *testing.T) {
	declared := plantedModule(t, map[string]string{
		"planted/queue.go": "package planted\n\ntype queue struct{ length int }\n\nfunc (q *queue) push() { q.length++ }\n",
		"planted/start.go": "package planted\n\nfunc start() {}\n",
	}).declarations()
	for _, test := range []struct {
		name, text string
		want       []string
	}{
		{"known", "`start` (`start.go`), `planted.start`, `queue.push` (`planted/queue.go`), `planted.queue.push`, `length`, `planted`", nil},
		{"file before its names", "`queue.go` (`push`, `length`)", nil},
		{"unknown name", "`stop`", []string{"The way of it: `stop` is neither declared nor a file or folder"}},
		{"unknown package", "`other.start`", []string{"The way of it: `other.start` is neither declared nor a file or folder"}},
		{"unknown file", "`stop.go`", []string{"The way of it: `stop.go` is neither declared nor a file or folder"}},
		{"file of another folder", "`other/start.go`", []string{"The way of it: `other/start.go` is neither declared nor a file or folder"}},
		{"name in another file", "`start` (`queue.go`)", []string{"The way of it: `start` is not declared in `queue.go`"}},
		{"second name in another file", "`queue.go` (`push`, `start`)", []string{"The way of it: `start` is not declared in `queue.go`"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			page := "# Page\n\n`elsewhere`\n\n## The way of it\n\n1. " + test.text + "\n\n## Other\n\n`elsewhere`\n"
			requireFindings(t, unknownNames(page, declared), test.want)
		})
	}
}

// declarations are the names that a module declares, each also with its type or package before it, with the files that declare it; and
// each file and folder under every end of its path.
type declarations map[string][]string

func (m *module) declarations() declarations {
	declared := declarations{}
	for _, pkg := range m.packages {
		scope := pkg.types.Scope()
		for _, name := range scope.Names() {
			object := scope.Lookup(name)
			m.declare(declared, object, name, pkg.types.Name()+"."+name)
			if typeName, ok := object.(*types.TypeName); ok && !typeName.IsAlias() {
				m.declareMembers(declared, typeName, pkg.types.Name())
			}
		}
		for _, file := range pkg.files {
			addPath(declared, m.fileSet.Position(file.Package).Filename)
		}
		addPath(declared, pkg.path)
	}
	return declared
}

// declareMembers declares the methods and fields of a type.
func (m *module) declareMembers(declared declarations, typeName *types.TypeName, packageName string) {
	owner := typeName.Name() + "."
	member := func(object types.Object) {
		m.declare(declared, object, object.Name(), owner+object.Name(), packageName+"."+owner+object.Name())
	}
	if named, ok := typeName.Type().(*types.Named); ok {
		for method := range named.Methods() {
			member(method)
		}
	}
	if structure, ok := typeName.Type().Underlying().(*types.Struct); ok {
		for field := range structure.Fields() {
			member(field)
		}
	}
}

func (m *module) declare(declared declarations, object types.Object, names ...string) {
	file := m.fileSet.Position(object.Pos()).Filename
	for _, name := range names {
		declared[name] = append(declared[name], file)
	}
}

// addPath adds each end of a path.
func addPath(declared declarations, path string) {
	for end := filepath.ToSlash(path); end != ""; {
		declared[end] = append(declared[end], path)
		_, end, _ = strings.Cut(end, "/")
	}
}

// declares reports whether a file, given by an end of its path, declares a name.
func (d declarations) declares(file, name string) bool {
	return slices.ContainsFunc(d[name], func(path string) bool { return strings.HasSuffix("/"+filepath.ToSlash(path), "/"+file) })
}

var (
	quoted       = regexp.MustCompile("`([^`]+)`")
	nameThenFile = regexp.MustCompile("`([^`]+)`\\s+\\(`([^`]+\\.go)`\\)")
	fileThenName = regexp.MustCompile("`([^`]+\\.go)`\\s+\\(((?:`[^`]+`(?:,\\s+)?)+)\\)")
)

// unknownNames describes what the checked sections name that the source does not declare, or not where they say.
func unknownNames(page string, declared declarations) []string {
	var findings []string
	for _, section := range strings.Split("\n"+page, "\n## ")[1:] {
		heading, text, _ := strings.Cut(section, "\n")
		isChecked := func(prefix string) bool { return strings.HasPrefix(heading, prefix) }
		if !slices.ContainsFunc(checkedHeadings, isChecked) {
			continue
		}
		for _, word := range quoted.FindAllStringSubmatch(text, -1) {
			if len(declared[word[1]]) == 0 && !slices.Contains(standardNames, word[1]) {
				findings = append(findings, fmt.Sprintf("%s: `%s` is neither declared nor a file or folder", heading, word[1]))
			}
		}
		checkFile := func(file, name string) {
			if len(declared[file]) > 0 && len(declared[name]) > 0 && !declared.declares(file, name) {
				findings = append(findings, fmt.Sprintf("%s: `%s` is not declared in `%s`", heading, name, file))
			}
		}
		for _, pair := range nameThenFile.FindAllStringSubmatch(text, -1) {
			checkFile(pair[2], pair[1])
		}
		for _, list := range fileThenName.FindAllStringSubmatch(text, -1) {
			for _, name := range quoted.FindAllStringSubmatch(list[2], -1) {
				checkFile(list[1], name[1])
			}
		}
	}
	return findings
}
