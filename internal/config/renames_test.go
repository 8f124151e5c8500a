package config

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// settingPaths returns the paths of all settings in a struct type. The paths contain no list indexes.
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

// addSettingPaths adds the paths of all settings in a decoded file to paths. The paths contain no list indexes.
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

// release01Path returns the path that a setting had in release 0.1.
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

// release01TenantPaths contains the paths of the settings of tenants. The file with the defaults of release 0.1
// does not contain these settings, because its list of tenants is empty.
var release01TenantPaths = []string{"tenants.name", "tenants.share", "tenants.cores"}

// TestFormerNamesMatchRelease01 checks that the table of former names is complete and one-to-one. The paths of
// all settings in release 0.1 must result from the current paths, and each of them must result exactly once.
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
		former := release01Path(path)
		if got[former] {
			t.Errorf("%s is the former path of two settings", former)
		}
		got[former] = true
		if !want[former] {
			t.Errorf("the former path of %s is %s, which was not a setting of release 0.1", path, former)
		}
	}
	for former := range want {
		if !got[former] {
			t.Errorf("the setting %s of release 0.1 has no current name", former)
		}
	}
}

// TestFormerNamesDoNotClash checks that each entry in the table of former names refers to an existing setting,
// and that no former name is also the current name of a setting in the same section.
func TestFormerNamesDoNotClash(t *testing.T) {
	seen := map[string]bool{}
	checkUnique := func(kind, name string) {
		if seen[kind+name] {
			t.Errorf("the table of former names contains the %s %s twice", kind, name)
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
			t.Errorf("%s is both a current setting and the former name of %s", former, name)
		}
		checkUnique("former name", former)
		checkUnique("current name", name)
	}
	for _, value := range settingRenames.Values {
		if _, known := topologyDomains[value.Current]; !known || !slices.Contains(currentPaths, value.Path) {
			t.Errorf("%s is not a setting, or %q (formerly %q) is not one of its values", value.Path, value.Current, value.Former)
		}
		if _, known := topologyDomains[value.Former]; known {
			t.Errorf("%s: %q is both a current value and the former name of the value %q", value.Path, value.Former, value.Current)
		}
		// The same value must not be both a current value and a former value of a setting.
		checkUnique("value of", value.Path+" "+value.Former)
		checkUnique("value of", value.Path+" "+value.Current)
	}
}

// TestRelease01DefaultsEqualDefaults checks that the file with the defaults of release 0.1 yields the current
// defaults, both before and after migration. The migrated file must not contain former names.
func TestRelease01DefaultsEqualDefaults(t *testing.T) {
	document, err := LoadDocument("testdata/settings-0.1.json")
	if err != nil {
		t.Fatal(err)
	}
	if want := Default(); !reflect.DeepEqual(document.Settings, want) {
		t.Errorf("the file of release 0.1 yields the settings %+v, want the defaults", document.Settings)
	}
	migrated, err := parseDocument("f", document.MigratedText)
	if err != nil {
		t.Fatal(err)
	}
	if len(migrated.FormerNames) != 0 || string(migrated.MigratedText) != string(document.MigratedText) {
		t.Errorf("decoding the migrated file changed its text or found former names: %v", migrated.FormerNames)
	}
	if !reflect.DeepEqual(migrated.Settings, document.Settings) {
		t.Errorf("the migrated file yields the settings %+v, which differ from those before the migration", migrated.Settings)
	}
}

// TestMigrationKeepsComments checks that migration changes only former names and former values, and that each
// of them is reported with its position.
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
	wantFormer := []string{
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
	var former []string
	for _, name := range document.FormerNames {
		former = append(former, name.String())
	}
	if !slices.Equal(former, wantFormer) {
		t.Errorf("the reported former names are\n%s\nwant\n%s", strings.Join(former, "\n"), strings.Join(wantFormer, "\n"))
	}
	class := document.Settings.Classes[0]
	if class.DedupDomain != ClusterDomain || class.SpreadDomain != NodeDomain {
		t.Errorf("the deduplication domain and the spread domain are %q and %q, want %q and %q", class.DedupDomain, class.SpreadDomain, ClusterDomain, NodeDomain)
	}
}

// TestSettingGivenUnderBothNames checks the error for a setting that a file contains under its former and its
// current name. The error must contain both names and their lines.
func TestSettingGivenUnderBothNames(t *testing.T) {
	checkParseErrors(t, []parseErrorCase{
		{"former name before current name", "{\n\"heardWithin\": 1,\n\"nodeSyncTimeout\": 1}",
			`f:3:1: nodeSyncTimeout: given twice, as "heardWithin" in line 2 and as "nodeSyncTimeout" in line 3`},
		{"current name before former name", "{\n\"nodeSyncTimeout\": 1,\n\n\"heardWithin\": 1}",
			`f:4:1: nodeSyncTimeout (given as heardWithin): given twice, as "nodeSyncTimeout" in line 2 and as "heardWithin" in line 4`},
		{"section under both names", "{\n\"rules\": {\"answerSlack\": 1},\n\"timing\": {\"drainGrace\": 1}}",
			`f:3:1: timing: given twice, as "rules" in line 2 and as "timing" in line 3`},
		{"setting in a section with a former name", "{\"gate\": {\n\"on\": true,\n\"enabled\": true}}",
			`f:3:1: admission.enabled (given as gate.enabled): given twice, as "on" in line 2 and as "enabled" in line 3`},
		{"former name given twice", "{\n\"heardWithin\": 1,\n\"heardWithin\": 1}", `f:3:1: nodeSyncTimeout (given as heardWithin): given twice`},
	})
}

// TestFormerNamesApplyOnlyInTheirSection checks that the former name of a setting is unknown in other sections,
// and that a former value of a setting is not replaced in other settings.
func TestFormerNamesApplyOnlyInTheirSection(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"former name of a task class setting at the top level", `{"effect": 1}`, "f:1:2: effect: no such setting"},
		{"former name of an admission setting in retry", `{"retry": {"window": 1}}`, "f:1:12: retry.window: no such setting"},
		{"former value in another setting", `{"zone": "machine", "name": "all"}`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, err := Parse("f", []byte(test.text))
			if test.want == "" {
				if err != nil || settings.Zone != "machine" || settings.Name != "all" {
					t.Errorf("zone is %q and name is %q (error %v), want unchanged values and no error", settings.Zone, settings.Name, err)
				}
				return
			}
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("Parse returned the error %v, want an error that begins with %s", err, test.want)
			}
		})
	}
}

// TestFormerNamesAreDocumented checks that docs/operations.md contains a table row for each former name with
// the current name.
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
			t.Errorf("docs/operations.md does not contain the table row %s", row)
		}
	}
}
