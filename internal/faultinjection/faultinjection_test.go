//go:build linux

package faultinjection

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/scenario"
)

// A short day over real processes, with schedulers killed, machines dying and the inventory away, breaks no rule; and every outcome
// that the client saw it saw once. Clients that mean harm change nothing of it.
func TestShortBadDay(t *testing.T) {
	exe := filepath.Join(t.TempDir(), "heathshed")
	if out, err := exec.Command("go", "build", "-o", exe, "heathshed/cmd/heathshed").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	d := scenario.Default()
	d.Seconds, d.Calm, d.Nodes, d.Schedulers, d.Load.TasksPerSecond, d.Load.Services = 12, 6, 6, 2, 12, 8
	d.Trouble = []scenario.Trouble{{Kind: "crash", At: 1, For: 2, Part: 0.3}, {Kind: "discovery_down", At: 1.5, For: 2},
		{Kind: "balancer_roll", At: 2, For: 2, Part: 1}, {Kind: "lose_answers", At: 3, For: 1, Part: 0.5}, {Kind: "flush", At: 4, For: 1, Part: 0.3}}
	r, err := Run(context.Background(), Options{Exe: exe, Dir: t.TempDir(), Script: d, Settings: config.Default(), DropWatch: 1, Hostile: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Audit.Violations {
		t.Error(v)
	}
	if h := r.Figures.Hostile; h.Bombs == 0 || h.Taken != 0 || h.Silent == 0 || h.MostHeld == 0 {
		t.Errorf("hostile clients: %+v", h)
	}
	if r.Audit.Tasks == 0 || r.Audit.Offers == 0 || r.Audit.Starts == 0 || r.Figures.Kills != 2 || r.Audit.Crashes == 0 {
		t.Errorf("the day did not come about: %+v", r)
	}
}
