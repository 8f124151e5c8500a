package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds what a case starts: the record, the temporary folder, the discovery service, the nodes and the
// scheduler. Every address is a loopback address.
type world struct {
	root    string // root is the folder of the project.
	folder  string // folder is the folder of the case.
	temp    string
	trouble bool

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	start  time.Time

	bulletin  *bulletin
	nodes     []*node
	scheduler *scheduler
	settings  string // settings is used instead of settingsText, unless it is empty.
}

// cannotRun is the panic value of a case that cannot run.
type cannotRun struct{ reason string }

func giveUp(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

func newWorld(root, folder string) (*world, error) {
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{root: root, folder: folder, temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(file), file: file, start: time.Now()}
	w.logf("case", "disruption: %v", w.trouble)
	return w, nil
}

// logf adds a line to the record: the time in seconds since the start, who, and what.
func (w *world) logf(who, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record != nil {
		fmt.Fprintf(w.record, "%8.3f %-12s %s\n", time.Since(w.start).Seconds(), who, fmt.Sprintf(format, args...))
	}
}

// close ends the scheduler and removes the temporary folder.
func (w *world) close() {
	if w.scheduler != nil {
		w.scheduler.kill()
		for _, line := range strings.Split(w.scheduler.log.String(), "\n") {
			if line != "" {
				w.logf("log", "%s", line)
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record == nil {
		return
	}
	_ = w.record.Flush()
	_ = w.file.Close()
	w.record = nil
	_ = os.RemoveAll(w.temp)
}

// freeAddress returns a loopback address whose port is free. It lies below the ports that the kernel gives to
// connections, so that no connection takes it meanwhile.
func freeAddress() string {
	for range 200 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
	giveUp("no free port")
	return ""
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()|1<<63) }

// schedulerOptions are the parts of the configuration that cases choose.
type schedulerOptions struct {
	memoryMB, sockets int
	known             []rosterEntry
}

// scheduler is the process under test.
type scheduler struct {
	world   *world
	listen  string
	command *exec.Cmd
	log     *bytes.Buffer
	exited  chan struct{}
	err     error
}

// startScheduler starts one scheduler with the run line of deploy/balancer.toml, and waits until it passes a test.
func (w *world) startScheduler(options schedulerOptions) *scheduler {
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		giveUp("%v", err)
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if match == nil {
		giveUp("deploy/balancer.toml has no run line")
	}
	s := &scheduler{world: w, listen: freeAddress(), log: &bytes.Buffer{}, exited: make(chan struct{})}
	config := map[string]any{
		"name": "n0", "listen": s.listen, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": options.memoryMB, "sockets": options.sockets},
		"bulletin": w.bulletin.addr,
		"known":    map[string]any{"no": 1, "items": []any{rosterEvent(1, 1, true, options.known)}},
		"settings": json.RawMessage(cmp.Or(w.settings, settingsText)),
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		giveUp("%v", err)
	}
	path := filepath.Join(w.temp, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		giveUp("%v", err)
	}
	s.command = exec.Command("/bin/sh", "-c", string(match[1]))
	s.command.Dir = w.root
	s.command.Env = append(os.Environ(), "LB_NAME=n0", "LB_LISTEN="+s.listen, "LB_CONFIG="+path, "TMPDIR="+w.temp)
	s.command.Stderr = s.log
	if err := s.command.Start(); err != nil {
		giveUp("start of the scheduler: %v", err)
	}
	w.scheduler = s
	w.logf("scheduler", "started: %s, process %d, listens on %s, memory_mb %d, sockets %d", match[1], s.command.Process.Pid, s.listen, options.memoryMB, options.sockets)
	go func() {
		s.err = s.command.Wait()
		w.logf("scheduler", "process ended: %v", s.err)
		close(s.exited)
	}()
	s.awaitReady()
	return s
}

// awaitReady plays the front that admits the scheduler: it repeats a test until the scheduler passes it.
func (s *scheduler) awaitReady() {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if s.hasExited() {
			giveUp("the scheduler ended at its start: %v %s", s.err, s.log.String())
		}
		conn, err := net.DialTimeout("tcp", s.listen, time.Second)
		if err != nil {
			continue
		}
		_, _ = conn.Write(checkMessage(newID()).line())
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		line, err := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if err == nil && strings.Contains(line, "checked") {
			s.world.logf("front", "the scheduler passed its first test")
			return
		}
	}
	giveUp("the scheduler was not ready within 30 s")
}

func (s *scheduler) hasExited() bool {
	select {
	case <-s.exited:
		return true
	default:
		return false
	}
}

// kill ends the process. It is called at the end of a case only.
func (s *scheduler) kill() {
	if s.hasExited() {
		return
	}
	_ = s.command.Process.Signal(syscall.SIGKILL)
	<-s.exited
}

// ownMemoryMB returns the resident memory of the process in MB of 2^20 bytes, without the pages of the program's file.
func (s *scheduler) ownMemoryMB() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	match := regexp.MustCompile(`RssAnon:\s+(\d+) kB`).FindSubmatch(text)
	if match == nil {
		return 0, errors.New("/proc has no RssAnon")
	}
	kib, err := strconv.ParseFloat(string(match[1]), 64)
	return kib / 1024, err
}
