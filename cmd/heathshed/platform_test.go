package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
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

// programTimeout is longer than any of these tests, which wait for events.
const programTimeout = 20 * time.Second

const platformSettings = `{"discovery":"ask","me":0,"myZone":0,"peersTotal":1,"flavors":["std"],"zones":["a"],
 "extra":{"cpuBooking":2,"admitMemory":2,"coresByKind":[8],"kindMemory":[16],"freeInList":true,"saysYes":"accepted","youngLimit":12},
 "lanes":[{"name":"query","effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1}],
 "permissions":{"mostTries":4},"rules":{"askWithinS":9}}`

func platformConfigText(discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"9","bulletin":%q,"limits":{"memory_mb":32,"sockets":256},"known":{"no":0,"items":[]},
		"settings":%s}`, discovery, platformSettings)
}

func listenLocal(t *testing.T) (net.Listener, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, listener)
	return listener, listener.Addr().String()
}

// closeOnCleanup closes a listener or connection at the end of the test unless the test has done so itself.
func closeOnCleanup(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := closer.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("close: %v", err)
		}
	})
}

// startProgram runs "heathshed platform" on a configuration. It returns the process, its log and the path of the configuration file.
func startProgram(t *testing.T, config string, env ...string) (*exec.Cmd, *bufio.Scanner, string) {
	t.Helper()
	path := writeTempFile(t, "config.json", config)
	cmd := exec.Command(os.Args[0], "platform")
	cmd.Env = append(append(os.Environ(), "HEATHSHED_TEST_MAIN=1", "LB_CONFIG="+path), env...)
	pipe, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(programTimeout, func() { killProgram(t, cmd) })
	t.Cleanup(func() {
		kill.Stop()
		if cmd.ProcessState == nil { // not waited for yet
			killProgram(t, cmd)
			waitForExit(t, cmd)
		}
	})
	return cmd, bufio.NewScanner(pipe), path
}

func killProgram(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("kill: %v", err)
	}
}

// waitForExit waits until the program has ended, with whatever status.
func waitForExit(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	var exit *exec.ExitError
	if err := cmd.Wait(); err != nil && !errors.As(err, &exit) {
		t.Errorf("wait: %v", err)
	}
}

func sendSignal(t *testing.T, cmd *exec.Cmd, sig syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		t.Fatalf("signal %v: %v", sig, err)
	}
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

// TestPlatformRejectsInvalidConfig checks the exit status and the one line of log of a program with an invalid configuration.
func TestPlatformRejectsInvalidConfig(t *testing.T) {
	_, discovery := listenLocal(t)
	good := platformConfigText(discovery)
	badEvent := `"items":[{"no":"x"}]`
	for _, test := range []struct{ name, config, env, want string }{
		{"settings", strings.Replace(good, "idempotent", "maybe", 1), "", "lanes[0].effect"},
		{"attempts", strings.Replace(good, `"mostTries":4`, `"mostTries":0`, 1), "", "attempts 0"},
		{"known", strings.Replace(good, `"items":[]`, badEvent, 1), "",
			"known: json: cannot unmarshal string into Go struct field discoveryEvent.items.no"},
		{"no JSON", good[:40], "", "config.json"},
		{"name", good, "LB_NAME=n7", "LB_NAME"},
		{"listen", good, "LB_LISTEN=127.0.0.1:9", "LB_LISTEN"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cmd, log, _ := startProgram(t, test.config, test.env)
			lines, all := 0, ""
			for log.Scan() {
				lines++
				all += log.Text()
			}
			waitForExit(t, cmd)
			if code := cmd.ProcessState.ExitCode(); code != 2 || lines != 1 || !strings.Contains(all, test.want) {
				t.Errorf("exit status %d, %d lines: %s", code, lines, all)
			}
		})
	}
}

// discoveryCalls reports each request for the discovery stream that arrives at a listener. None is answered.
func discoveryCalls(listener net.Listener) <-chan struct{} {
	calls := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err == nil && strings.HasPrefix(line, "GET /bulletins ") {
				calls <- struct{}{}
			}
		}
	}()
	return calls
}

// residentKB returns the resident memory of a process in KiB.
func residentKB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, resident, _ := strings.Cut(string(status), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(resident)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb
}

// TestPlatformSignals: a configuration that cannot be read leaves the old one in force, a good one moves the discovery watch, several
// signals at once move it once, and the program stops gracefully. The processor time and memory of its start are bounded: a scheduler has
// little of either.
func TestPlatformSignals(t *testing.T) {
	first, discovery := listenLocal(t)
	second, moved := listenLocal(t)
	atFirst, atSecond := discoveryCalls(first), discoveryCalls(second)
	cmd, log, path := startProgram(t, platformConfigText(discovery))
	awaitLog(t, log, "serving")
	<-atFirst
	resident := residentKB(t, cmd.Process.Pid)
	if resident > 28<<10 {
		t.Errorf("resident memory at the start: %d KB", resident)
	}
	writeFile(t, path, "{")
	sendSignal(t, cmd, syscall.SIGHUP)
	awaitLog(t, log, "configuration reload failed")
	writeFile(t, path, platformConfigText(moved))
	for range 3 {
		sendSignal(t, cmd, syscall.SIGHUP)
	}
	awaitLog(t, log, "discovery server changed")
	<-atSecond
	sendSignal(t, cmd, syscall.SIGTERM)
	sendSignal(t, cmd, syscall.SIGTERM)
	awaitLog(t, log, "stopped")
	waitForExit(t, cmd)
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit status %d", code)
	}
	cpu := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	if cpu > time.Second {
		t.Errorf("%v of processor time for doing nothing", cpu)
	}
	t.Logf("resident at the start %d KB, processor time over its life %v", resident, cpu)
}

// dialProgram connects to the program with the test's timeout.
func dialProgram(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	if err := conn.SetDeadline(time.Now().Add(programTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// serveDiscovery accepts one discovery watch and sends it events.
func serveDiscovery(t *testing.T, listener net.Listener, events string) {
	t.Helper()
	if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(programTimeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "GET /bulletins ") {
		t.Fatalf("%q, %v", line, err)
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(conn, head+events); err != nil {
		t.Fatal(err)
	}
}

// serveOneTask accepts one connection at a node and has the task that is launched on it run.
func serveOneTask(node net.Listener) error {
	conn, err := node.Accept()
	if err != nil {
		return err
	}
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		return err
	}
	_, err = fmt.Fprintln(conn, `{"kind":"running","uid":"0000000000000007","body":"y"}`)
	return err
}

// TestDescriptorsReserved: idle clients use every descriptor that clients may have while discovery is down. Once it is back, the watch, a
// connection to a node, a client and the file of a reload still find one. The limit of the process is the configuration's.
func TestDescriptorsReserved(t *testing.T) {
	const sockets = 64
	down, err := net.Listen("tcp", "127.0.0.78:0") // no other test listens at this address
	if err != nil {
		t.Fatal(err)
	}
	discovery := down.Addr().String()
	if err := down.Close(); err != nil {
		t.Fatal(err)
	}
	moved, second := listenLocal(t)
	node, nodeAddr := listenLocal(t)
	config := strings.Replace(platformConfigText(discovery), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	cmd, log, path := startProgram(t, config)
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	addr := ""
	for addr == "" && log.Scan() {
		if _, rest, found := strings.Cut(log.Text(), `"listen":"`); found {
			addr, _, _ = strings.Cut(rest, `"`)
		}
	}
	openIdleClients := func() {
		for range 3 * sockets {
			dialProgram(t, addr)
		}
	}
	openIdleClients()
	up, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, up)
	entry := fmt.Sprintf(`{"uid":"s-1","endpoint":%q,"az":"a","model":"std","pod_group":1,"state":"in_service","boot_ms":0,"open":[8,16]}`, nodeAddr)
	serveDiscovery(t, up, "id: 1\ndata: "+`{"no":1,"roster":{"rev":1,"all":true,"targets":[`+entry+`]}}`+"\n\n")
	openIdleClients()
	client := dialProgram(t, addr)
	launch := `{"kind":"launch","uid":"0000000000000007","meta":{"class":"query","left":"4000","key":"0000000000000007",` +
		`"extras":"cores:1;memory:1;service:0000000000000005"},"body":"x"}`
	if _, err := fmt.Fprintln(client, launch); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- serveOneTask(node) }()
	if line, err := bufio.NewReader(client).ReadString('\n'); err != nil || !strings.Contains(line, `"running"`) {
		t.Fatalf("%q, %v", line, err)
	}
	if err := <-served; err != nil {
		t.Errorf("node: %v", err)
	}
	openIdleClients()
	writeFile(t, path, platformConfigText(second))
	sendSignal(t, cmd, syscall.SIGHUP)
	serveDiscovery(t, moved, "")
}
