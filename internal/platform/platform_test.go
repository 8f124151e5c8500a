//go:build linux

package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"heathshed/internal/eventloop"
	"heathshed/placer"
)

const testTimeout = 20 * time.Second // longer than anything here takes: what is waited for are events

const testSettings = `{"discovery":"ask","me":0,"myZone":0,"peersTotal":1,"flavors":["std"],"zones":["a"],
 "extra":{"admitMemory":1.5,"apartBy":["none","none"],"classKind":[-1,-1],"checkAfterS":2,"coresByKind":[8],"cpuBooking":20,"freeInList":true,
  "fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16],"saysYes":"accepted","youngLimit":12},
 "lanes":[{"name":"query","effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1},
  {"name":"seats","effect":"at_most_once","hardLimitS":5,"keyScope":"all","objectiveS":1,"worth":2}],
 "orgs":[{"name":"south"}],"loadReport":{"fields":["x0","x1"],"how":"answers"},
 "permissions":{"mostTries":4,"retryAfter":true,"maxRetryAfterS":3,"connectTimeoutS":0.25,"connIdleS":15},
 "rules":{"answerSlackS":0.01,"askWithinS":9,"drainGraceS":0.5,"fallS":1,"warmWithinS":8}}`

// testNode is a machine: each line that it gets is handed to say, which may answer.
type testNode struct {
	addr     string
	listener net.Listener
	received chan string
}

func startNode(t *testing.T, handle func(conn net.Conn, line string)) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	node := &testNode{ln.Addr().String(), ln, make(chan string, 1000)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					node.received <- line
					handle(c, line)
				}
			}()
		}
	}()
	return node
}

func taskUID(line string) string {
	_, rest, _ := strings.Cut(line, `"uid":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}

// accepts has every task stand, with a description that a careless codec would change.
const taskDescription = `"a\/b\u00e9\u0041\r\n"`

func acceptTask(conn net.Conn, line string) {
	if strings.Contains(line, `"launch"`) {
		fmt.Fprintf(conn, `{"kind":"running","uid":%q,"body":%s}`+"\n", taskUID(line), taskDescription)
	}
}

func nodeEntry(i int, addr, state string) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","model":"std","pod_group":1,"state":%q,"boot_ms":0,"open":[%d,%d]}`,
		i, addr, state, 16/i, 24/i) // the first is the emptiest
}

func discoveryEvent(no int, targets ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, no, no, no == 1, strings.Join(targets, ","))
}

// discoveryServer is a bulletin. Each call is answered by what the test sends for it.
type discoveryServer struct {
	*httptest.Server
	calls chan *discoveryCall
}

type discoveryCall struct {
	lastEventID string
	text        chan string // closed where the stream ends
}

