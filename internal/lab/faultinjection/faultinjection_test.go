//go:build linux

package faultinjection

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"heathshed/internal/config"
	"heathshed/internal/lab/scenario"
)

// TestShortScenario runs a short scenario over real processes. No rule is broken while schedulers are killed, nodes crash and the inventory is
// unreachable, each outcome reaches the client once, and hostile clients change nothing of it.
func TestShortScenario(t *testing.T) {
	executable := filepath.Join(t.TempDir(), "heathshed")
	if out, err := exec.Command("go", "build", "-o", executable, "heathshed/cmd/heathshed").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	script := scenario.Default()
	script.Seconds, script.Cooldown = 12, 6
	script.Nodes, script.Schedulers = 6, 2
	script.Load.TasksPerSecond, script.Load.Services = 12, 8
	script.Faults = []scenario.Fault{
		{Kind: "crash", At: 1, Duration: 2, Fraction: 0.3},
		{Kind: "discovery_down", At: 1.5, Duration: 2},
		{Kind: "balancer_roll", At: 2, Duration: 2, Fraction: 1},
		{Kind: "lose_answers", At: 3, Duration: 1, Fraction: 0.5},
		{Kind: "flush", At: 4, Duration: 1, Fraction: 0.3},
	}
	result, err := Run(t.Context(), Options{
		Executable:        executable,
		Dir:               t.TempDir(),
		Script:            script,
		Settings:          config.Default(),
		WatchDropInterval: time.Second,
		Hostile:           true,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Audit.Violations {
		t.Error(violation)
	}
	hostile := &result.Figures.Hostile
	if hostile.ExpensiveRequests == 0 || hostile.Accepted != 0 || hostile.StalledConnections == 0 || hostile.MemoryPeak == 0 {
		t.Errorf("hostile clients: %+v", hostile)
	}
	report := &result.Audit
	if report.Tasks == 0 || report.Attempts == 0 || report.Starts == 0 || report.Crashes == 0 || result.Figures.SchedulerKills != 2 {
		t.Errorf("the scenario did not come about: %+v", result)
	}
}
