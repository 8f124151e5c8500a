// Package statediagram compares the state diagrams of docs/states.md with the state machines of the code. It is for tests only.
//
// A diagram is the Mermaid block below a heading of the page. It has the lines
//
//	state "reading head" as reading_head
//	[*] --> idle
//	idle --> reading_head : what happens
//	ended --> [*]
//
// The first line defines an identifier for a state whose name is not a single word. [*] means the beginning and the end. The tests of packages with
// a state machine build it by New and call Check.
package statediagram

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// page is the path of the page with the diagrams, relative to the root of the module.
const page = "docs/states.md"

// outside is the symbol for the beginning and the end of a machine in a diagram.
const outside = "[*]"

// Machine is the set of a machine's transitions, each as "from --> to".
type Machine map[string]bool

// State is the type of a machine's states, which count from 0.
type State interface {
	~uint8
	fmt.Stringer
}

// New returns the machine with the given number of states, the states in which it may begin, and its legal transitions. It ends in each state
// that has no legal next state.
func New[S State](states int, initial []S, legal func(from, to S) bool) Machine {
	machine := Machine{}
	for _, state := range initial {
		machine.add(outside, state.String())
	}
	for from := range S(states) {
		isFinal := true
		for to := range S(states) {
			if legal(from, to) {
				machine.add(from.String(), to.String())
				isFinal = false
			}
		}
		if isFinal {
			machine.add(from.String(), outside)
		}
	}
	return machine
}

func (m Machine) add(from, to string) { m[transition(from, to)] = true }

func transition(from, to string) string { return from + " --> " + to }

// Check fails the test for each difference between the diagram below the heading and the machine.
func Check(tb testing.TB, heading string, machine Machine) {
	tb.Helper()
	text, err := readPage()
	if err != nil {
		tb.Fatal(err)
	}
	drawn, err := parse(text, heading)
	if err != nil {
		tb.Fatal(err)
	}
	for _, difference := range compare(drawn, machine) {
		tb.Errorf("%s, %s: %s", page, heading, difference)
	}
}

// readPage reads the page from the root of the module, which is above the folder of the test's package.
func readPage() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			text, err := os.ReadFile(filepath.Join(folder, page))
			return string(text), err
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			return "", errors.New("finding the root of the module: no folder above has a go.mod")
		}
		folder = parent
	}
}

var (
	diagramStart   = "```mermaid\nstateDiagram-v2\n"
	aliasLine      = regexp.MustCompile(`^state "([^"]+)" as (\w+)$`)
	transitionLine = regexp.MustCompile(`^(\w+|\[\*\]) --> (\w+|\[\*\])(?: : .+)?$`)
)

// parse reads the diagram below a heading of the page.
func parse(text, heading string) (Machine, error) {
	diagram, err := findDiagram(text, heading)
	if err != nil {
		return nil, fmt.Errorf("reading the diagram %q: %w", heading, err)
	}
	machine, names := Machine{}, map[string]string{}
	for line := range strings.Lines(diagram) {
		line = strings.TrimSpace(line)
		if alias := aliasLine.FindStringSubmatch(line); alias != nil {
			names[alias[2]] = alias[1]
			continue
		}
		ends := transitionLine.FindStringSubmatch(line)
		if ends == nil {
			return nil, fmt.Errorf("reading the diagram %q: %q is neither a name nor a transition", heading, line)
		}
		for i, end := range ends {
			if name, ok := names[end]; ok {
				ends[i] = name
			}
		}
		if machine[transition(ends[1], ends[2])] {
			return nil, fmt.Errorf("reading the diagram %q: %q is drawn twice", heading, line)
		}
		machine.add(ends[1], ends[2])
	}
	return machine, nil
}

// findDiagram returns the lines of the first diagram between a heading and the next one.
func findDiagram(text, heading string) (string, error) {
	_, section, found := strings.Cut("\n"+text, "\n## "+heading+"\n")
	if !found {
		return "", errors.New("the page has no such heading")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	_, diagram, found := strings.Cut(section, diagramStart)
	if !found {
		return "", errors.New("there is no Mermaid state diagram below the heading")
	}
	diagram, _, found = strings.Cut(diagram, "\n```")
	if !found {
		return "", errors.New("the diagram has no end")
	}
	return diagram, nil
}

// compare describes each difference between the diagram and the machine, in order.
func compare(drawn, machine Machine) []string {
	var differences []string
	for drawnOnly := range drawn {
		if !machine[drawnOnly] {
			differences = append(differences, drawnOnly+" is drawn and not in the code")
		}
	}
	for codeOnly := range machine {
		if !drawn[codeOnly] {
			differences = append(differences, codeOnly+" is in the code and not drawn")
		}
	}
	slices.Sort(differences)
	return differences
}
