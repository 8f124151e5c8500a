package placer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// maxPolicyLineWidth is the maximum number of characters in a line of a policy file. A tab counts as four
// characters. The policy files contain all decisions and tunable constants of the package. The file
// deploy/balancer.toml lists them under the key policy.
const maxPolicyLineWidth = 110

// policyFiles returns the paths of the policy files, which deploy/balancer.toml lists under the key policy.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no line with the key policy, want a line that lists the policy files")
	}
	var files []string
	for _, name := range strings.Split(string(line[1]), ",") {
		files = append(files, filepath.Join("..", strings.Trim(name, ` "`)))
	}
	return files
}

func TestPolicyFilesRespectLineWidth(t *testing.T) {
	for _, file := range policyFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if len(strings.ReplaceAll(line, "\t", "    ")) > maxPolicyLineWidth {
				t.Errorf("%s:%d: the line has more than %d characters", file, i+1, maxPolicyLineWidth)
			}
		}
	}
}

// TestOnlyPolicyFilesContainTunableValues checks that only the policy files contain tunable values. These
// files are listed in deploy/balancer.toml under the key policy. Other files of the package may contain only
// the numbers 0 and 1, and only constants that form an enumeration.
func TestOnlyPolicyFilesContainTunableValues(t *testing.T) {
	isPolicy := map[string]bool{}
	for _, file := range policyFiles(t) {
		isPolicy[filepath.Base(file)] = true
		if filepath.Dir(file) != filepath.Join("..", "placer") {
			t.Errorf("%s is not in package placer, but deploy/balancer.toml lists it under the key policy; want only files of the package there", file)
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if isPolicy[file] || strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, position := range findTunableValues(t, file) {
			t.Errorf("%s: this file contains a tunable value, but deploy/balancer.toml does not list the file under the key policy", position)
		}
	}
}

// findTunableValues returns the positions of number literals other than 0 and 1, and of constant declarations
// with a value that does not use iota.
func findTunableValues(t *testing.T, file string) []token.Position {
	t.Helper()
	fileSet := token.NewFileSet()
	syntaxTree, err := parser.ParseFile(fileSet, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var positions []token.Position
	ast.Inspect(syntaxTree, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.BasicLit:
			isNumber := node.Kind == token.INT || node.Kind == token.FLOAT || node.Kind == token.IMAG
			if isNumber && node.Value != "0" && node.Value != "1" {
				positions = append(positions, fileSet.Position(node.Pos()))
			}
		case *ast.GenDecl:
			if node.Tok == token.CONST && !usesIota(node) {
				positions = append(positions, fileSet.Position(node.Pos()))
			}
		}
		return true
	})
	return positions
}

// usesIota reports whether each value of a constant declaration contains iota.
func usesIota(declaration *ast.GenDecl) bool {
	for _, spec := range declaration.Specs {
		for _, value := range spec.(*ast.ValueSpec).Values {
			hasIota := false
			ast.Inspect(value, func(node ast.Node) bool {
				name, ok := node.(*ast.Ident)
				hasIota = hasIota || ok && name.Name == "iota"
				return true
			})
			if !hasIota {
				return false
			}
		}
	}
	return true
}

// TestFindTunableValues verifies that findTunableValues finds numbers other than 0 and 1 and constants
// without iota, and ignores enumerations.
func TestFindTunableValues(t *testing.T) {
	for name, test := range map[string]struct {
		source string
		want   int
	}{
		"constants with iota":                     {"const (\n\ta = iota + 1\n\tb\n)", 0},
		"numbers zero and one":                    {"var a = 0 + 1", 0},
		"constant without iota":                   {"const a = 1", 1},
		"floating-point number":                   {"var a = 0.5", 1},
		"integer greater than one":                {"func f() int { return 3 }", 1},
		"constant with a type and the value 1000": {"const a float64 = 1e3", 2},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "source.go")
			if err := os.WriteFile(file, []byte("package p\n\n"+test.source+"\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			if positions := findTunableValues(t, file); len(positions) != test.want {
				t.Errorf("findTunableValues returned the positions %v, want %d positions", positions, test.want)
			}
		})
	}
}