func startDiscovery(t *testing.T) *discoveryServer {
	server := &discoveryServer{calls: make(chan *discoveryCall, 100)}
	server.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := &discoveryCall{r.Header.Get("Last-Event-ID"), make(chan string)}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(200)
		w.(http.Flusher).Flush()
		server.calls <- call
		for {
			select {
			case text, ok := <-call.text:
				if !ok {
					return
				}
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	return server
}

func (server *discoveryServer) addr() string { return strings.TrimPrefix(server.URL, "http://") }

func waitFor[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
		panic("not reached")
	}
}

type testServer struct {
	*Server
	t         *testing.T
	discovery *discoveryServer
	stopped   chan struct{}
}

func startServer(t *testing.T, sockets int, nodes ...string) *testServer {
	t.Helper()
	server := &testServer{t: t, discovery: startDiscovery(t), stopped: make(chan struct{})}
	targets := ""
	for i, addr := range nodes {
		if i > 0 {
			targets += ","
		}
		targets += nodeEntry(i+1, addr, "in_service")
	}
	config, err := ParseConfig([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"9","bulletin":%q,"limits":{"sockets":%d},
		"known":{"no":1,"items":[%s]},"settings":%s}`, server.discovery.addr(), sockets, discoveryEvent(1, targets), testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	policy, err := placer.New(config.Settings.Placer, config.Seed)
	if err != nil {
		t.Fatal(err)
	}
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	if server.Server, err = New(loop, config, policy, zerolog.Nop(), loop.Stop); err != nil {
		t.Fatal(err)
	}
	go func() {
		loop.Run()
		close(server.stopped)
	}()
	t.Cleanup(func() { loop.Stop(); waitFor(t, "end", server.stopped) })
	return server
}

// runOnLoop runs f on the loop.
func (server *testServer) runOnLoop(f func()) {
	done := make(chan struct{})
	server.loop.Post(func() { f(); close(done) })
	waitFor(server.t, "turn of the loop", done)
}

// testClient is an owner.
type testClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (server *testServer) connect() *testClient {
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		server.t.Fatal(err)
	}
	server.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{conn, server.t, bufio.NewReader(conn)}
}

func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("owner: %v", err)
	}
	return line
}

// expect reads lines until one has all the texts.
func (c *testClient) expect(texts ...string) string {
	c.t.Helper()
	for {
		line := c.readLine()
		all := true
		for _, s := range texts {
			all = all && strings.Contains(line, s)
		}
		if all {
			return line
		}
	}
}

func launchMessage(id int, class, body string) string {
	return fmt.Sprintf(`{"kind":"launch","uid":"%016x","meta":{"class":%q,"left":"3000","tenant":"south","key":"%016x","extras":"cores:1;memory:1;service:0000000000000005"},"body":%s}`+"\n",
		id, class, id, body)
}

func TestRequestEndToEnd(t *testing.T) {
	node := startNode(t, func(c net.Conn, line string) {
		acceptTask(c, line)
		if strings.Contains(line, `"launch"`) {
			fmt.Fprintf(c, `{"kind":"update","uid":%q,"meta":{"note":"up","value":1}}`+"\n", taskUID(line))
		}
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	io.WriteString(client, `{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}`+"\n")
	client.expect(`"checked"`, `"0000000000000001"`, `"reason":1`)
	body := `"9d\u0034\r\nc=IN \/"`
	text := launchMessage(7, "seats", body)
	text = strings.Replace(text, `"left":`, `"idem":"e45e5817dae4","left":`, 1) // machines deduplicate by it
	for _, piece := range []string{text[:10], text[10:50], text[50:]} {
		io.WriteString(client, piece)
	}
	client.expect(`"running"`, `"0000000000000007"`, `"body":`+taskDescription)
	got := waitFor(t, "launch", node.received)
	if !strings.Contains(got, `"body":`+body) || !strings.Contains(got, `"class":"seats"`) || !strings.Contains(got, `"key":"0000000000000007"`) ||
		!strings.Contains(got, `"left":"`) || !strings.Contains(got, `"idem":"e45e5817dae4"`) {
		t.Fatalf("the machine got %s", got)
	}
	io.WriteString(client, `{"kind":"stop","uid":"0000000000000007","meta":{},"reason":31}`+"\n")
	if got := waitFor(t, "release", node.received); !strings.Contains(got, `"stop"`) || !strings.Contains(got, `"reason":31`) {
		t.Fatalf("the machine got %s", got)
	}
}

func TestNodeFaultMovesTaskToAnotherNode(t *testing.T) {
	for name, say := range map[string]func(net.Conn, string){
		"noise":       func(c net.Conn, _ string) { io.WriteString(c, "\x00\xff\x17 noise\n") },
		"endless":     func(c net.Conn, _ string) { io.WriteString(c, strings.Repeat("x", 40<<10)) },
		"broken off":  func(c net.Conn, l string) { fmt.Fprintf(c, `{"kind":"running","uid":%q,"bo`, taskUID(l)); c.Close() },
		"stops short": func(c net.Conn, l string) { fmt.Fprintf(c, `{"kind":"running","uid":%q,"bo`, taskUID(l)) },
		"silent":      func(net.Conn, string) {},
		"error":       func(c net.Conn, l string) { fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":47}`+"\n", taskUID(l)) },
		"full": func(c net.Conn, l string) {
			fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":34,"meta":{"note":"cpu_full"}}`+"\n", taskUID(l))
		},
		"closes": func(c net.Conn, _ string) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			bad, good := startNode(t, say), startNode(t, acceptTask)
			server := startServer(t, 256, bad.addr, good.addr)
			client := server.connect()
			for i := range 6 {
				io.WriteString(client, launchMessage(i+1, "query", `"x"`))
				client.expect(`"running"`, fmt.Sprintf("%016x", i+1))
			}
			server.runOnLoop(func() {
				if c := server.core.Counts; c.Bound != 6 || c.Attempts <= 6 {
					t.Errorf("%+v", c)
				}
			})
		})
	}
}

