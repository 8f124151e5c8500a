package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// nodeProcess is a node in a process of its own, so that the process can be stopped and continued. It writes
// what it does to its standard output, from which it goes into the record.
type nodeProcess struct {
	*node // what the list says of the node; its tasks are in the process
	cmd   *exec.Cmd

	mu      sync.Mutex
	started map[string]bool
	ended   map[string]time.Time
}

// startNodeProcess starts a node whose tasks run for the given time.
func startNodeProcess(w *world, uid, zone, kind string, rack int, life time.Duration) (*nodeProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "node", uid, life.String())
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.children = append(w.children, cmd)
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	if !lines.Scan() {
		return nil, fmt.Errorf("node %s did not start", uid)
	}
	p := &nodeProcess{
		node:    &node{w: w, uid: uid, addr: lines.Text(), zone: zone, kind: kind, rack: rack},
		cmd:     cmd,
		started: map[string]bool{},
		ended:   map[string]time.Time{},
	}
	go p.follow(lines)
	return p, nil
}

// follow passes on to the record what the process writes.
func (p *nodeProcess) follow(lines *bufio.Scanner) {
	for lines.Scan() {
		_, text, _ := strings.Cut(strings.TrimSpace(lines.Text()), "  ") // without its time
		p.w.note("%s", text)
		words := strings.Fields(text)
		p.mu.Lock()
		switch {
		case strings.Contains(text, " runs task "):
			p.started[words[4]] = true
		case strings.Contains(text, " has ended, cause "):
			p.ended[words[3]] = time.Now()
		}
		p.mu.Unlock()
	}
}

// runs reports whether the process has started a task. What it writes may take a moment to arrive.
func (p *nodeProcess) runs(uid string) bool {
	for range 500 {
		p.mu.Lock()
		started := p.started[uid]
		p.mu.Unlock()
		if started {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// awaitEnd returns when a task ended, or the zero time if it has not ended by the given time.
func (p *nodeProcess) awaitEnd(uid string, until time.Time) time.Time {
	for time.Now().Before(until) {
		p.mu.Lock()
		end := p.ended[uid]
		p.mu.Unlock()
		if !end.IsZero() {
			return end
		}
		time.Sleep(time.Millisecond)
	}
	return time.Time{}
}

// hang stops the process and continues it after the given time.
func (p *nodeProcess) hang(length time.Duration) {
	p.w.note("SIGSTOP to node %s for %v", p.uid, length)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() {
		p.w.note("SIGCONT to node %s", p.uid)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	})
}

// runNode is the process of a node: stand node UID LIFE. It ends with the process that started it.
func runNode(uid, life string) {
	duration, err := time.ParseDuration(life)
	if err != nil {
		os.Exit(couldNotRun)
	}
	w := &world{startedAt: time.Now(), record: os.Stdout}
	n, err := startNode(w, uid, "", "", 0)
	if err != nil {
		os.Exit(couldNotRun)
	}
	n.life = duration
	fmt.Println(n.addr)
	parent := os.Getppid()
	for os.Getppid() == parent {
		time.Sleep(time.Second)
	}
}
