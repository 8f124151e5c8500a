package statediagram

import (
	"slices"
	"strings"
	"testing"
)

// light is a state machine to compare diagrams with.
type light uint8

const (
	lightOff light = iota
	lightWarmingUp
	lightOn
	lightBroken
	lightStates
)

func (l light) String() string { return [...]string{"off", "warming up", "on", "broken"}[l] }

var lightTransitions = [lightStates][]light{
	lightOff:       {lightWarmingUp, lightBroken},
	lightWarmingUp: {lightOn},
	lightOn:        {lightOff, lightOn},
}

const lightDiagram = `[*] --> off
state "warming up" as warming_up
off --> warming_up : switched on
off --> broken
warming_up --> on
on --> off
on --> on
broken --> [*]`

func pageWith(diagram string) string {
	return "# States\n\n## Other\n\n## Light\n\nA light.\n\n```mermaid\nstateDiagram-v2\n    " +
		strings.ReplaceAll(diagram, "\n", "\n    ") + "\n```\n\n## Last\n"
}

func TestCompare(t *testing.T) {
	machine := New(int(lightStates), []light{lightOff}, func(from, to light) bool {
		return slices.Contains(lightTransitions[from], to)
	})
	for _, test := range []struct {
		name, diagram string
		want          []string
	}{
		{"the same", lightDiagram, nil},
		{
			"transition not drawn",
			strings.Replace(lightDiagram, "on --> off\n", "", 1),
			[]string{"on --> off is in the code and not drawn"},
		},
		{
			"transition not in the code",
			lightDiagram + "\nbroken --> off",
			[]string{"broken --> off is drawn and not in the code"},
		},
		{
			"other beginning",
			strings.Replace(lightDiagram, "[*] --> off", "[*] --> on", 1),
			[]string{"[*] --> off is in the code and not drawn", "[*] --> on is drawn and not in the code"},
		},
		{
			"end of a state that goes on",
			lightDiagram + "\non --> [*]",
			[]string{"on --> [*] is drawn and not in the code"},
		},
		{
			"end not drawn",
			strings.Replace(lightDiagram, "\nbroken --> [*]", "", 1),
			[]string{"broken --> [*] is in the code and not drawn"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			drawn, err := parse(pageWith(test.diagram), "Light")
			if err != nil {
				t.Fatal(err)
			}
			if got := compare(drawn, machine); !slices.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestDiagramThatCannotBeRead(t *testing.T) {
	page := pageWith(lightDiagram)
	for _, test := range []struct{ name, page, heading, want string }{
		{"no heading", page, "Lamp", "no such heading"},
		{"no diagram below the heading", page, "Other", "no Mermaid state diagram"},
		{"no end", strings.Replace(page, "\n```\n", "\n", 1), "Light", "no end"},
		{"other arrow", pageWith("off -> on"), "Light", "neither a name nor a transition"},
		{"drawn twice", pageWith("off --> on\noff --> on : again"), "Light", "drawn twice"},
	} {
		t.Run(test.name, func(t *testing.T) {
			drawn, err := parse(test.page, test.heading)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v and error %v, want an error with %q", drawn, err, test.want)
			}
		})
	}
}
