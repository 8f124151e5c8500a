package labconfig

import (
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/lab/nodesim"
)

// The default settings describe the default emulated node. Package config states them itself, since it must not import the emulator.
func TestDefaultSettingsDescribeTheDefaultNode(t *testing.T) {
	settings := config.Default()
	got := NodeAt(&settings, 0).Sim
	want := nodesim.DefaultConfig()
	want.Seed = settings.Emulator.Seed
	if got != want {
		t.Errorf("node of the default settings:\n%+v, want\n%+v", got, want)
	}
}