func TestNoReachableNode(t *testing.T) {
	node := startNode(t, acceptTask)
	node.listener.Close()
	server := startServer(t, 256, node.addr)
	client := server.connect()
	io.WriteString(client, launchMessage(1, "seats", `"x"`))
	client.expect(`"stop"`, `"reason":34`) // refused: nothing ran
	server.runOnLoop(func() {
		if c := server.core.Counts; c.ConnectFailures == 0 || c.ConnectionsLost+c.TimedOut > 0 {
			t.Errorf("%+v", c)
		}
	})
}

// TestSpoiltReleaseIsHeardAgain: a machine sends its release once more on the next connection that opens, so a connection on which one was
// spoilt has to be followed by another while tasks stand.
func TestTaskEndRedeliveredAfterCorruptMessage(t *testing.T) {
	var mu sync.Mutex
	runningUID, end := "", make(chan net.Conn, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for i := 0; ; i++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if runningUID != "" {
				fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":16}`+"\n", runningUID)
			}
			mu.Unlock()
			go func() {
				if line, err := bufio.NewReader(c).ReadString('\n'); err == nil && strings.Contains(line, `"launch"`) {
					mu.Lock()
					runningUID = taskUID(line)
					mu.Unlock()
					acceptTask(c, line)
					end <- c
				}
			}()
		}
	}()
	server := startServer(t, 256, listener.Addr().String())
	client := server.connect()
	io.WriteString(client, launchMessage(1, "seats", `"x"`))
	client.expect(`"running"`)
	io.WriteString(waitFor(t, "task", end), "{spoilt\n")
	client.expect(`"stop"`, `"reason":16`)
}

func TestDiscoveryBreaksRepeatsStopsAndMoves(t *testing.T) {
	server := startServer(t, 256)
	last := func() (n uint64) { server.runOnLoop(func() { n = server.core.LastDiscoveryEvent() }); return n }
	c := waitFor(t, "call", server.discovery.calls)
	if c.lastEventID != "1" {
		t.Fatalf("Last-Event-ID %q", c.lastEventID)
	}
	e2, e3, e4 := discoveryEvent(2, nodeEntry(1, "127.0.0.1:1", "in_service")), discoveryEvent(3, nodeEntry(1, "127.0.0.1:1", "terminating")), discoveryEvent(4)
	c.text <- "id: 2\ndata: " + e2 + "\n\nid: 2\ndata: " + e2 + "\n\nid: 3\ndata: " + e3[:20]
	close(c.text) // in the middle of an event
	c = waitFor(t, "call after a break", server.discovery.calls)
	if c.lastEventID != "2" || last() != 2 {
		t.Fatalf("Last-Event-ID %q after a break", c.lastEventID)
	}
	c.text <- "id: 4\ndata: " + e4 + "\n\n" // a gap
	c = waitFor(t, "call after a gap", server.discovery.calls)
	if c.lastEventID != "2" {
		t.Fatalf("Last-Event-ID %q after a gap", c.lastEventID)
	}
	c.text <- "id: 3\ndata: " + e3 + "\n\n" // and then silence
	c = waitFor(t, "call after silence", server.discovery.calls)
	if c.lastEventID != "3" {
		t.Fatalf("Last-Event-ID %q after silence", c.lastEventID)
	}
	other := startDiscovery(t)
	next := *server.config
	next.Discovery = other.addr()
	server.runOnLoop(func() { server.Reload(&next); server.Reload(&next) })
	c = waitFor(t, "call at the new address", other.calls)
	if c.lastEventID != "3" {
		t.Fatalf("Last-Event-ID %q after a move", c.lastEventID)
	}
	c.text <- "id: 4\ndata: " + e4 + "\n\n"
	for last() != 4 {
	}
	select {
	case <-other.calls:
		t.Fatal("two calls after two reloads at once")
	default:
	}
}

