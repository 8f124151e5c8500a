package structure

import (
	"fmt"
	"go/ast"
	"go/token"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	// outerNamesFile lists names that leave the process, each of which stands alone in a literal or a struct tag.
	outerNamesFile = "testdata/outer_names.txt"
	// outerPartsFile lists fields that are written out under their own names, and parts of texts.
	outerPartsFile = "testdata/outer_parts.txt"
)

// A rename in the source must not change a name that other programs, stored data or operators know.
func TestOuterNamesStandInTheirPackages(t *testing.T) {
	source := load(t)
	reportFindings(t, missingOuterNames(source, readLines(t, outerNamesFile), (*packageTexts).hasName))
	reportFindings(t, missingOuterNames(source, readLines(t, outerPartsFile), (*packageTexts).hasPart))
}

func TestMissingOuterNamesAreFound(t *testing.T) {
	planted := plantedModule(t, map[string]string{"planted/names.go": "package planted\n\n" +
		"type message struct {\n\tUID string `json:\"uid,omitempty\"`\n\tCount int\n}\n\nconst kind, text = \"launch\", \"rejected by node\"\n"})
	const heading = "# messages: planted"
	for _, test := range []struct {
		name  string
		lines []string
		has   func(*packageTexts, string) bool
		want  []string
	}{
		{"known names", []string{"# Names.", heading, "uid", "launch", "", "rejected by node"}, (*packageTexts).hasName, nil},
		{"part of a text is no name", []string{heading, "rejected"}, (*packageTexts).hasName,
			[]string{`planted no longer has "rejected" (messages)`}},
		{"known parts", []string{heading, "Count", "rejected"}, (*packageTexts).hasPart, nil},
		{"unknown part", []string{heading, "Counts"}, (*packageTexts).hasPart, []string{`planted no longer has "Counts" (messages)`}},
		{"unknown package", []string{"# messages: other", "uid"}, (*packageTexts).hasName,
			[]string{`other no longer has "uid" (messages)`}},
		{"name without a package", []string{"# Names.", "uid"}, (*packageTexts).hasName, []string{` no longer has "uid" ()`}},
	} {
		t.Run(test.name, func(t *testing.T) {
			requireFindings(t, missingOuterNames(planted, test.lines, test.has), test.want)
		})
	}
}

func readLines(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// missingOuterNames describes the names of a list that their package no longer has. A line "# kind: package" begins the names of a package.
func missingOuterNames(source *module, lines []string, has func(*packageTexts, string) bool) []string {
	packages := map[string]*packageTexts{}
	for _, pkg := range source.packages {
		packages[strings.TrimPrefix(pkg.path, modulePath+"/")] = collectTexts(pkg)
	}
	var findings []string
	var kind, path string
	for _, line := range lines {
		if heading, ok := strings.CutPrefix(line, "# "); ok {
			kind, path, _ = strings.Cut(heading, ": ")
			if path == "" {
				kind = ""
			}
			continue
		}
		if pkg := packages[path]; line != "" && (pkg == nil || !has(pkg, line)) {
			findings = append(findings, fmt.Sprintf("%s no longer has %q (%s)", path, line, kind))
		}
	}
	return findings
}

// packageTexts are the texts of a package's source by which its names leave the process.
type packageTexts struct {
	literals, tagNames, fields []string
}

func (p *packageTexts) hasName(name string) bool {
	return slices.Contains(p.literals, name) || slices.Contains(p.tagNames, name)
}

func (p *packageTexts) hasPart(part string) bool {
	return slices.Contains(p.fields, part) ||
		slices.ContainsFunc(p.literals, func(literal string) bool { return strings.Contains(literal, part) })
}

func collectTexts(pkg *sourcePackage) *packageTexts {
	texts := &packageTexts{}
	for _, file := range pkg.files {
		ast.Inspect(file, func(node ast.Node) bool {
			switch n := node.(type) {
			case *ast.Field:
				texts.addField(n)
			case *ast.BasicLit:
				if n.Kind == token.STRING {
					texts.literals = append(texts.literals, unquote(n))
				}
			}
			return true
		})
	}
	return texts
}

func (p *packageTexts) addField(field *ast.Field) {
	for _, name := range field.Names {
		p.fields = append(p.fields, name.Name)
	}
	if field.Tag == nil {
		return
	}
	name, _, _ := strings.Cut(reflect.StructTag(unquote(field.Tag)).Get("json"), ",")
	p.tagNames = append(p.tagNames, name)
}

// unquote returns the text of a literal that the parser has accepted.
func unquote(literal *ast.BasicLit) string {
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		panic(err)
	}
	return text
}
