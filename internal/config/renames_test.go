package config

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// settingNames returns the paths of all settings of a struct, without indexes of lists.
func settingNames(t reflect.Type, prefix string) []string {
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
		paths = append(paths, settingNames(t.Field(i).Type, path)...)
	}
	return paths
}

// addKeys adds the paths of all settings of a decoded file, without indexes of lists.
func addKeys(keys map[string]bool, value any, prefix string) {
	switch typed := value.(type) {
	case map[string]any:
		for name, member := range typed {
			path := joinPath(prefix, name)
			keys[path] = true
			addKeys(keys, member, path)
		}
	case []any:
		for _, element := range typed {
			addKeys(keys, element, prefix)
		}
	}
}

// formerPath returns the path that a setting had in release 0.1.
func formerPath(path string) string {
	section, name := "", path
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		section, name = path[:dot], path[dot+1:]
	}
	for _, key := range formerNames.Keys {
		if key.Section == section && key.Current == name {
			name = key.Former
		}
	}
	if section == "" {
		return name
	}
	return joinPath(formerPath(section), name)
}

// tenantKeys are settings of which the defaults of release 0.1 give no example.
var tenantKeys = []string{"tenants.name", "tenants.share", "tenants.cores"}

// The table of former names is complete and one to one: from the names of all settings it gives those of release 0.1, each once.
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
	addKeys(want, file, "")
	for _, path := range tenantKeys {
		want[path] = true
	}
	got := map[string]bool{}
	for _, path := range settingNames(reflect.TypeFor[Settings](), "") {
		former := formerPath(path)
		if got[former] {
			t.Errorf("%s was the name of two settings", former)
		}
		got[former] = true
		if !want[former] {
			t.Errorf("%s: %s was no setting of release 0.1", path, former)
		}
	}
	for former := range want {
		if !got[former] {
			t.Errorf("%s of release 0.1 is no setting under a present name", former)
		}
	}
}

// Each entry of the table names a setting, and no former name is that of another setting of the same section.
func TestFormerNamesDoNotClash(t *testing.T) {
	seen := map[string]bool{}
	listedOnce := func(kind, name string) {
		if seen[kind+name] {
			t.Errorf("%s %s: listed twice", kind, name)
		}
		seen[kind+name] = true
	}
	present := settingNames(reflect.TypeFor[Settings](), "")
	for _, key := range formerNames.Keys {
		former, name := joinPath(key.Section, key.Former), joinPath(key.Section, key.Current)
		if !slices.Contains(present, name) {
			t.Errorf("%s is no setting", name)
		}
		if slices.Contains(present, former) {
			t.Errorf("%s is the name of a setting, and the former name of %s", former, name)
		}
		listedOnce("former name", former)
		listedOnce("present name", name)
	}
	for _, value := range formerNames.Values {
		if _, known := topologyDomains[value.Current]; !known || !slices.Contains(present, value.Path) {
			t.Errorf("%s: %q, formerly %q, is no value of a setting", value.Path, value.Current, value.Former)
		}
		if _, known := topologyDomains[value.Former]; known {
			t.Errorf("%s: %q is a value, and the former word for %q", value.Path, value.Former, value.Current)
		}
		// Present and former values share one name space: a value cannot be both.
		listedOnce("value of", value.Path+" "+value.Former)
		listedOnce("value of", value.Path+" "+value.Current)
	}
}

// The file of release 0.1 gives the default settings, also once it is migrated, which leaves no former name in it.
func TestRelease01DefaultsEqualDefaults(t *testing.T) {
	document, err := LoadDocument("testdata/settings-0.1.json")
	if err != nil {
		t.Fatal(err)
	}
	if want := Default(); !reflect.DeepEqual(document.Settings, want) {
		t.Errorf("%+v, want the defaults", document.Settings)
	}
	migrated, err := parseDocument("f", document.MigratedText)
	if err != nil {
		t.Fatal(err)
	}
	if len(migrated.FormerNames) != 0 || string(migrated.MigratedText) != string(document.MigratedText) {
		t.Errorf("a migrated file is migrated again: %v", migrated.FormerNames)
	}
	if !reflect.DeepEqual(migrated.Settings, document.Settings) {
		t.Errorf("%+v after the migration, want the same as before it", migrated.Settings)
	}
}

// A migrated file differs in names alone, and each former name is listed with its position.
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
		t.Errorf("migrated:\n%s\nwant\n%s", document.MigratedText, wantMigrated)
	}
	var former []string
	for _, name := range document.FormerNames {
		former = append(former, name.String())
	}
	if !slices.Equal(former, wantFormer) {
		t.Errorf("former names:\n%s\nwant\n%s", strings.Join(former, "\n"), strings.Join(wantFormer, "\n"))
	}
	class := document.Settings.Classes[0]
	if class.DedupDomain != ClusterDomain || class.SpreadDomain != NodeDomain {
		t.Errorf("domains %q and %q, want %q and %q", class.DedupDomain, class.SpreadDomain, ClusterDomain, NodeDomain)
	}
}

// A setting that is given under both of its names is an error that names both lines.
func TestSettingGivenUnderBothNames(t *testing.T) {
	checkParseErrors(t, []parseErrorCase{
		{"former name first", "{\n\"heardWithin\": 1,\n\"nodeSyncTimeout\": 1}",
			`f:3:1: nodeSyncTimeout: given twice, as "heardWithin" in line 2 and as "nodeSyncTimeout" in line 3`},
		{"present name first", "{\n\"nodeSyncTimeout\": 1,\n\n\"heardWithin\": 1}",
			`f:4:1: nodeSyncTimeout (given as heardWithin): given twice, as "nodeSyncTimeout" in line 2 and as "heardWithin" in line 4`},
		{"sections", "{\n\"rules\": {\"answerSlack\": 1},\n\"timing\": {\"drainGrace\": 1}}",
			`f:3:1: timing: given twice, as "rules" in line 2 and as "timing" in line 3`},
		{"within a former section", "{\"gate\": {\n\"on\": true,\n\"enabled\": true}}",
			`f:3:1: admission.enabled (given as gate.enabled): given twice, as "on" in line 2 and as "enabled" in line 3`},
		{"a former name twice", "{\n\"heardWithin\": 1,\n\"heardWithin\": 1}", `f:3:1: nodeSyncTimeout (given as heardWithin): given twice`},
	})
}

// A name that changed in one section is unknown in the others.
func TestFormerNamesApplyOnlyInTheirSection(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"of a class at the top", `{"effect": 1}`, "f:1:2: effect: no such setting"},
		{"of admission in retry", `{"retry": {"window": 1}}`, "f:1:12: retry.window: no such setting"},
		{"value of another setting", `{"zone": "machine", "name": "all"}`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, err := Parse("f", []byte(test.text))
			if test.want == "" {
				if err != nil || settings.Zone != "machine" || settings.Name != "all" {
					t.Errorf("%q, %q, %v; want the values as they are", settings.Zone, settings.Name, err)
				}
				return
			}
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("%v, want %s", err, test.want)
			}
		})
	}
}

// The page for operators lists each former name with the present one.
func TestFormerNamesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range formerNames.Keys {
		section, formerSection := key.Section, formerPath(key.Section)
		if key.Section == "classes" {
			section, formerSection = "classes[]", "classes[]"
		}
		row := "| `" + joinPath(formerSection, key.Former) + "` | `" + joinPath(section, key.Current) + "` |"
		if !strings.Contains(string(page), row) {
			t.Errorf("operations.md has no row %s", row)
		}
	}
}
