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

// TestSettingsOfOtherCustomers feeds settings that no customer of ours has yet to a whole start: each either is refused with an error that names
// the key, or gives a scheduler that answers a set-up of each class.
func TestSettingsOfOtherCustomers(t *testing.T) {
	type object = map[string]any
	sub := func(m object, name string) object { return m[name].(object) }
	class := func(m object, i int) object { return m["lanes"].([]any)[i].(object) }
	for name, c := range map[string]struct {
		change  func(m object)
		refused string // what the error names, if it is one
		places  bool   // a machine takes the set-ups
	}{
		"as they are":      {func(object) {}, "", true},
		"unknown keys":     {func(m object) { m["später"] = []any{1}; sub(m, "extra")["x"] = object{"y": nil} }, "", true},
		"classes reversed": {func(m object) { l := m["lanes"].([]any); l[0], l[1] = l[1], l[0] }, "", true},
		"names as people write them": {func(m object) {
			class(m, 0)["name"], class(m, 1)["name"] = `préstamo "libros", ;:`, "0"
			m["orgs"].([]any)[0].(object)["name"] = "Straße\t1\u2028"
			m["zones"], m["flavors"] = []any{"ж"}, []any{"größer als"}
		}, "", true},
		"a class that the module never saw": {func(m object) {
			m["lanes"] = append(m["lanes"].([]any), object{"name": "new", "effect": "deduplicated", "keyScope": "zone", "keyTtlS": 3.0, "hardLimitS": 2.0, "objectiveS": 0.5, "worth": 1.0})
		}, "", true},
		"forty classes": {func(m object) {
			var all []any
			for i := range 40 {
				all = append(all, object{"name": fmt.Sprint("c", i), "effect": "idempotent", "hardLimitS": 2.0, "objectiveS": 0.5, "worth": 1.0})
			}
			m["lanes"] = all
		}, "", false}, // there is one machine
		"no tenants": {func(m object) { delete(m, "orgs") }, "", true},
		"no zones":   {func(m object) { delete(m, "zones") }, "", true},
		"no kinds":   {func(m object) { delete(m, "flavors") }, "", false},
		"no reports": {func(m object) { delete(m, "loadReport") }, "", true},
		"no rules":   {func(m object) { delete(m, "rules") }, "", true},
		"no lists by class": {func(m object) {
			x := sub(m, "extra")
			delete(x, "apartBy")
			delete(x, "fullUpTo")
			delete(x, "fadesOver")
			delete(x, "classKind")
		}, "", true},
		"no time to connect":            {func(m object) { delete(sub(m, "permissions"), "connectTimeoutS") }, "", true},
		"connections idle for no time":  {func(m object) { sub(m, "permissions")["connIdleS"] = 0 }, "", true},
		"connections idle for a moment": {func(m object) { sub(m, "permissions")["connIdleS"] = 0.01 }, "", true},
		"one try":                       {func(m object) { sub(m, "permissions")["mostTries"] = 1 }, "", true},
		"no try":                        {func(m object) { sub(m, "permissions")["mostTries"] = 0 }, "attempts", false},
		"no classes":                    {func(m object) { m["lanes"] = []any{} }, "class", false},
		"no aim":                        {func(m object) { delete(class(m, 0), "objectiveS") }, "class 0: aim", false},
		"short deadlines":               {func(m object) { class(m, 0)["hardLimitS"], class(m, 1)["hardLimitS"] = 0.3, 0.25 }, "", true},
		"long deadlines":                {func(m object) { class(m, 0)["hardLimitS"], class(m, 1)["hardLimitS"] = 3600.0, 86400.0 }, "", true},
		"cold machines bear nothing":    {func(m object) { sub(m, "extra")["youngLimit"] = 0 }, "", true},
		"three hundred peers":           {func(m object) { m["peersTotal"], m["me"] = 300, 299 }, "", true},
		"effect":                        {func(m object) { class(m, 1)["effect"] = "sometimes" }, "lanes[1].effect", false},
		"kinds without memory":          {func(m object) { sub(m, "extra")["kindMemory"] = []any{} }, "extra.kindMemory", false},
		"a number as a word":            {func(m object) { sub(m, "rules")["fallS"] = "soon" }, "fallS", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var m object
			if err := json.Unmarshal([]byte(settings), &m); err != nil {
				t.Fatal(err)
			}
			c.change(m)
			text, err := json.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			n := machine(t, accepts)
			known := event(1, entry(1, n.addr, "in_service"))
			if z, _ := m["zones"].([]any); len(z) > 0 {
				known = strings.Replace(known, `"az":"a"`, fmt.Sprintf(`"az":%q`, z[0]), 1)
			}
			if f, _ := m["flavors"].([]any); len(f) > 0 {
				known = strings.Replace(known, `"std"`, fmt.Sprintf("%q", f[0]), 1)
			}
			cfg, err := ParseConfig([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"9","bulletin":%q,"limits":{"sockets":256},
				"known":{"no":1,"items":[%s]},"settings":%s}`, newBoard(t).addr(), known, text)))
			var p *placer.Placer
			if err == nil {
				p, err = placer.New(cfg.Settings.Placer, cfg.Seed)
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
			sv := &service{t: t, ended: make(chan struct{})}
			l, err := eventloop.New()
			if err != nil {
				t.Fatal(err)
			}
			if sv.Server, err = New(l, cfg, p, zerolog.Nop(), l.Stop); err != nil {
				t.Fatal(err)
			}
			go func() {
				l.Run()
				close(sv.ended)
			}()
			t.Cleanup(func() { l.Stop(); wait(t, "end", sv.ended) })
			o := sv.owner()
			io.WriteString(o, test)
			o.want(`"checked"`)
			for i, name := range cfg.Settings.Classes {
				quoted, err := json.Marshal(name)
				if err != nil {
					t.Fatal(err)
				}
				line := strings.Replace(launch(i+1, "query", `"x"`), `"query"`, string(quoted), 1)
				line = strings.Replace(line, `"left":"3000"`, fmt.Sprintf(`"left":"%d"`, int(min(3, cfg.Settings.Placer.Classes[i].Deadline)*1000)), 1)
				if len(cfg.Settings.Tenants) > 0 {
					tenant, err := json.Marshal(cfg.Settings.Tenants[0])
					if err != nil {
						t.Fatal(err)
					}
					line = strings.Replace(line, `"south"`, string(tenant), 1)
				} else {
					line = strings.Replace(line, `"tenant":"south",`, "", 1)
				}
				io.WriteString(o, line)
				answer := o.want(fmt.Sprintf("%016x", i+1))
				if c.places && !strings.Contains(answer, `"running"`) {
					t.Errorf("class %q: %s", name, answer)
				}
			}
		})
	}
}