func TestMisbehavingClients(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	good := server.connect()
	io.WriteString(good, launchMessage(1, "query", `"x"`))
	good.expect(`"running"`)
	id := 1000
	var all sync.WaitGroup
	for name, send := range map[string]func(c *testClient){
		"says nothing":  func(*testClient) {},
		"noise":         func(c *testClient) { io.WriteString(c, "\xff\xfe\x00\n") },
		"half a line":   func(c *testClient) { io.WriteString(c, `{"kind":"lau`) },
		"60 MB":         func(c *testClient) { go io.CopyN(c, zeroReader{}, 60<<20) },
		"unknown class": func(c *testClient) { io.WriteString(c, launchMessage(id, "gold", `"x"`)) },
		"no id":         func(c *testClient) { io.WriteString(c, `{"kind":"launch","meta":{}}`+"\n") },
		"unknown ids":   func(c *testClient) { io.WriteString(c, `{"kind":"stop","uid":"00000000000000ff","reason":16}`+"\n") },
		"one id twice": func(c *testClient) {
			io.WriteString(c, launchMessage(id+1, "gold", `"x"`)+launchMessage(id+1, "gold", `"y"`))
		},
		"an open id": func(c *testClient) { io.WriteString(c, launchMessage(1, "query", `"other"`)) },
		"takes them back": func(c *testClient) {
			io.WriteString(c, launchMessage(id+2, "gold", `"x"`)+`{"kind":"stop","uid":"00000000000003ea","reason":16}`+"\n")
		},
	} {
		c := server.connect()
		start := time.Now()
		send(c)
		all.Add(1)
		go func() {
			defer all.Done()
			line, err := c.reader.ReadString('\n')
			if took := time.Since(start); took > 3*time.Second || strings.Contains(line, `"running"`) || err == nil && !strings.Contains(line, `"stop"`) {
				t.Errorf("%s: after %v %q, %v", name, took, line, err)
			}
		}()
	}
	all.Wait()
	io.WriteString(good, launchMessage(2, "query", `"x"`))
	good.expect(`"running"`, "0000000000000002")
	server.runOnLoop(func() {
		for _, kind := range []string{"unreadable", "long line", "class", "id in use"} {
			if server.stats.InvalidFromClients[kind] == 0 {
				t.Errorf("no bad input of kind %q was counted: %v", kind, server.stats.InvalidFromClients)
			}
		}
	})
}

type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// TestCrowd: hundreds of connections that say nothing leave room for owners, within the descriptors there are.
func TestIdleClientsLeaveConnectionSlots(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 64, node.addr)
	good := server.connect()
	io.WriteString(good, launchMessage(1, "query", `"x"`))
	good.expect(`"running"`)
	for range 300 {
		server.connect()
	}
	for i := range 20 {
		c := server.connect()
		io.WriteString(c, launchMessage(10+i, "query", `"x"`))
		c.expect(`"running"`)
	}
	server.runOnLoop(func() {
		if len(server.clients) > server.maxClients || server.maxClients+server.maxNodeConns+reservedSockets > 64 {
			t.Errorf("%d owners' connections, %d allowed", len(server.clients), server.maxClients)
		}
	})
	io.WriteString(good, launchMessage(2, "query", `"x"`))
	good.expect(`"running"`, "0000000000000002")
}

