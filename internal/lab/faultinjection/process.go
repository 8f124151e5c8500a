//go:build linux

package faultinjection

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"heathshed/internal/config"
	"heathshed/internal/kube/apiclient"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/simulation"
)

const (
	inventoryName   = "inventory"
	anyPort         = "127.0.0.1:0"
	addressPrefix   = "http://" // before the address in the first line that a process prints
	emulatorCommand = "emulate" // subcommand that runs a node or an inventory

	readyPath        = "/readyz"
	readyPolls       = 300
	readyInterval    = 50 * time.Millisecond
	restartAttempts  = 20
	restartInterval  = 100 * time.Millisecond
	settingsFileMode = 0o644
)

// startAll starts the inventory, the nodes and the schedulers, and waits until the schedulers are ready.
func (r *runner) startAll(ctx context.Context) error {
	settings := r.options.Settings
	if err := r.startInventory(&settings); err != nil {
		return err
	}
	if err := r.startNodes(&settings); err != nil {
		return err
	}
	if err := r.startSchedulers(&settings); err != nil {
		return err
	}
	for i := range r.options.Script.Schedulers {
		if err := r.waitReady(ctx, simulation.SchedulerName(i)); err != nil {
			return err
		}
	}
	return nil
}

// startInventory starts the inventory and puts its address into the settings of all others.
func (r *runner) startInventory(settings *config.Settings) error {
	settings.Inventory = anyPort
	file, err := r.writeSettings(inventoryName, settings)
	if err != nil {
		return err
	}
	if err := r.processes.spawn(inventoryName, emulatorCommand, "inventory", "-c", file, "--tap", r.eventFile(inventoryName)); err != nil {
		return err
	}
	settings.Inventory = strings.TrimPrefix(r.processes.baseURL(inventoryName), addressPrefix)
	return nil
}

// startNodes starts the emulated nodes.
func (r *runner) startNodes(settings *config.Settings) error {
	file, err := r.writeSettings("nodes", settings)
	if err != nil {
		return err
	}
	for i := range r.options.Script.Nodes {
		name := simulation.NodeName(i)
		if err := r.processes.spawn(name, emulatorCommand, "node", "-c", file, "--name", name, "--index", strconv.Itoa(i), "--listen", anyPort,
			"--tap", r.eventFile(name)); err != nil {
			return err
		}
	}
	return nil
}

// startSchedulers starts the schedulers, each with a settings file of its own.
func (r *runner) startSchedulers(settings *config.Settings) error {
	for i := range r.options.Script.Schedulers {
		own := *settings
		own.Name = simulation.SchedulerName(i)
		own.Self = i
		own.Peers = r.options.Script.Schedulers
		own.Listen = anyPort
		file, err := r.writeSettings(own.Name, &own)
		if err != nil {
			return err
		}
		if err := r.processes.spawn(own.Name, "serve", "-c", file); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes a settings file of the given name and returns its path.
func (r *runner) writeSettings(name string, settings *config.Settings) (string, error) {
	text, err := settings.Text()
	if err != nil {
		return "", fmt.Errorf("settings of %s: %w", name, err)
	}
	path := filepath.Join(r.options.Dir, name+".json")
	if err := os.WriteFile(path, text, settingsFileMode); err != nil {
		return "", fmt.Errorf("settings of %s: %w", name, err)
	}
	return path, nil
}

// eventFile returns the path of the file in which an emulator records events.
func (r *runner) eventFile(name string) string { return filepath.Join(r.options.Dir, name+".tap") }

// waitReady polls a scheduler until it is ready.
func (r *runner) waitReady(ctx context.Context, name string) error {
	for range readyPolls {
		if response, err := r.apiOf(name).Send(ctx, &apiclient.Request{Method: http.MethodGet, Path: readyPath}); err == nil {
			apiclient.DiscardResponse(response)
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := sleep(ctx, readyInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s did not become ready", name)
}

// restartScheduler kills a scheduler and starts it again at its address, after the downtime.
func (r *runner) restartScheduler(ctx context.Context, name string, downtime time.Duration) {
	process := r.processes.get(name)
	if process == nil {
		return
	}
	process.kill()
	process.wait()
	r.observer.record(audit.Event{Kind: audit.Killed, Scheduler: name})
	r.observer.update(func(f *Figures) { f.SchedulerKills++ })
	if sleep(ctx, downtime) != nil {
		return
	}
	args := append(slices.Clone(process.args), "--listen", process.addr)
	for range restartAttempts {
		// The former process may not have released the port yet.
		if r.processes.spawn(name, args...) == nil {
			return
		}
		time.Sleep(restartInterval)
	}
}
