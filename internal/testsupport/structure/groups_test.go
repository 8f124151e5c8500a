package structure

import (
	"fmt"
	"maps"
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// groupImport says that packages of one group import packages of another one.
type groupImport struct{ from, to string }

func (i groupImport) String() string { return i.from + " --> " + i.to }

// groupGraph is the groups of packages and the imports between them.
type groupGraph struct {
	groups  map[string]bool
	imports map[groupImport]bool
}

func newGroupGraph() groupGraph {
	return groupGraph{groups: map[string]bool{}, imports: map[groupImport]bool{}}
}

func (g groupGraph) add(edge groupImport) {
	g.groups[edge.from], g.groups[edge.to] = true, true
	g.imports[edge] = true
}

func TestGraphOfGroupsIsTheRealOne(t *testing.T) {
	drawn, err := parseGroupGraph(readArchitecturePage(t))
	if err != nil {
		t.Fatal(err)
	}
	reportFindings(t, compareGroupGraphs(drawn, importedGroups(load(t))))
}

// TestLayersNameEveryPackage compares the packages with the table that says what each is for.
func TestLayersNameEveryPackage(t *testing.T) {
	reportFindings(t, packagesNotNamed(readArchitecturePage(t), load(t)))
}

func TestPackageNotNamedIsFound(t *testing.T) {
	source := &module{packages: []*sourcePackage{{path: "heathshed/placer"}, {path: "heathshed/internal/control/retry"}}}
	page := "# Page\n\n`retry`\n\n## Layers\n\n| `placer` | decides |\n\n## Other\n\n`retry`\n"
	want := []string{"package internal/control/retry is not named in the section Layers"}
	requireFindings(t, packagesNotNamed(page, source), want)
}

func packagesNotNamed(page string, source *module) []string {
	_, layers, _ := strings.Cut(page, "\n## Layers\n")
	layers, _, _ = strings.Cut(layers, "\n## ")
	var findings []string
	for _, pkg := range source.packages {
		if !strings.Contains(layers, "`"+path.Base(pkg.path)+"`") {
			findings = append(findings, "package "+strings.TrimPrefix(pkg.path, modulePath+"/")+" is not named in the section Layers")
		}
	}
	return findings
}

func TestGroupOf(t *testing.T) {
	for packagePath, want := range map[string]string{
		"heathshed/placer":                      "placer",
		"heathshed/cmd/heathshed":               "cmd",
		"heathshed/internal/config":             "config",
		"heathshed/internal/kube/engine":        "kube",
		"heathshed/internal/lab/emulator/fault": "lab",
	} {
		if got := groupOf(packagePath); got != want {
			t.Errorf("%s: got %s, want %s", packagePath, got, want)
		}
	}
}

func TestDifferencesOfGraphsAreFound(t *testing.T) {
	source := &module{packages: []*sourcePackage{
		{path: "heathshed/placer", imports: []string{"math"}},
		{path: "heathshed/internal/control/retry", imports: []string{"heathshed/placer", "heathshed/internal/control/queue"}},
		{path: "heathshed/internal/control/queue"},
		{path: "heathshed/cmd/tool", imports: []string{"heathshed/internal/control/retry", "os"}},
	}}
	for _, test := range []struct {
		name, drawn string
		want        []string
	}{
		{"the same", "cmd --> control\ncontrol --> placer", nil},
		{
			"missing in the picture",
			"cmd --> control\nplacer",
			[]string{"control --> placer is imported and not drawn"},
		},
		{
			"missing in the code",
			"cmd --> control\ncontrol --> placer\ncmd --> placer",
			[]string{"cmd --> placer is drawn and not imported"},
		},
		{
			"group without packages",
			"cmd --> control\ncontrol --> placer\nlab",
			[]string{"group lab is drawn and has no packages"},
		},
		{
			"group not drawn",
			"control --> placer",
			[]string{"group cmd has packages and is not drawn", "cmd --> control is imported and not drawn"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			drawn, err := parseGroupGraph("# Page\n\n```mermaid\nflowchart TD\n" + test.drawn + "\n```\n")
			if err != nil {
				t.Fatal(err)
			}
			requireFindings(t, compareGroupGraphs(drawn, importedGroups(source)), test.want)
		})
	}
}

func TestGraphThatCannotBeRead(t *testing.T) {
	for name, page := range map[string]string{
		"no graph":      "# Page\n",
		"no end":        "```mermaid\nflowchart TD\na --> b\n",
		"other arrow":   "```mermaid\nflowchart TD\na -.-> b\n```\n",
		"drawn twice":   "```mermaid\nflowchart TD\na --> b\na --> b\n```\n",
		"chain":         "```mermaid\nflowchart TD\na --> b --> c\n```\n",
		"no name there": "```mermaid\nflowchart TD\na -->\n```\n",
	} {
		t.Run(name, func(t *testing.T) {
			if graph, err := parseGroupGraph(page); err == nil {
				t.Errorf("got %v, want an error", graph)
			}
		})
	}
}

// groupOf returns the group of a package of the module: its first folder, or the one below internal.
func groupOf(packagePath string) string {
	folders := strings.Split(strings.TrimPrefix(packagePath, modulePath+"/"), "/")
	if folders[0] == "internal" && len(folders) > 1 {
		return folders[1]
	}
	return folders[0]
}

// importedGroups returns the groups of the module's packages and their imports outside tests.
func importedGroups(source *module) groupGraph {
	graph := newGroupGraph()
	for _, pkg := range source.packages {
		from := groupOf(pkg.path)
		graph.groups[from] = true
		for _, imported := range pkg.imports {
			if to := groupOf(imported); strings.HasPrefix(imported, modulePath+"/") && to != from {
				graph.add(groupImport{from, to})
			}
		}
	}
	return graph
}

var (
	flowchart = regexp.MustCompile("(?s)```mermaid\nflowchart TD\n(.*?)\n```")
	graphLine = regexp.MustCompile(`^(\w+)(?: --> (\w+))?$`)
)

// parseGroupGraph reads the page's flowchart, whose lines are a group or one import, "from --> to".
func parseGroupGraph(page string) (groupGraph, error) {
	graph := newGroupGraph()
	found := flowchart.FindStringSubmatch(page)
	if found == nil {
		return graph, fmt.Errorf("reading the graph of groups: the page has no Mermaid flowchart")
	}
	for line := range strings.Lines(found[1]) {
		line = strings.TrimSpace(line)
		parts := graphLine.FindStringSubmatch(line)
		switch {
		case parts == nil:
			return graph, fmt.Errorf("reading the graph of groups: %q is neither a group nor an import", line)
		case parts[2] == "":
			graph.groups[parts[1]] = true
		case graph.imports[groupImport{parts[1], parts[2]}]:
			return graph, fmt.Errorf("reading the graph of groups: %q is drawn twice", line)
		default:
			graph.add(groupImport{parts[1], parts[2]})
		}
	}
	return graph, nil
}

// compareGroupGraphs describes each difference between the drawn graph and that of the code.
func compareGroupGraphs(drawn, imported groupGraph) []string {
	var findings []string
	for _, group := range missing(drawn.groups, imported.groups, strings.Compare) {
		findings = append(findings, "group "+group+" is drawn and has no packages")
	}
	for _, group := range missing(imported.groups, drawn.groups, strings.Compare) {
		findings = append(findings, "group "+group+" has packages and is not drawn")
	}
	for _, edge := range missing(drawn.imports, imported.imports, compareImports) {
		findings = append(findings, edge.String()+" is drawn and not imported")
	}
	for _, edge := range missing(imported.imports, drawn.imports, compareImports) {
		findings = append(findings, edge.String()+" is imported and not drawn")
	}
	return findings
}

// missing returns what the first set has and the second one has not, sorted.
func missing[T comparable](set, other map[T]bool, compare func(a, b T) int) []T {
	var only []T
	for each := range maps.Keys(set) {
		if !other[each] {
			only = append(only, each)
		}
	}
	slices.SortFunc(only, compare)
	return only
}

func compareImports(a, b groupImport) int { return strings.Compare(a.String(), b.String()) }