func TestStopAnswersAcceptedRequests(t *testing.T) {
	answer := make(chan func(), 10)
	type task struct {
		conn net.Conn
		uid  string
	}
	held := make(chan task, 10)
	node := startNode(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			answer <- func() { acceptTask(c, line) }
			held <- task{c, taskUID(line)}
		}
	})
	server := startServer(t, 256, node.addr)
	a := server.connect()
	io.WriteString(a, launchMessage(1, "seats", `"x"`))
	first := waitFor(t, "launch", answer)
	server.runOnLoop(func() { server.Stop(); server.Stop() })
	b := server.connect() // connections keep coming for a while
	io.WriteString(b, launchMessage(2, "seats", `"x"`))
	second := waitFor(t, "launch after the signal", answer)
	first()
	second()
	a.expect(`"running"`)
	b.expect(`"running"`)
	// While a task stands, and nothing else is open, its end is still told.
	closed := make(chan struct{})
	server.loop.Post(func() {
		var watch func()
		watch = func() {
			if server.listener.Closed() {
				close(closed)
			} else {
				server.loop.After(0.01, watch)
			}
		}
		watch()
	})
	waitFor(t, "end of listening", closed)
	last := <-held
	fmt.Fprintf(last.conn, `{"kind":"stop","uid":%q,"reason":16}`+"\n", last.uid)
	a.expect(`"stop"`, last.uid, `"reason":16`)
	waitFor(t, "end", server.stopped)
}

func TestConfigErrorNamesField(t *testing.T) {
	good := `{"name":"n3","listen":"127.0.0.1:5080","seed":"8c1f30d27a5be964","bulletin":"127.0.0.1:7070","limits":{"sockets":256},"known":{"no":0,"items":[]},"settings":` + testSettings + `}`
	if _, err := ParseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for field, change := range map[string][2]string{
		"name":     {`"n3"`, `""`},
		"listen":   {`127.0.0.1:5080`, `localhost`},
		"bulletin": {`127.0.0.1:7070`, `nowhere`},
		"seed":     {`8c1f`, `zz`},
		"sockets":  {`256`, `3`},
		"settings": {`"settings":`, `"other":`},
		"lanes[0]": {`idempotent`, `maybe`},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	if _, err := ReadConfig(os.DevNull); err == nil {
		t.Error("an empty file is taken")
	}
}

// unresponsivePort accepts no connection and refuses none, as a machine that has vanished: its queue of connections is full.
func unresponsivePort(t *testing.T, port int) string {
	addr, stop := listenUnresponsive(t, port)
	t.Cleanup(stop)
	return addr
}

// listenUnresponsive is a silentPort that can be ended.
func listenUnresponsive(t *testing.T, port int) (addr string, stop func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	closers := []func(){func() { unix.Close(fd) }}
	stop = func() {
		for _, f := range closers {
			f()
		}
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	address, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", address.(*unix.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return addr, stop
		}
		closers = append(closers, func() { c.Close() })
	}
}

// TestMachinesThatVanish: what stands at a machine that says nothing any more is released to its owner, whether connections to it are refused
// or never come up, and what was kept for the machine goes.
func TestVanishedNodes(t *testing.T) {
	for _, mode := range []string{"refuses", "silent"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			node := startNode(t, func(c net.Conn, line string) {
				if strings.Contains(line, `"launch"`) { // tests are not answered
					acceptTask(c, line)
				}
			})
			server := startServer(t, 256, node.addr)
			server.runOnLoop(func() { server.reachability.UnresponsiveAfter = 2 })
			client := server.connect()
			io.WriteString(client, launchMessage(1, "seats", `"x"`))
			client.expect(`"running"`)
			node.listener.Close()
			if mode == "silent" {
				_, port, _ := net.SplitHostPort(node.addr)
				p, _ := strconv.Atoi(port)
				unresponsivePort(t, p)
			}
			client.expect(`"stop"`, `"reason":41`)
			running := 0 // what ran at a machine that refuses has ended with it
			if mode == "silent" {
				running = 1 // and elsewhere it may run on, until the machine says that it ended
			}
			server.runOnLoop(func() {
				if server.stats.NodesUnreachable != 1 || server.core.RunningTasks() != running || server.core.Counts.TasksLost != 1 {
					t.Errorf("%+v, %+v", server.stats, server.core.Counts)
				}
			})
		})
	}
}

