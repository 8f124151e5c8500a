package config

import (
	"errors"
	"strings"
	"testing"
)

// parseErrorCase is an invalid settings text with the expected error message of Parse.
type parseErrorCase struct{ name, text, want string }

// checkParseErrors checks that Parse returns exactly the expected error message for each case.
func checkParseErrors(t *testing.T, cases []parseErrorCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Parse("f", []byte(test.text)); err == nil || err.Error() != test.want {
				t.Errorf("Parse returned the error\n%v\nwant\n%s", err, test.want)
			}
		})
	}
}

// TestErrorsContainPosition checks that the errors of Parse contain the position and the path of the setting.
// A case without an expected error message is a valid file.
func TestErrorsContainPosition(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"empty object is valid", `{}`, ""},
		{"comments are valid", "// c\n{\n  /* d */ \"name\": \"a\", // e\n}\n", ""},
		{"unknown setting", "{\n  \"naem\": \"a\"\n}", "f:2:3: naem: no such setting"},
		{"setting given twice", "{\n  \"name\": \"a\",\n  \"name\": \"b\"\n}", "f:3:3: name: given twice"},
		{"number for a string", "{\n  \"name\": 3\n}", "f:2:11: name: 3, want a string"},
		{"fraction for a whole number", `{"peers": 1.5}`, "f:1:11: peers: 1.5, want a whole number"},
		{"object for a list", `{"classes": {}}`, "f:1:13: classes: an object, want a list"},
		{"invalid value in a task class", "{\"classes\": [\n {\"name\": \"x\", \"idempotency\": \"maybe\"}]}", "f:2:31: classes[0].idempotency: \"maybe\": want idempotent"},
		{"unknown setting in a section", `{"timing": {"grace": 1}}`, "f:1:13: timing.grace: no such setting"},
		{"value out of range", "{\n\"timing\": {\n\"answerGrace\": 0}}", "f:3:16: timing.answerGrace: 0s: want 10ms to 10s"},
		{"invalid value under a former name", "{\"classes\": [\n {\"name\": \"x\", \"effect\": \"maybe\"}]}",
			"f:2:26: classes[0].idempotency (given as classes[0].effect): \"maybe\": want idempotent"},
		{"unknown setting in a section with a former name", `{"rules": {"grace": 1}}`, "f:1:12: timing.grace (given as rules.grace): no such setting"},
		{"value out of range under a former name", "{\n\"rules\": {\n\"answerSlack\": 0}}",
			"f:3:16: timing.answerGrace (given as rules.answerSlack): 0s: want 10ms to 10s"},
		{"address is not a loopback address", `{"listen": "0.0.0.0:80"}`, "f:1:12: listen"},
		{"index of the scheduler out of range", `{"peers": 2, "self": 2}`, "f:1:22: self: want 0 to 1"},
		{"unknown default task class", `{"defaultClass": "x"}`, "f:1:18: defaultClass"},
		{"required setting of a task class is absent", `{"classes": [{"name": "a", "idempotency": "idempotent", "latencyObjective": 1}], "defaultClass": "a"}`,
			"classes[0].deadline"},
		{"invalid JSON", "{\n  \"name\": }", "f:"},
		{"sum of tenant shares above 1", `{"tenants": [{"name": "a", "share": 0.6}, {"name": "b", "share": 0.6}]}`, "tenants[1].share"},
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

// TestValidateReportsField checks that the error of Validate contains the path of the setting. Settings that
// were not read from a file have no position.
func TestValidateReportsField(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Settings)
		want   FieldError
	}{
		{"string setting", func(s *Settings) { s.LogLevel = "loud" }, FieldError{"logLevel", "want debug, info, warn or error"}},
		{"duration setting", func(s *Settings) { s.Retry.Delay = 0 }, FieldError{"retry.delay", "0s: want 1s to 1h"}},
		{"setting of a list element", func(s *Settings) { s.Classes[1].Deadline = 0 }, FieldError{"classes[1].deadline", "want more than 0, 1h at most"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := Default()
			test.change(&s)
			err := s.Validate()
			var field *FieldError
			if !errors.As(err, &field) || *field != test.want {
				t.Fatalf("Validate returned the error %v, want a *FieldError equal to %+v", err, test.want)
			}
			if want := "settings: " + test.want.Path + ": " + test.want.Reason; err.Error() != want {
				t.Errorf("Validate returned the error %q, want %q", err, want)
			}
		})
	}
}

// TestPrintedSettingsRoundTrip checks that parsing printed settings yields settings with the same printed text.
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
		t.Error("the printed settings differ after they were parsed and printed again")
	}
}
