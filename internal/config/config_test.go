package config

import (
	"errors"
	"strings"
	"testing"
)

// parseErrorCase is a text of settings with the error of its decoding.
type parseErrorCase struct{ name, text, want string }

// checkParseErrors decodes the texts and compares the complete texts of the errors.
func checkParseErrors(t *testing.T, cases []parseErrorCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Parse("f", []byte(test.text)); err == nil || err.Error() != test.want {
				t.Errorf("%v\nwant %s", err, test.want)
			}
		})
	}
}

func TestErrorsContainPosition(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"nothing", `{}`, ""},
		{"comments", "// c\n{\n  /* d */ \"name\": \"a\", // e\n}\n", ""},
		{"unknown", "{\n  \"naem\": \"a\"\n}", "f:2:3: naem: no such setting"},
		{"twice", "{\n  \"name\": \"a\",\n  \"name\": \"b\"\n}", "f:3:3: name: given twice"},
		{"type", "{\n  \"name\": 3\n}", "f:2:11: name: 3, want a string"},
		{"whole number", `{"peers": 1.5}`, "f:1:11: peers: 1.5, want a whole number"},
		{"list", `{"classes": {}}`, "f:1:13: classes: an object, want a list"},
		{"nested", "{\"classes\": [\n {\"name\": \"x\", \"idempotency\": \"maybe\"}]}", "f:2:31: classes[0].idempotency: \"maybe\": want idempotent"},
		{"nested unknown", `{"timing": {"grace": 1}}`, "f:1:13: timing.grace: no such setting"},
		{"range", "{\n\"timing\": {\n\"answerGrace\": 0}}", "f:3:16: timing.answerGrace: 0s: want 10ms to 10s"},
		{"former name", "{\"classes\": [\n {\"name\": \"x\", \"effect\": \"maybe\"}]}",
			"f:2:26: classes[0].idempotency (given as classes[0].effect): \"maybe\": want idempotent"},
		{"unknown in a former section", `{"rules": {"grace": 1}}`, "f:1:12: timing.grace (given as rules.grace): no such setting"},
		{"range under a former name", "{\n\"rules\": {\n\"answerSlack\": 0}}",
			"f:3:16: timing.answerGrace (given as rules.answerSlack): 0s: want 10ms to 10s"},
		{"not loopback", `{"listen": "0.0.0.0:80"}`, "f:1:12: listen"},
		{"self", `{"peers": 2, "self": 2}`, "f:1:22: self: want 0 to 1"},
		{"default class", `{"defaultClass": "x"}`, "f:1:18: defaultClass"},
		{"absent field of a class", `{"classes": [{"name": "a", "idempotency": "idempotent", "latencyObjective": 1}], "defaultClass": "a"}`,
			"classes[0].deadline"},
		{"broken", "{\n  \"name\": }", "f:"},
		{"shares", `{"tenants": [{"name": "a", "share": 0.6}, {"name": "b", "share": 0.6}]}`, "tenants[1].share"},
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
				t.Errorf("%v, want an *Error with %q", err, test.want)
			}
		})
	}
}

// Settings that are not read from a file have no position: the error names the setting.
func TestValidateReportsField(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Settings)
		want   FieldError
	}{
		{"text", func(s *Settings) { s.LogLevel = "loud" }, FieldError{"logLevel", "want debug, info, warn or error"}},
		{"number", func(s *Settings) { s.Retry.Delay = 0 }, FieldError{"retry.delay", "0s: want 1s to 1h"}},
		{"element", func(s *Settings) { s.Classes[1].Deadline = 0 }, FieldError{"classes[1].deadline", "want more than 0, 1h at most"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := Default()
			test.change(&s)
			err := s.Validate()
			var field *FieldError
			if !errors.As(err, &field) || *field != test.want {
				t.Fatalf("%v, want %+v", err, test.want)
			}
			if want := "settings: " + test.want.Path + ": " + test.want.Reason; err.Error() != want {
				t.Errorf("%q, want %q", err, want)
			}
		})
	}
}

// Printed settings can be parsed again, to the same settings.
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
	if again, _ := parsed.Text(); string(printed) != string(again) {
		t.Error("printed settings differ after reading")
	}
}