// TestSeatsOfMachines: connections to machines stay within their part of the descriptors, and an offer that finds no seat is told as
// unreachable rather than made with a seat of somebody else's.
func TestNodeConnectionLimit(t *testing.T) {
	var addrs []string
	for range 30 {
		addrs = append(addrs, startNode(t, acceptTask).addr)
	}
	server := startServer(t, 64, addrs...)
	client := server.connect()
	for i := range 200 {
		io.WriteString(client, launchMessage(i+1, "query", `"x"`))
		client.expect(fmt.Sprintf("%016x", i+1))
	}
	server.runOnLoop(func() {
		if server.openNodeConns > server.maxNodeConns || server.stats.NodesUnreachable > 0 {
			t.Errorf("%d connections to machines, %d allowed; %d machines lost", server.openNodeConns, server.maxNodeConns, server.stats.NodesUnreachable)
		}
	})
}

// TestLinksGoWithTheirMachines: nothing is kept for machines that the bulletin ended long ago, also where what stood there went last.
func TestLinksRemovedWithTerminatedNodes(t *testing.T) {
	node := startNode(t, acceptTask)
	server := startServer(t, 256, node.addr)
	client := server.connect()
	c := waitFor(t, "call", server.discovery.calls)
	for i := range 20 {
		io.WriteString(client, launchMessage(i+1, "query", `"x"`))
		client.expect(`"running"`)
		no := 2 + i
		c.text <- fmt.Sprintf("id: %d\ndata: %s\n\n", no, discoveryEvent(no, nodeEntry(no-1, node.addr, "terminated"), nodeEntry(no, node.addr, "in_service")))
		client.expect(`"stop"`, `"reason":41`) // a second later
		if i == 1 {
			break
		}
	}
	gone := make(chan struct{})
	server.loop.Post(func() {
		var look func()
		look = func() {
			if len(server.links) == 0 {
				close(gone)
				return
			}
			server.loop.After(0.05, look)
		}
		look()
	})
	waitFor(t, "end of the links", gone)
}

// TestUnreadAnswers: an owner that does not read what it is sent is cut off before its answers grow without end.
func TestClientThatDoesNotRead(t *testing.T) {
	server := startServer(t, 256)
	client := server.connect()
	lines := []byte(strings.Repeat(`{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}`+"\n", 1000))
	var sent int64
	for sent < 1<<30 {
		n, err := client.Write(lines)
		if sent += int64(n); err != nil {
			break
		}
	}
	if sent >= 1<<30 {
		t.Fatal("never cut off")
	}
	server.runOnLoop(func() {
		if len(server.clients) != 0 {
			t.Errorf("%d connections", len(server.clients))
		}
	})
}

// TestBulletinIsNotHammered: a bulletin that ends every call at once is asked ever more slowly.
func TestDiscoveryBackoff(t *testing.T) {
	server := startServer(t, 256)
	var first time.Time
	for i := range 6 {
		c := waitFor(t, "call", server.discovery.calls)
		if i == 0 {
			first = time.Now()
		}
		close(c.text)
	}
	// 0.05, 0.1, 0.2, 0.4 and 0.8 s, each drawn from three quarters up.
	if took := time.Since(first); took < 1150*time.Millisecond {
		t.Errorf("six calls within %v", took)
	}
}

// TestDeadConnectionIsLeft: a connection on which an offer was not answered in time gets a test, and no offer until it passes; the machine
// itself is well, and a new connection to it serves.
func TestUnresponsiveConnectionIsAvoided(t *testing.T) {
	var mu sync.Mutex
	var dead net.Conn
	node := startNode(t, func(c net.Conn, line string) {
		mu.Lock()
		defer mu.Unlock()
		if dead == nil {
			dead = c
		}
		if c != dead {
			acceptTask(c, line)
		}
	})
	server := startServer(t, 256, node.addr)
	client := server.connect()
	for i := range 4 {
		io.WriteString(client, launchMessage(i+1, "query", `"x"`))
		if strings.Contains(client.expect(fmt.Sprintf("%016x", i+1)), `"running"`) {
			return
		}
	}
	t.Error("all offers went out on a connection that carries nothing")
}
