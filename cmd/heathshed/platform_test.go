package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestMain lets a test start this binary as the program itself.
func TestMain(m *testing.M) {
	if os.Getenv("HEATHSHED_TEST_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const platformSettings = `{"discovery":"ask","me":0,"myZone":0,"peersTotal":1,"flavors":["std"],"zones":["a"],
 "extra":{"cpuBooking":2,"admitMemory":2,"coresByKind":[8],"kindMemory":[16],"freeInList":true,"saysYes":"accepted","youngLimit":12},
 "lanes":[{"name":"query","effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1}],
 "permissions":{"mostTries":4},"rules":{"askWithinS":9}}`

func platformConfigText(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"9","bulletin":%q,"limits":{"memory_mb":32,"sockets":256},"known":{"no":0,"items":[]},
		"settings":%s}`, listen, discovery, platformSettings)
}

func listenLocal(t *testing.T) (net.Listener, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener, listener.Addr().String()
}

func startProgram(t *testing.T, config string, env ...string) (*exec.Cmd, *bufio.Scanner, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "platform")
	cmd.Env = append(append(os.Environ(), "HEATHSHED_TEST_MAIN=1", "LB_CONFIG="+path), env...)
	pipe, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	t.Cleanup(func() { kill.Stop(); cmd.Process.Kill(); cmd.Wait() })
	return cmd, bufio.NewScanner(pipe), path
}

// awaitLog reads the log until a line has the text.
func awaitLog(t *testing.T, log *bufio.Scanner, text string) {
	t.Helper()
	for log.Scan() {
		if strings.Contains(log.Text(), text) {
			return
		}
	}
	t.Fatalf("the log ends without %q", text)
}

func TestPlatformRejectsInvalidConfig(t *testing.T) {
	_, discovery := listenLocal(t)
	good := platformConfigText("127.0.0.1:0", discovery)
	for name, c := range map[string]struct{ text, env, want string }{
		"settings": {strings.Replace(good, "idempotent", "maybe", 1), "", "lanes[0].effect"},
		"attempts": {strings.Replace(good, `"mostTries":4`, `"mostTries":0`, 1), "", "attempts 0"},
		"known":    {strings.Replace(good, `"items":[]`, `"items":[{"no":"x"}]`, 1), "", "known: json: cannot unmarshal string into Go struct field discoveryEvent.items.no"},
		"no JSON":  {good[:40], "", "config.json"},
		"name":     {good, "LB_NAME=n7", "LB_NAME"},
		"listen":   {good, "LB_LISTEN=127.0.0.1:9", "LB_LISTEN"},
	} {
		cmd, log, _ := startProgram(t, c.text, c.env)
		lines, all := 0, ""
		for log.Scan() {
			lines++
			all += log.Text()
		}
		cmd.Wait()
		if code := cmd.ProcessState.ExitCode(); code != 2 || lines != 1 || !strings.Contains(all, c.want) {
			t.Errorf("%s: exit status %d, %d lines: %s", name, code, lines, all)
		}
	}
}

// TestPlatformSignals: a broken file leaves the old configuration in force, a good one moves the bulletin, several signals at once move it
// once, and the program ends in order. The processor time and memory of its start are bounded: a scheduler has a small machine.
func TestPlatformSignals(t *testing.T) {
	first, discovery := listenLocal(t)
	second, moved := listenLocal(t)
	calls := func(ln net.Listener) <-chan struct{} {
		ch := make(chan struct{}, 100)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				if line, _ := bufio.NewReader(c).ReadString('\n'); strings.HasPrefix(line, "GET /bulletins ") {
					ch <- struct{}{}
				}
			}
		}()
		return ch
	}
	atFirst, atSecond := calls(first), calls(second)
	cmd, log, path := startProgram(t, platformConfigText("127.0.0.1:0", discovery))
	awaitLog(t, log, "serving")
	<-atFirst
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rss, _ := strings.Cut(string(status), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(rss)[0])
	if err != nil || kb > 28<<10 {
		t.Errorf("resident memory at the start: %d KB", kb)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	awaitLog(t, log, "configuration not taken over")
	if err := os.WriteFile(path, []byte(platformConfigText("127.0.0.1:0", moved)), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		cmd.Process.Signal(syscall.SIGHUP)
	}
	awaitLog(t, log, "bulletin moved")
	<-atSecond
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGTERM)
	awaitLog(t, log, "stopped")
	cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit status %d", code)
	}
	cpu := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	if cpu > time.Second {
		t.Errorf("%v of processor time for doing nothing", cpu)
	}
	t.Logf("resident at the start %d KB, processor time over its life %v", kb, cpu)
}

// TestDescriptorsAreLeft: idle clients fill every descriptor that owners may have while the bulletin is down. Once it is back, the watch, a
// connection to a machine, an owner and the file of a reload still find one. The limit of the process is the configuration's.
func TestDescriptorsReserved(t *testing.T) {
	const sockets = 64
	ln, err := net.Listen("tcp", "127.0.0.78:0") // where nobody else takes the port meanwhile
	if err != nil {
		t.Fatal(err)
	}
	discovery := ln.Addr().String()
	ln.Close() // down
	moved, second := listenLocal(t)
	node, nodeAddr := listenLocal(t)
	cmd, log, path := startProgram(t, strings.Replace(platformConfigText("127.0.0.1:0", discovery), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), 1))
	lim := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &lim, nil); err != nil {
		t.Fatal(err)
	}
	addr := ""
	for log.Scan() {
		if _, rest, found := strings.Cut(log.Text(), `"listen":"`); found {
			addr, _, _ = strings.Cut(rest, `"`)
			break
		}
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
	idle := func() {
		for range 3 * sockets {
			dial()
		}
	}
	idle()
	if ln, err = net.Listen("tcp", discovery); err != nil { // back
		t.Fatal(err)
	}
	defer ln.Close()
	watch := func(ln net.Listener, text string) {
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.HasPrefix(line, "GET /bulletins ") {
			t.Fatalf("%q, %v", line, err)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", text)
	}
	watch(ln, fmt.Sprintf("id: 1\ndata: "+`{"no":1,"roster":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":%q,"az":"a","model":"std","pod_group":1,"state":"in_service","boot_ms":0,"open":[8,16]}]}}`+"\n\n", nodeAddr))
	idle()
	client := dial()
	fmt.Fprintln(client, `{"kind":"launch","uid":"0000000000000007","meta":{"class":"query","left":"4000","key":"0000000000000007","extras":"cores:1;memory:1;service:0000000000000005"},"body":"x"}`)
	go func() {
		if c, err := node.Accept(); err == nil {
			bufio.NewReader(c).ReadString('\n')
			fmt.Fprintln(c, `{"kind":"running","uid":"0000000000000007","body":"y"}`)
		}
	}()
	if line, err := bufio.NewReader(client).ReadString('\n'); err != nil || !strings.Contains(line, `"running"`) {
		t.Fatalf("%q, %v", line, err)
	}
	idle()
	if err := os.WriteFile(path, []byte(platformConfigText("127.0.0.1:0", second)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	watch(moved, "")
}
