//go:build linux

package server

import (
	"os"
	"strings"
	"testing"
)

// TestConfigErrorNamesField checks that the error for an invalid configuration names the invalid field.
func TestConfigErrorNamesField(t *testing.T) {
	validConfig := `{"name":"n3","listen":"127.0.0.1:5080","seed":"8c1f30d27a5be964","bulletin":"127.0.0.1:7070",` +
		`"limits":{"sockets":256},"known":{"no":0,"items":[]},"settings":` + testSettings + `}`
	if _, err := ParseConfig([]byte(validConfig)); err != nil {
		t.Fatal(err)
	}
	for field, replacement := range map[string][2]string{
		"name":     {`"n3"`, `""`},
		"listen":   {`127.0.0.1:5080`, `localhost`},
		"bulletin": {`127.0.0.1:7070`, `nowhere`},
		"seed":     {`8c1f`, `zz`},
		"sockets":  {`256`, `3`},
		"settings": {`"settings":`, `"other":`},
		"lanes[0]": {`idempotent`, `maybe`},
	} {
		t.Run(field, func(t *testing.T) {
			_, err := ParseConfig([]byte(strings.Replace(validConfig, replacement[0], replacement[1], 1)))
			if err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("ParseConfig returned the error %v, want an error that names the field %s", err, field)
			}
		})
	}
	if _, err := ReadConfig(os.DevNull); err == nil {
		t.Error("ReadConfig accepted an empty configuration file")
	}
}
