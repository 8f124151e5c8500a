package structure

import (
	"fmt"
	"go/ast"
	"go/token"
	"maps"
	"slices"
	"strconv"
	"testing"
)

// logFunctions are the names of the methods that write a log line; their first argument is its message. Those with the value true are
// wrappers, which pass on the message that they were given.
var logFunctions = map[string]bool{"Msg": false, "Msgf": false, "warn": true, "traceMessage": true}

// A search for the message of a log line must lead to the one function that writes it.
func TestEachLogMessageIsWrittenAtOnePlace(t *testing.T) {
	reportFindings(t, logMessageFindings(load(t)))
}

func TestLogMessagesOfTwoPlacesAreFound(t *testing.T) {
	const declarations = `package planted

type event struct{}

func (event) Msg(string) {}

func warn(message string) { event{}.Msg(message) }
`
	for _, test := range []struct {
		name, source string
		want         []string
	}{
		{"different messages", `func run() { event{}.Msg("begins"); warn("ends") }`, nil},
		{
			"the same message",
			"func run() { event{}.Msg(\"ends\") }\n\nfunc stop() { warn(\"ends\") }",
			[]string{`log message "ends" is written at run.go:9 and run.go:11`},
		},
		{
			"message from parts",
			`func run(cause string) { event{}.Msg("ends: " + cause) }`,
			[]string{"the log message at run.go:9 is no literal, so that a search does not find it"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			planted := plantedModule(t, map[string]string{"run.go": declarations + "\n" + test.source + "\n"})
			requireFindings(t, logMessageFindings(planted), test.want)
		})
	}
}

// logMessageFindings describes the messages that more than one place writes, and those that are no literals.
func logMessageFindings(source *module) []string {
	places := map[string][]string{}
	var findings []string
	for _, pkg := range source.packages {
		for _, file := range pkg.files {
			for _, declaration := range file.Decls {
				findings = append(findings, source.collectLogMessages(declaration, places)...)
			}
		}
	}
	for _, message := range slices.Sorted(maps.Keys(places)) {
		if at := places[message]; len(at) > 1 {
			findings = append(findings, fmt.Sprintf("log message %q is written at %s and %s", message, at[0], at[1]))
		}
	}
	return findings
}

// collectLogMessages adds the places at which a declaration writes each message, and describes the messages that are no literals.
func (m *module) collectLogMessages(declaration ast.Decl, places map[string][]string) (findings []string) {
	function, isFunction := declaration.(*ast.FuncDecl)
	inWrapper := isFunction && logFunctions[function.Name.Name]
	ast.Inspect(declaration, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		if _, logs := logFunctions[calledName(call)]; !logs || inWrapper {
			return true
		}
		position := m.fileSet.Position(call.Pos())
		at := fmt.Sprintf("%s:%d", position.Filename, position.Line)
		literal, ok := call.Args[0].(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			findings = append(findings, "the log message at "+at+" is no literal, so that a search does not find it")
			return true
		}
		message, err := strconv.Unquote(literal.Value)
		if err != nil {
			panic(err) // the parser has accepted the literal
		}
		places[message] = append(places[message], at)
		return true
	})
	return findings
}

// calledName is the name of the function or method that a call names, "" if it names none.
func calledName(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.SelectorExpr:
		return function.Sel.Name
	}
	return ""
}
