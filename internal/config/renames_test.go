package config

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// settingPaths returns the paths of all settings in a struct type, without list indexes. Each path begins with
// the given prefix.
func settingPaths(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var paths []string
	for i := range t.NumField() {
		path := joinPath(prefix, jsonName(t.Field(i)))
		paths = append(paths, path)
		paths = append(paths, settingPaths(t.Field(i).Type, path)...)
	}
	return paths
}

// addSettingPaths adds the path of each setting in a decoded JSON value to the set "paths". The paths contain
// no list indexes, and each path begins with the given prefix.
func addSettingPaths(paths map[string]bool, value any, prefix string) {
	switch typed := value.(type) {
	case map[string]any:
		for name, member := range typed {
			path := joinPath(prefix, name)
			paths[path] = true
			addSettingPaths(paths, member, path)
		}
	case []any:
		for _, element := range typed {
			addSettingPaths(paths, element, prefix)
		}
	}
}

// release01Path returns the path that the setting with the given current path had in release 0.1.
func release01Path(path string) string {
	section, name := "", path
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		section, name = path[:dot], path[dot+1:]
	}
	for _, key := range settingRenames.Keys {
		if key.Section == section && key.Current == name {
			name = key.Former
		}
	}
	if section == "" {
		return name
	}
	return joinPath(release01Path(section), name)
}

// release01TenantPaths contains the paths that the settings of tenants had in release 0.1. The file with the
// default settings of release 0.1 does not contain these settings, because its list of tenants is empty.
var release01TenantPaths = []string{"tenants.name", "tenants.share", "tenants.cores"}

// TestFormerNamesMatchRelease01 checks that the table of former names is complete and one-to-one. The test uses
// the table to map the current path of each setting to the path in release 0.1. Each path of release 0.1 must
// result exactly once, and no other path may result.
func TestFormerNamesMatchRelease01(t *testing.T) {
	text, err := os.ReadFile("testdata/settings-0.1.json")
	if err != nil {
		t.Fatal(err)
	}
	var file any
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{}
	addSettingPaths(want, file, "")
	for _, path := range release01TenantPaths {
		want[path] = true
	}
	got := map[string]bool{}
	for _, path := range settingPaths(reflect.TypeFor[Settings](), "") {
		formerPath := release01Path(path)
		if got[formerPath] {
			t.Errorf("two current settings have the same path %s in release 0.1", formerPath)
		}
		got[formerPath] = true
		if !want[formerPath] {
			t.Errorf("the table of former names maps the setting %s to %s, which was not a setting of release 0.1", path, formerPath)
		}
	}
	for formerPath := range want {
		if !got[formerPath] {
			t.Errorf("no current setting corresponds to the setting %s of release 0.1", formerPath)
		}
	}
}

// TestFormerNamesDoNotClash checks that each entry in the table of former names refers to an existing setting.
// It also checks that no former name is also the current name of a setting in the same section, and that the
// table contains no name and no value of a setting twice.
func TestFormerNamesDoNotClash(t *testing.T) {
	seen := map[string]bool{}
	checkUnique := func(kind, name string) {
		if seen[kind+name] {
			t.Errorf("the table of former names contains the %s %q twice", kind, name)
		}
		seen[kind+name] = true
	}
	currentPaths := settingPaths(reflect.TypeFor[Settings](), "")
	for _, key := range settingRenames.Keys {
		former, name := joinPath(key.Section, key.Former), joinPath(key.Section, key.Current)
		if !slices.Contains(currentPaths, name) {
			t.Errorf("the table of former names contains the current name %s, which is not a setting", name)
		}
		if slices.Contains(currentPaths, former) {
			t.Errorf("%s is both the name of a current setting and the former name of the setting %s", former, name)
		}
		checkUnique("former name", former)
		checkUnique("current name", name)
	}
	for _, value := range settingRenames.Values {
		if _, known := topologyDomains[value.Current]; !known || !slices.Contains(currentPaths, value.Path) {
			t.Errorf("renamed value of %s: this path is not a setting, or the current value %q (formerly %q) is not a topology domain", value.Path, value.Current, value.Former)
		}
		if _, known := topologyDomains[value.Former]; known {
			t.Errorf("renamed value of %s: %q is listed as the former form of %q, but is a current topology domain", value.Path, value.Former, value.Current)
		}
		// In the table, a value of a setting may occur only once, either as a former value or as a current
		// value.
		checkUnique("value", value.Path+" = "+value.Former)
		checkUnique("value", value.Path+" = "+value.Current)
	}
}

