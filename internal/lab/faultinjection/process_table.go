//go:build linux

package faultinjection

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// process is a child process. Its fields do not change after its start.
type process struct {
	cmd  *exec.Cmd
	addr string
	args []string
}

// kill sends SIGKILL to the process. An error means that the process has ended already.
func (p *process) kill() { _ = p.cmd.Process.Kill() }

// wait waits for the end of a process that was killed, and ignores its exit status.
func (p *process) wait() { _ = p.cmd.Wait() }

// processTable holds the child processes that run, by name. It is safe for concurrent use.
type processTable struct {
	executable string
	dir        string // for logs

	mu      sync.Mutex
	running map[string]*process
}

func newProcessTable(executable, dir string) *processTable {
	return &processTable{executable: executable, dir: dir, running: map[string]*process{}}
}

// get returns a process, nil if it was not started.
func (p *processTable) get(name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[name]
}

// spawn starts a process, waits for the line in which it prints its address, and adds it to the table.
func (p *processTable) spawn(name string, args ...string) error {
	cmd := exec.Command(p.executable, args...)
	// A child does not outlive the run, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logPath := filepath.Join(p.dir, name+".log")
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
	p.mu.Lock()
	p.running[name] = child
	p.mu.Unlock()
	return nil
}

// readLog returns the text of a log for an error message, or why it cannot be read.
func readLog(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// baseURL returns the URL of a process, "" if it does not run.
func (p *processTable) baseURL(name string) string {
	if process := p.get(name); process != nil {
		return addressPrefix + process.addr
	}
	return ""
}

// stopAll kills all processes and waits for their end.
func (p *processTable) stopAll() {
	p.mu.Lock()
	processes := p.running
	p.running = map[string]*process{}
	p.mu.Unlock()
	for _, process := range processes {
		process.kill()
	}
	for _, process := range processes {
		process.wait()
	}
}
