package config

import (
	"errors"
	"strings"
	"testing"
)

// parseErrorCase contains the text of an invalid settings file and the error message that Parse must return.
type parseErrorCase struct{ name, text, want string }

// checkParseErrors checks for each test case that Parse returns exactly the expected error message.
func checkParseErrors(t *testing.T, cases []parseErrorCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Parse("f", []byte(test.text)); err == nil || err.Error() != test.want {
				t.Errorf("Parse returned the error\n%v\nwant the error\n%s", err, test.want)
			}
		})
	}
}

// TestErrorsContainPosition checks that an error of Parse contains the position and the path of the invalid
// setting. A test case whose expected error message is empty contains a valid file.
func TestErrorsContainPosition(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"file with an empty object is valid", `{}`, ""},
		{"file with comments and a trailing comma is valid", "// c\n{\n  /* d */ \"name\": \"a\", // e\n}\n", ""},
		{"unknown setting at the top level", "{\n  \"naem\": \"a\"\n}", "f:2:3: naem: no such setting"},
		{"setting that occurs twice in the file", "{\n  \"name\": \"a\",\n  \"name\": \"b\"\n}", "f:3:3: name: given twice"},
		{"number as the value of a string setting", "{\n  \"name\": 3\n}", "f:2:11: name: 3, want a string"},
		{"fraction as the value of a whole-number setting", `{"peers": 1.5}`, "f:1:11: peers: 1.5, want a whole number"},
		{"number that no float64 can hold", `{"admission": {"retryRatio": 1e999}}`, "f:1:30: admission.retryRatio: 1e999, want a number"},
		{"negative number that no float64 can hold", `{"admission": {"retryRatio": -1e999}}`, "f:1:30: admission.retryRatio: -1e999, want a number"},
		{"object as the value of a list setting", `{"classes": {}}`, "f:1:13: classes: an object, want a list"},
		{"invalid value of a task class setting", "{\"classes\": [\n {\"name\": \"x\", \"idempotency\": \"maybe\"}]}", "f:2:31: classes[0].idempotency: \"maybe\": want idempotent"},
		{"unknown setting in a section", `{"timing": {"grace": 1}}`, "f:1:13: timing.grace: no such setting"},
		{"duration below the smallest permitted value", "{\n\"timing\": {\n\"answerGrace\": 0}}", "f:3:16: timing.answerGrace: 0s: want 10ms to 10s"},
		{"invalid value of a setting with its former name", "{\"classes\": [\n {\"name\": \"x\", \"effect\": \"maybe\"}]}",
			"f:2:26: classes[0].idempotency (given as classes[0].effect): \"maybe\": want idempotent"},
		{"unknown setting in a section with its former name", `{"rules": {"grace": 1}}`, "f:1:12: timing.grace (given as rules.grace): no such setting"},
		{"duration out of range in a setting with its former name", "{\n\"rules\": {\n\"answerSlack\": 0}}",
			"f:3:16: timing.answerGrace (given as rules.answerSlack): 0s: want 10ms to 10s"},
		{"listen address is not a loopback address", `{"listen": "0.0.0.0:80"}`, "f:1:12: listen"},
		{"index of the scheduler is not below the number of schedulers", `{"peers": 2, "self": 2}`, "f:1:22: self: want 0 to 1"},
		{"default task class is not in the list of task classes", `{"defaultClass": "x"}`, "f:1:18: defaultClass"},
		{"required deadline of a task class is absent", `{"classes": [{"name": "a", "idempotency": "idempotent", "latencyObjective": 1}], "defaultClass": "a"}`,
			"classes[0].deadline"},
		{"file is not valid JSON", "{\n  \"name\": }", "f:"},
		{"sum of all tenant shares is above 1", `{"tenants": [{"name": "a", "share": 0.6}, {"name": "b", "share": 0.6}]}`, "tenants[1].share"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f", []byte(test.text))
			if test.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			var positioned *Error
			if !errors.As(err, &positioned) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("Parse returned the error %v, want an *Error that contains %q", err, test.want)
			}
		})
	}
}

// TestValidateReportsField checks that the error of Validate contains the path of the invalid setting. The
// error contains no position, because the settings were not read from a file.
func TestValidateReportsField(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Settings)
		want   FieldError
	}{
		{"invalid value of a string setting", func(s *Settings) { s.LogLevel = "loud" }, FieldError{"logLevel", "want debug, info, warn or error"}},
		{"duration setting out of range", func(s *Settings) { s.Retry.Delay = 0 }, FieldError{"retry.delay", "0s: want 1s to 1h"}},
		{"invalid deadline of the second task class in the list", func(s *Settings) { s.Classes[1].Deadline = 0 }, FieldError{"classes[1].deadline", "want more than 0, 1h at most"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := Default()
			test.change(&s)
			err := s.Validate()
			var field *FieldError
			if !errors.As(err, &field) || *field != test.want {
				t.Fatalf("Validate returned the error %v, want an error that wraps the *FieldError %+v", err, test.want)
			}
			if want := "settings: " + test.want.Path + ": " + test.want.Reason; err.Error() != want {
				t.Errorf("the error message of Validate is %q, want %q", err, want)
			}
		})
	}
}

// TestPrintedSettingsRoundTrip checks that Parse accepts the text of the default settings that Settings.Text
// returns, and that the parsed settings have the same text again.
func TestPrintedSettingsRoundTrip(t *testing.T) {
	s := Default()
	printed, err := s.Text()
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse("f", printed)
	if err != nil {
		t.Fatal(err)
	}
	if reprinted, _ := parsed.Text(); string(printed) != string(reprinted) {
		t.Error("parsing the text of the default settings yields settings with another text, want the same text")
	}
}