// TestRelease01DefaultsEqualDefaults checks that the file with the default settings of release 0.1 yields the
// current default settings. Migration replaces the former names in the text of the file. The migrated text must
// contain no former names and must yield the same settings.
func TestRelease01DefaultsEqualDefaults(t *testing.T) {
	document, err := LoadDocument("testdata/settings-0.1.json")
	if err != nil {
		t.Fatal(err)
	}
	if want := Default(); !reflect.DeepEqual(document.Settings, want) {
		t.Errorf("the file of release 0.1 yields the settings %+v, want the current default settings", document.Settings)
	}
	migrated, err := parseDocument("f", document.MigratedText)
	if err != nil {
		t.Fatal(err)
	}
	if len(migrated.FormerNames) != 0 || string(migrated.MigratedText) != string(document.MigratedText) {
		t.Errorf("a second migration changed the migrated text, or the migrated text contains former names: %v", migrated.FormerNames)
	}
	if !reflect.DeepEqual(migrated.Settings, document.Settings) {
		t.Errorf("the migrated text yields the settings %+v, want the same settings as the original file", migrated.Settings)
	}
}

// TestMigrationKeepsComments checks that migration changes only the former names and former values in a file,
// and keeps comments and white space. Each former name and former value must be reported with its position.
func TestMigrationKeepsComments(t *testing.T) {
	const text = `// Head.
{
  "rules": { "answerSlack": 0.3, /* why */ }, // tail
  "classes": [
    // One.
    {"name": "a", "effect": "deduplicated", "keyScope": "all", "keyTtl": 5,
     "aim": 1, "deadline": 2, "calmUpTo": 1, "apartBy": "machine", "togetherMax": 2},
  ],
  "defaultClass": "a",
  "machines": {"maxAttempts": 3},
}
`
	const wantMigrated = `// Head.
{
  "timing": { "answerGrace": 0.3, /* why */ }, // tail
  "classes": [
    // One.
    {"name": "a", "idempotency": "deduplicated", "dedupDomain": "cluster", "dedupWindow": 5,
     "latencyObjective": 1, "deadline": 2, "saturationThreshold": 1, "spreadDomain": "node", "maxPerDomain": 2},
  ],
  "defaultClass": "a",
  "nodePolicy": {"maxAttempts": 3},
}
`
	wantReported := []string{
		"3:3: rules is now timing",
		"3:14: rules.answerSlack is now timing.answerGrace",
		"6:19: classes[0].effect is now classes[0].idempotency",
		"6:45: classes[0].keyScope is now classes[0].dedupDomain",
		`6:57: classes[0].dedupDomain "all" is now "cluster"`,
		"6:64: classes[0].keyTtl is now classes[0].dedupWindow",
		"7:6: classes[0].aim is now classes[0].latencyObjective",
		"7:31: classes[0].calmUpTo is now classes[0].saturationThreshold",
		"7:46: classes[0].apartBy is now classes[0].spreadDomain",
		`7:57: classes[0].spreadDomain "machine" is now "node"`,
		"7:68: classes[0].togetherMax is now classes[0].maxPerDomain",
		"10:3: machines is now nodePolicy",
	}
	document, err := parseDocument("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if string(document.MigratedText) != wantMigrated {
		t.Errorf("the migrated text is\n%s\nwant\n%s", document.MigratedText, wantMigrated)
	}
	var reported []string
	for _, name := range document.FormerNames {
		reported = append(reported, name.String())
	}
	if !slices.Equal(reported, wantReported) {
		t.Errorf("the reported former names are\n%s\nwant\n%s", strings.Join(reported, "\n"), strings.Join(wantReported, "\n"))
	}
	class := document.Settings.Classes[0]
	if class.DedupDomain != ClusterDomain || class.SpreadDomain != NodeDomain {
		t.Errorf("the deduplication domain and the spread domain are %q and %q, want %q and %q", class.DedupDomain, class.SpreadDomain, ClusterDomain, NodeDomain)
	}
}

