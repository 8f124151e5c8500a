package structure

import (
	"fmt"
	"go/types"
	"maps"
	"slices"
	"strings"
	"testing"
)

// maxMethods is how many methods a type may have.
const maxMethods = 40

// methodCeilings are types with more than maxMethods methods. A ceiling may only fall: it must be the present number.
var methodCeilings = map[string]int{}

func TestNoTypeHasTooManyMethods(t *testing.T) {
	reportFindings(t, methodFindings(countMethods(load(t)), methodCeilings))
}

func TestTooManyMethodsAreFound(t *testing.T) {
	var source strings.Builder
	source.WriteString("package planted\n\ntype Wide struct{}\n\ntype Narrow struct{}\n\nfunc (Narrow) Only() {}\n")
	for method := range maxMethods + 1 {
		fmt.Fprintf(&source, "func (*Wide) Method%d() {}\n", method)
	}
	counts := countMethods(plantedModule(t, map[string]string{"wide.go": source.String()}))

	for _, test := range []struct {
		name     string
		ceilings map[string]int
		want     []string
	}{
		{"no ceiling", nil, []string{"planted.Wide has 41 methods, 40 are allowed"}},
		{"ceiling is the number", map[string]int{"planted.Wide": 41}, nil},
		{"ceiling too high", map[string]int{"planted.Wide": 42}, []string{"planted.Wide has 41 methods, its ceiling of 42 must be lowered"}},
		{
			"ceiling of a type that needs none",
			map[string]int{"planted.Wide": 41, "planted.Narrow": 1},
			[]string{"planted.Narrow has 1 methods and needs no ceiling"},
		},
		{
			"ceiling of a type that is gone",
			map[string]int{"planted.Wide": 41, "planted.Gone": 50},
			[]string{"planted.Gone has 0 methods and needs no ceiling"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			requireFindings(t, methodFindings(counts, test.ceilings), test.want)
		})
	}
}

// countMethods returns the number of methods that each type declares, of value and pointer receivers together.
func countMethods(source *module) map[string]int {
	counts := map[string]int{}
	for _, pkg := range source.packages {
		scope := pkg.types.Scope()
		for _, name := range scope.Names() {
			declared, ok := scope.Lookup(name).(*types.TypeName)
			if !ok || declared.IsAlias() {
				continue
			}
			if named, ok := declared.Type().(*types.Named); ok {
				counts[pkg.shortPath()+"."+name] = named.NumMethods()
			}
		}
	}
	return counts
}

func methodFindings(counts, ceilings map[string]int) []string {
	var findings []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		count, allowed := counts[name], maxMethods
		ceiling, excepted := ceilings[name]
		if excepted && count > maxMethods {
			allowed = ceiling
		}
		if count > allowed {
			findings = append(findings, fmt.Sprintf("%s has %d methods, %d are allowed", name, count, allowed))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(ceilings)) {
		count, ceiling := counts[name], ceilings[name]
		switch {
		case count <= maxMethods:
			findings = append(findings, fmt.Sprintf("%s has %d methods and needs no ceiling", name, count))
		case count < ceiling:
			findings = append(findings, fmt.Sprintf("%s has %d methods, its ceiling of %d must be lowered", name, count, ceiling))
		}
	}
	return findings
}
