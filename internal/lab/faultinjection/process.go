//go:build linux

package faultinjection

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
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

// process is a running child process.
type process struct {
	cmd  *exec.Cmd
	addr string
	args []string
}

// kill sends the signal that ends the process at once. It fails only if the process has ended.
func (p *process) kill() { _ = p.cmd.Process.Kill() }

// wait waits for the end of a process that was killed, whose status says nothing more.
func (p *process) wait() { _ = p.cmd.Wait() }

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
	if err := r.spawn(inventoryName, emulatorCommand, "inventory", "-c", file, "--tap", r.eventFile(inventoryName)); err != nil {
		return err
	}
	settings.Inventory = strings.TrimPrefix(r.baseURL(inventoryName), addressPrefix)
	return nil
}

func (r *runner) startNodes(settings *config.Settings) error {
	file, err := r.writeSettings("nodes", settings)
	if err != nil {
		return err
	}
	for i := range r.options.Script.Nodes {
		name := simulation.NodeName(i)
		if err := r.spawn(name, emulatorCommand, "node", "-c", file, "--name", name, "--index", strconv.Itoa(i), "--listen", anyPort,
			"--tap", r.eventFile(name)); err != nil {
			return err
		}
	}
	return nil
}

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
		if err := r.spawn(own.Name, "serve", "-c", file); err != nil {
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

// spawn starts a process and waits for the line in which it prints its address.
func (r *runner) spawn(name string, args ...string) error {
	cmd := exec.Command(r.options.Executable, args...)
	// A child does not outlive the run, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logPath := filepath.Join(r.options.Dir, name+".log")
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, settingsFileMode)
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	defer closeQuietly(logFile) // the child has its own descriptor
	cmd.Stderr = logFile
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	child := &process{cmd: cmd, args: args}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		child.kill()
		child.wait()
		return fmt.Errorf("start %s: no address, but %q: %w; log: %.300s", name, line, err, readLog(logPath))
	}
	_, addr, ok := strings.Cut(line, addressPrefix)
	if !ok {
		child.kill()
		child.wait()
		return fmt.Errorf("start %s: no address, but %q; log: %.300s", name, line, readLog(logPath))
	}
	child.addr = strings.TrimSpace(addr)
	r.mu.Lock()
	r.processes[name] = child
	r.mu.Unlock()
	return nil
}

// readLog returns a log for an error text; one that cannot be read says so itself.
func readLog(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// baseURL returns the URL of a process, "" if it does not run.
func (r *runner) baseURL(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if process := r.processes[name]; process != nil {
		return addressPrefix + process.addr
	}
	return ""
}

// stopAll kills all processes and waits for their end.
func (r *runner) stopAll() {
	r.mu.Lock()
	processes := r.processes
	r.processes = map[string]*process{}
	r.mu.Unlock()
	for _, process := range processes {
		process.kill()
	}
	for _, process := range processes {
		process.wait()
	}
}

// waitReady polls a scheduler until it is ready.
func (r *runner) waitReady(ctx context.Context, name string) error {
	for range readyPolls {
		if response, err := r.apiOf(name).Send(ctx, &apiclient.Request{Method: http.MethodGet, Path: readyPath}); err == nil {
			apiclient.Discard(response)
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
	r.mu.Lock()
	process := r.processes[name]
	r.mu.Unlock()
	if process == nil {
		return
	}
	process.kill()
	process.wait()
	r.record(audit.Event{Kind: audit.Killed, Scheduler: name})
	r.update(func(f *Figures) { f.SchedulerKills++ })
	if sleep(ctx, downtime) != nil {
		return
	}
	args := append(slices.Clone(process.args), "--listen", process.addr)
	for range restartAttempts {
		// The port may not be free yet.
		if r.spawn(name, args...) == nil {
			return
		}
		time.Sleep(restartInterval)
	}
}
