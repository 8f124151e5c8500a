package labconfig

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"heathshed/internal/lab/scenario"
)

// writeScript writes a script to a file of a temporary directory and returns its path.
func writeScript(t *testing.T, text []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "script")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// withoutTenants removes the tenants of a printed script that has none: they are printed as null, which is not read.
func withoutTenants(printed []byte) []byte {
	return bytes.Replace(printed, []byte(`"tenants":null,`), nil, 1)
}

// checkBuiltIn checks that a printed script is read as the built-in one.
func checkBuiltIn(t *testing.T, printed []byte) {
	t.Helper()
	script, err := LoadScript(writeScript(t, withoutTenants(printed)))
	if err != nil {
		t.Fatal(err)
	}
	if want := scenario.Default(); !reflect.DeepEqual(script, want) {
		t.Errorf("%+v, want the built-in script", script)
	}
}

// printBuiltIn returns the printed built-in script.
func printBuiltIn(t *testing.T) []byte {
	t.Helper()
	script := scenario.Default()
	printed, err := json.Marshal(&script)
	if err != nil {
		t.Fatal(err)
	}
	return printed
}

// readRelease01 returns the built-in script as release 0.1 printed it.
func readRelease01(t *testing.T) []byte {
	t.Helper()
	printed, err := os.ReadFile("testdata/script-0.1.json")
	if err != nil {
		t.Fatal(err)
	}
	return printed
}

// The built-in script as release 0.1 printed it is read as the built-in script.
func TestScriptOfRelease01(t *testing.T) { checkBuiltIn(t, readRelease01(t)) }

// A printed script is read again, as the same script.
func TestPrintedScriptRoundTrip(t *testing.T) { checkBuiltIn(t, printBuiltIn(t)) }

// The table of former names is complete and one to one: it turns the printed built-in script into the one of release 0.1.
func TestFormerScriptNamesAreThoseOfRelease01(t *testing.T) {
	want, printed := readRelease01(t), printBuiltIn(t)
	for _, key := range formerScriptNames.Keys {
		present, former := []byte(`"`+key.Current+`":`), []byte(`"`+key.Former+`":`)
		if bytes.Contains(printed, former) || !bytes.Contains(printed, present) {
			t.Errorf("%s.%s is no present field, or %s is one", key.Section, key.Current, key.Former)
		}
		printed = bytes.ReplaceAll(printed, present, former)
	}
	if got := strings.TrimSpace(string(printed)); got != strings.TrimSpace(string(want)) {
		t.Errorf("%s\nwant\n%s", got, want)
	}
}

func TestScriptErrorsNameBothNames(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"present name", `{"faults": [{"kind": "crash", "fraction": 2}]}`, ":1:43: faults[0].fraction: want 0 to 1"},
		{"former name", `{"trouble": [{"kind": "crash", "part": 2}]}`, ":1:40: faults[0].fraction (given as trouble[0].part): want 0 to 1"},
		{"both names", "{\"calm\": 1,\n\"cooldown\": 1}", `:2:1: cooldown: given twice, as "calm" in line 1 and as "cooldown" in line 2`},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := writeScript(t, []byte(test.text))
			_, err := LoadScript(path)
			if err == nil || err.Error() != path+test.want {
				t.Errorf("%v, want %s%s", err, path, test.want)
			}
		})
	}
}
