package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// message is one JSON line of the platform's protocol.
type message struct {
	Kind   string            `json:"kind"`
	UID    string            `json:"uid"`
	Meta   map[string]string `json:"meta"`
	Reason *int              `json:"reason,omitempty"`
	Body   *string           `json:"body,omitempty"`
}

func (m *message) reason() int {
	if m.Reason == nil {
		return 0
	}
	return *m.Reason
}

func (m *message) line() string {
	if m.Meta == nil {
		m.Meta = map[string]string{}
	}
	text, _ := json.Marshal(m)
	return string(text) + "\n"
}

func stopMessage(uid string, reason int) *message {
	return &message{Kind: "stop", UID: uid, Reason: &reason}
}

// world holds what all stand-ins of a case share: the record, the clock and the process of the scheduler.
type world struct {
	root, dir string
	trouble   bool
	startedAt time.Time

	mu        sync.Mutex
	record    *os.File
	scheduler *exec.Cmd
	children  []*exec.Cmd // nodes in processes of their own
	logPath   string
	listen    string
	bulletin  *bulletin
	finishing sync.Once
}

func newWorld(root, recordPath string, trouble bool) (*world, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, trouble: trouble, startedAt: time.Now(), record: record}, nil
}

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends the scheduler, closes the record and exits.
func (w *world) finish(status int) {
	w.finishing.Do(func() {
		for _, child := range w.children {
			_ = child.Process.Kill()
			_ = child.Wait()
		}
		if w.scheduler != nil {
			_ = w.scheduler.Process.Kill()
			_ = w.scheduler.Wait()
		}
		if log, err := os.ReadFile(w.logPath); err == nil {
			for _, line := range strings.Split(strings.TrimSpace(string(log)), "\n") {
				w.note("log of the scheduler: %s", line)
			}
		}
		w.note("exit status %d (%s)", status, [...]string{"the rule held", "the rule was broken", "the case could not run"}[status])
		_ = os.RemoveAll(w.dir)
		os.Exit(status)
	})
	select {}
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer listener.Close()
	return listener.Addr().String()
}

// settings are the settings of a small deployment with two rooms and two classes.
const settings = `{"discovery":"ask","me":0,"myZone":0,"peersTotal":1,"serviceType":"place","roundS":0.002,
 "flavors":["nodo-estandar","nodo-grande"],"zones":["sala-norte","sala-sur"],
 "lanes":[
  {"name":"web-consulta","effect":"idempotent","keyScope":"all","keyTtlS":5,"hardLimitS":5,"objectiveS":1,"lateValue":0.1,"worth":3,"longLived":true},
  {"name":"asignacion-cupos","effect":"at_most_once","keyScope":"all","keyTtlS":5,"hardLimitS":6,"objectiveS":0.6,"lateValue":0.2,"worth":9,"longLived":true}],
 "extra":{"admitMemory":2,"cpuBooking":2.5,"apartBy":["cell","machine"],"togetherMax":[2,2],"bound":true,"checkAfterS":3,"classKind":[-1,-1],
  "coresByKind":[32,54],"kindMemory":[59,127],"counts":"used","fadesOver":[1,0.2],"fullUpTo":[1,0.8],"freeInList":true,"precedence":[0,2],
  "pushesOut":false,"saysYes":"accepted","saysUse":true,"startBonusS":[10,8],"quotaCores":[110],"youngLimit":40},
 "loadReport":{"fields":["x0","x1"],"how":"answers"},
 "orgs":[{"name":"localidad-norte","share":1,"quotaRps":7}],"overShareWorth":0.1,
 "permissions":{"cancel":true,"connIdleS":15,"connectTimeoutS":0.25,"maxRetryAfterS":3,"mayDuplicate":false,"mostTries":4,"openCap":1000000,
  "peers":false,"probing":false,"retryAfter":true},
 "rules":{"answerSlackS":0.008,"askWithinS":10,"coldFrom":0.16,"drainGraceS":0.5,"fallS":1,"overloadFactor":3,"warmWithinS":16},
 "tariffs":{"fleet":0.25,"moves":0.05,"waste":0.05,"crossZone":0}}`

// startScheduler starts one scheduler with the command `run` of the deploy file, and waits until it passes a
// test.
func (w *world) startScheduler() error {
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	command := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if command == nil {
		return fmt.Errorf("deploy file without run")
	}
	w.listen = freeAddr()
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "bulletin":%q,"known":%s,"settings":%s}`, w.listen, w.bulletin.addr, w.bulletin.known(), settings)
	configPath := filepath.Join(w.dir, "config.json")
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		return err
	}
	w.logPath = filepath.Join(w.dir, "log")
	log, err := os.Create(w.logPath)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", string(command[1]))
	cmd.Dir = w.root
	cmd.Env = append(os.Environ(), "LB_NAME=n0", "LB_LISTEN="+w.listen, "LB_CONFIG="+configPath, "TMPDIR="+w.dir)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	w.scheduler = cmd
	w.note("scheduler started: %s", command[1])
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if w.passesTest() {
			w.note("the scheduler passed a test")
			return nil
		}
	}
	return fmt.Errorf("the scheduler did not become ready")
}

// passesTest sends the front's test on a connection of its own and closes that connection.
func (w *world) passesTest() bool {
	conn, err := net.DialTimeout("tcp", w.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	zero := 0
	check := message{Kind: "check", UID: "00000000000000aa", Reason: &zero}
	if _, err := io.WriteString(conn, check.line()); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.Contains(line, `"checked"`)
}

// at sleeps until the given time after the time since.
func at(since time.Time, d time.Duration) { time.Sleep(time.Until(since.Add(d))) }