// TestSettingGivenUnderBothNames checks the error for a setting that occurs twice in a file, once with its
// former name and once with its current name. The error must contain both names and their lines. If both
// occurrences have the former name, the error contains this name.
func TestSettingGivenUnderBothNames(t *testing.T) {
	checkParseErrors(t, []parseErrorCase{
		{"setting with its former name and then with its current name", "{\n\"heardWithin\": 1,\n\"nodeSyncTimeout\": 1}",
			`f:3:1: nodeSyncTimeout: given twice, as "heardWithin" in line 2 and as "nodeSyncTimeout" in line 3`},
		{"setting with its current name and then with its former name", "{\n\"nodeSyncTimeout\": 1,\n\n\"heardWithin\": 1}",
			`f:4:1: nodeSyncTimeout (given as heardWithin): given twice, as "nodeSyncTimeout" in line 2 and as "heardWithin" in line 4`},
		{"section with its former name and then with its current name", "{\n\"rules\": {\"answerSlack\": 1},\n\"timing\": {\"drainGrace\": 1}}",
			`f:3:1: timing: given twice, as "rules" in line 2 and as "timing" in line 3`},
		{"setting with both names in a section with its former name", "{\"gate\": {\n\"on\": true,\n\"enabled\": true}}",
			`f:3:1: admission.enabled (given as gate.enabled): given twice, as "on" in line 2 and as "enabled" in line 3`},
		{"setting that occurs twice with its former name", "{\n\"heardWithin\": 1,\n\"heardWithin\": 1}", `f:3:1: nodeSyncTimeout (given as heardWithin): given twice`},
	})
}

// TestFormerNamesApplyOnlyInTheirSection checks that Parse rejects the former name of a setting in any other
// section, and that Parse does not replace a former value of one setting in another setting.
func TestFormerNamesApplyOnlyInTheirSection(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"former name of a task class setting at the top level", `{"effect": 1}`, "f:1:2: effect: no such setting"},
		{"former name of an admission setting in the retry section", `{"retry": {"window": 1}}`, "f:1:12: retry.window: no such setting"},
		{"former values of topology domain settings in other settings", `{"zone": "machine", "name": "all"}`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, err := Parse("f", []byte(test.text))
			if test.want == "" {
				if err != nil || settings.Zone != "machine" || settings.Name != "all" {
					t.Errorf("Parse returned the zone %q, the name %q and the error %v, want \"machine\", \"all\" and no error", settings.Zone, settings.Name, err)
				}
				return
			}
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("Parse returned the error %v, want an error that begins with %q", err, test.want)
			}
		})
	}
}

// TestFormerNamesAreDocumented checks that the page docs/operations.md documents each renamed setting. The page
// must contain a table row with the former path and the current path of the setting.
func TestFormerNamesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range settingRenames.Keys {
		section, formerSection := key.Section, release01Path(key.Section)
		if key.Section == "classes" {
			section, formerSection = "classes[]", "classes[]"
		}
		row := "| `" + joinPath(formerSection, key.Former) + "` | `" + joinPath(section, key.Current) + "` |"
		if !strings.Contains(string(page), row) {
			t.Errorf("the page docs/operations.md does not contain the table row %s for a renamed setting", row)
		}
	}
}
