//go:build linux

package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"heathshed/internal/eventloop"
	"heathshed/placer"
)

// TestUnfamiliarSettings feeds settings that no customer of ours has yet to a whole start: each either is refused with an error that names
// the key, or gives a scheduler that answers a set-up of each class.
func TestUnfamiliarSettings(t *testing.T) {
	type object = map[string]any
	sub := func(settings object, name string) object { return settings[name].(object) }
	class := func(settings object, i int) object { return settings["lanes"].([]any)[i].(object) }
	for name, c := range map[string]struct {
		change  func(settings object)
		refused string // what the error names, if it is one
		places  bool   // a machine takes the set-ups
	}{
		"as they are":      {func(object) {}, "", true},
		"unknown keys":     {func(settings object) { settings["später"] = []any{1}; sub(settings, "extra")["x"] = object{"y": nil} }, "", true},
		"classes reversed": {func(settings object) { loop := settings["lanes"].([]any); loop[0], loop[1] = loop[1], loop[0] }, "", true},
		"names as people write them": {func(settings object) {
			class(settings, 0)["name"], class(settings, 1)["name"] = `préstamo "libros", ;:`, "0"
			settings["orgs"].([]any)[0].(object)["name"] = "Straße\t1\u2028"
			settings["zones"], settings["flavors"] = []any{"ж"}, []any{"größer als"}
		}, "", true},
		"a class that the module never saw": {func(settings object) {
			settings["lanes"] = append(settings["lanes"].([]any), object{"name": "new", "effect": "deduplicated", "keyScope": "zone", "keyTtlS": 3.0, "hardLimitS": 2.0, "objectiveS": 0.5, "worth": 1.0})
		}, "", true},
		"forty classes": {func(settings object) {
			var all []any
			for i := range 40 {
				all = append(all, object{"name": fmt.Sprint("c", i), "effect": "idempotent", "hardLimitS": 2.0, "objectiveS": 0.5, "worth": 1.0})
			}
			settings["lanes"] = all
		}, "", false}, // there is one machine
		"no tenants": {func(settings object) { delete(settings, "orgs") }, "", true},
		"no zones":   {func(settings object) { delete(settings, "zones") }, "", true},
		"no kinds":   {func(settings object) { delete(settings, "flavors") }, "", false},
		"no reports": {func(settings object) { delete(settings, "loadReport") }, "", true},
		"no rules":   {func(settings object) { delete(settings, "rules") }, "", true},
		"no lists by class": {func(settings object) {
			x := sub(settings, "extra")
			delete(x, "apartBy")
			delete(x, "fullUpTo")
			delete(x, "fadesOver")
			delete(x, "classKind")
		}, "", true},
		"no time to connect":            {func(settings object) { delete(sub(settings, "permissions"), "connectTimeoutS") }, "", true},
		"connections idle for no time":  {func(settings object) { sub(settings, "permissions")["connIdleS"] = 0 }, "", true},
		"connections idle for a moment": {func(settings object) { sub(settings, "permissions")["connIdleS"] = 0.01 }, "", true},
		"one try":                       {func(settings object) { sub(settings, "permissions")["mostTries"] = 1 }, "", true},
		"no try":                        {func(settings object) { sub(settings, "permissions")["mostTries"] = 0 }, "attempts", false},
		"no classes":                    {func(settings object) { settings["lanes"] = []any{} }, "class", false},
		"no aim":                        {func(settings object) { delete(class(settings, 0), "objectiveS") }, "class 0: aim", false},
		"short deadlines":               {func(settings object) { class(settings, 0)["hardLimitS"], class(settings, 1)["hardLimitS"] = 0.3, 0.25 }, "", true},
		"long deadlines": {func(settings object) {
			class(settings, 0)["hardLimitS"], class(settings, 1)["hardLimitS"] = 3600.0, 86400.0
		}, "", true},
		"cold machines bear nothing": {func(settings object) { sub(settings, "extra")["youngLimit"] = 0 }, "", true},
		"three hundred peers":        {func(settings object) { settings["peersTotal"], settings["me"] = 300, 299 }, "", true},
		"effect":                     {func(settings object) { class(settings, 1)["effect"] = "sometimes" }, "lanes[1].effect", false},
		"kinds without memory":       {func(settings object) { sub(settings, "extra")["kindMemory"] = []any{} }, "extra.kindMemory", false},
		"a number as a word":         {func(settings object) { sub(settings, "rules")["fallS"] = "soon" }, "fallS", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var settings object
			if err := json.Unmarshal([]byte(testSettings), &settings); err != nil {
				t.Fatal(err)
			}
			c.change(settings)
			text, err := json.Marshal(settings)
			if err != nil {
				t.Fatal(err)
			}
			node := startNode(t, acceptTask)
			known := discoveryEvent(1, nodeEntry(1, node.addr, "in_service"))
			if z, _ := settings["zones"].([]any); len(z) > 0 {
				known = strings.Replace(known, `"az":"a"`, fmt.Sprintf(`"az":%q`, z[0]), 1)
			}
			if f, _ := settings["flavors"].([]any); len(f) > 0 {
				known = strings.Replace(known, `"std"`, fmt.Sprintf("%q", f[0]), 1)
			}
			config, err := ParseConfig([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"9","bulletin":%q,"limits":{"sockets":256},
				"known":{"no":1,"items":[%s]},"settings":%s}`, startDiscovery(t).addr(), known, text)))
			var policy *placer.Placer
			if err == nil {
				policy, err = placer.New(config.Settings.Placer, config.Seed)
			}
			if c.refused != "" {
				if err == nil || !strings.Contains(err.Error(), c.refused) {
					t.Fatalf("error %v, want one that names %s", err, c.refused)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			server := &testServer{t: t, stopped: make(chan struct{})}
			loop, err := eventloop.New()
			if err != nil {
				t.Fatal(err)
			}
			if server.Server, err = New(loop, config, policy, zerolog.Nop(), loop.Stop); err != nil {
				t.Fatal(err)
			}
			go func() {
				loop.Run()
				close(server.stopped)
			}()
			t.Cleanup(func() { loop.Stop(); waitFor(t, "end", server.stopped) })
			client := server.connect()
			io.WriteString(client, checkMessage)
			client.expect(`"checked"`)
			for i, name := range config.Settings.Classes {
				quoted, err := json.Marshal(name)
				if err != nil {
					t.Fatal(err)
				}
				line := strings.Replace(launchMessage(i+1, "query", `"x"`), `"query"`, string(quoted), 1)
				line = strings.Replace(line, `"left":"3000"`, fmt.Sprintf(`"left":"%d"`, int(min(3, config.Settings.Placer.Classes[i].Deadline)*1000)), 1)
				if len(config.Settings.Tenants) > 0 {
					tenant, err := json.Marshal(config.Settings.Tenants[0])
					if err != nil {
						t.Fatal(err)
					}
					line = strings.Replace(line, `"south"`, string(tenant), 1)
				} else {
					line = strings.Replace(line, `"tenant":"south",`, "", 1)
				}
				io.WriteString(client, line)
				answer := client.expect(fmt.Sprintf("%016x", i+1))
				if c.places && !strings.Contains(answer, `"running"`) {
					t.Errorf("class %q: %s", name, answer)
				}
			}
		})
	}
}
