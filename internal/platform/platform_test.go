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

const patient = 20 * time.Second // longer than anything here takes: what is waited for are events

const settings = `{"discovery":"ask","me":0,"myZone":0,"peersTotal":1,"flavors":["std"],"zones":["a"],
 "extra":{"admitMemory":1.5,"apartBy":["none","none"],"classKind":[-1,-1],"checkAfterS":2,"coresByKind":[8],"cpuBooking":20,"freeInList":true,
  "fullUpTo":[1,0.8],"fadesOver":[1,0.2],"kindMemory":[16],"saysYes":"accepted","youngLimit":12},
 "lanes":[{"name":"query","effect":"idempotent","hardLimitS":4,"keyScope":"all","objectiveS":1,"worth":1},
  {"name":"seats","effect":"at_most_once","hardLimitS":5,"keyScope":"all","objectiveS":1,"worth":2}],
 "orgs":[{"name":"south"}],"loadReport":{"fields":["x0","x1"],"how":"answers"},
 "permissions":{"mostTries":4,"retryAfter":true,"maxRetryAfterS":3,"connectTimeoutS":0.25,"connIdleS":15},
 "rules":{"answerSlackS":0.01,"askWithinS":9,"drainGraceS":0.5,"fallS":1,"warmWithinS":8}}`

// standin is a machine: each line that it gets is handed to say, which may answer.
type standin struct {
	addr string
	ln   net.Listener
	got  chan string
}

func machine(t *testing.T, say func(conn net.Conn, line string)) *standin {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	n := &standin{ln.Addr().String(), ln, make(chan string, 1000)}
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
					n.got <- line
					say(c, line)
				}
			}()
		}
	}()
	return n
}

func uid(line string) string {
	_, rest, _ := strings.Cut(line, `"uid":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}

// accepts has every task stand, with a description that a careless codec would change.
const described = `"a\/b\u00e9\u0041\r\n"`

func accepts(c net.Conn, line string) {
	if strings.Contains(line, `"launch"`) {
		fmt.Fprintf(c, `{"kind":"running","uid":%q,"body":%s}`+"\n", uid(line), described)
	}
}

func entry(i int, addr, state string) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","model":"std","pod_group":1,"state":%q,"boot_ms":0,"open":[%d,%d]}`,
		i, addr, state, 16/i, 24/i) // the first is the emptiest
}

func event(no int, targets ...string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"rev":%d,"all":%v,"targets":[%s]}}`, no, no, no == 1, strings.Join(targets, ","))
}

// board is a bulletin. Each call is answered by what the test sends for it.
type board struct {
	*httptest.Server
	calls chan *call
}

type call struct {
	last string
	text chan string // closed where the stream ends
}

func newBoard(t *testing.T) *board {
	b := &board{calls: make(chan *call, 100)}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{r.Header.Get("Last-Event-ID"), make(chan string)}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(200)
		w.(http.Flusher).Flush()
		b.calls <- c
		for {
			select {
			case text, ok := <-c.text:
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
	t.Cleanup(b.Close)
	return b
}

func (b *board) addr() string { return strings.TrimPrefix(b.URL, "http://") }

func wait[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(patient):
		t.Fatalf("no %s", what)
		panic("not reached")
	}
}

type service struct {
	*Server
	t     *testing.T
	board *board
	ended chan struct{}
}

func serve(t *testing.T, sockets int, machines ...string) *service {
	t.Helper()
	sv := &service{t: t, board: newBoard(t), ended: make(chan struct{})}
	targets := ""
	for i, addr := range machines {
		if i > 0 {
			targets += ","
		}
		targets += entry(i+1, addr, "in_service")
	}
	cfg, err := ParseConfig([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"9","bulletin":%q,"limits":{"sockets":%d},
		"known":{"no":1,"items":[%s]},"settings":%s}`, sv.board.addr(), sockets, event(1, targets), settings)))
	if err != nil {
		t.Fatal(err)
	}
	p, err := placer.New(cfg.Settings.Placer, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	if sv.Server, err = New(l, cfg, p, zerolog.Nop(), l.Stop); err != nil {
		t.Fatal(err)
	}
	go func() {
		l.Run()
		close(sv.ended)
	}()
	t.Cleanup(func() { l.Stop(); wait(t, "end", sv.ended) })
	return sv
}

// on runs f on the loop.
func (sv *service) on(f func()) {
	done := make(chan struct{})
	sv.l.Post(func() { f(); close(done) })
	wait(sv.t, "turn of the loop", done)
}

// client is an owner.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (sv *service) owner() *client {
	c, err := net.Dial("tcp", sv.Addr())
	if err != nil {
		sv.t.Fatal(err)
	}
	sv.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patient))
	return &client{c, sv.t, bufio.NewReader(c)}
}

func (c *client) line() string {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil {
		c.t.Fatalf("owner: %v", err)
	}
	return line
}

// want reads lines until one has all the texts.
func (c *client) want(texts ...string) string {
	c.t.Helper()
	for {
		line := c.line()
		all := true
		for _, s := range texts {
			all = all && strings.Contains(line, s)
		}
		if all {
			return line
		}
	}
}

func launch(id int, class, body string) string {
	return fmt.Sprintf(`{"kind":"launch","uid":"%016x","meta":{"class":%q,"left":"3000","tenant":"south","key":"%016x","extras":"cores:1;memory:1;service:0000000000000005"},"body":%s}`+"\n",
		id, class, id, body)
}

func TestWholePath(t *testing.T) {
	n := machine(t, func(c net.Conn, line string) {
		accepts(c, line)
		if strings.Contains(line, `"launch"`) {
			fmt.Fprintf(c, `{"kind":"update","uid":%q,"meta":{"note":"up","value":1}}`+"\n", uid(line))
		}
	})
	sv := serve(t, 256, n.addr)
	o := sv.owner()
	io.WriteString(o, `{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}`+"\n")
	o.want(`"checked"`, `"0000000000000001"`, `"reason":1`)
	body := `"9d\u0034\r\nc=IN \/"`
	text := launch(7, "seats", body)
	text = strings.Replace(text, `"left":`, `"idem":"e45e5817dae4","left":`, 1) // machines deduplicate by it
	for _, piece := range []string{text[:10], text[10:50], text[50:]} {
		io.WriteString(o, piece)
	}
	o.want(`"running"`, `"0000000000000007"`, `"body":`+described)
	got := wait(t, "launch", n.got)
	if !strings.Contains(got, `"body":`+body) || !strings.Contains(got, `"class":"seats"`) || !strings.Contains(got, `"key":"0000000000000007"`) ||
		!strings.Contains(got, `"left":"`) || !strings.Contains(got, `"idem":"e45e5817dae4"`) {
		t.Fatalf("the machine got %s", got)
	}
	io.WriteString(o, `{"kind":"stop","uid":"0000000000000007","meta":{},"reason":31}`+"\n")
	if got := wait(t, "release", n.got); !strings.Contains(got, `"stop"`) || !strings.Contains(got, `"reason":31`) {
		t.Fatalf("the machine got %s", got)
	}
}

func TestTroubleAtOneMachineMovesTasksOn(t *testing.T) {
	for name, say := range map[string]func(net.Conn, string){
		"noise":       func(c net.Conn, _ string) { io.WriteString(c, "\x00\xff\x17 noise\n") },
		"endless":     func(c net.Conn, _ string) { io.WriteString(c, strings.Repeat("x", 40<<10)) },
		"broken off":  func(c net.Conn, l string) { fmt.Fprintf(c, `{"kind":"running","uid":%q,"bo`, uid(l)); c.Close() },
		"stops short": func(c net.Conn, l string) { fmt.Fprintf(c, `{"kind":"running","uid":%q,"bo`, uid(l)) },
		"silent":      func(net.Conn, string) {},
		"error":       func(c net.Conn, l string) { fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":47}`+"\n", uid(l)) },
		"full": func(c net.Conn, l string) {
			fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":34,"meta":{"note":"cpu_full"}}`+"\n", uid(l))
		},
		"closes": func(c net.Conn, _ string) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			bad, good := machine(t, say), machine(t, accepts)
			sv := serve(t, 256, bad.addr, good.addr)
			o := sv.owner()
			for i := range 6 {
				io.WriteString(o, launch(i+1, "query", `"x"`))
				o.want(`"running"`, fmt.Sprintf("%016x", i+1))
			}
			sv.on(func() {
				if c := sv.c.Counts; c.Bound != 6 || c.Attempts <= 6 {
					t.Errorf("%+v", c)
				}
			})
		})
	}
}

func TestNobodyToConnectTo(t *testing.T) {
	n := machine(t, accepts)
	n.ln.Close()
	sv := serve(t, 256, n.addr)
	o := sv.owner()
	io.WriteString(o, launch(1, "seats", `"x"`))
	o.want(`"stop"`, `"reason":34`) // refused: nothing ran
	sv.on(func() {
		if c := sv.c.Counts; c.ConnectFailures == 0 || c.ConnectionsLost+c.TimedOut > 0 {
			t.Errorf("%+v", c)
		}
	})
}

// TestSpoiltReleaseIsHeardAgain: a machine sends its release once more on the next connection that opens, so a connection on which one was
// spoilt has to be followed by another while tasks stand.
func TestSpoiltReleaseIsHeardAgain(t *testing.T) {
	var mu sync.Mutex
	held, end := "", make(chan net.Conn, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if held != "" {
				fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":16}`+"\n", held)
			}
			mu.Unlock()
			go func() {
				if line, err := bufio.NewReader(c).ReadString('\n'); err == nil && strings.Contains(line, `"launch"`) {
					mu.Lock()
					held = uid(line)
					mu.Unlock()
					accepts(c, line)
					end <- c
				}
			}()
		}
	}()
	sv := serve(t, 256, ln.Addr().String())
	o := sv.owner()
	io.WriteString(o, launch(1, "seats", `"x"`))
	o.want(`"running"`)
	io.WriteString(wait(t, "task", end), "{spoilt\n")
	o.want(`"stop"`, `"reason":16`)
}

func TestBulletinBreaksRepeatsStopsAndMoves(t *testing.T) {
	sv := serve(t, 256)
	last := func() (n uint64) { sv.on(func() { n = sv.c.LastDiscoveryEvent() }); return n }
	c := wait(t, "call", sv.board.calls)
	if c.last != "1" {
		t.Fatalf("Last-Event-ID %q", c.last)
	}
	e2, e3, e4 := event(2, entry(1, "127.0.0.1:1", "in_service")), event(3, entry(1, "127.0.0.1:1", "terminating")), event(4)
	c.text <- "id: 2\ndata: " + e2 + "\n\nid: 2\ndata: " + e2 + "\n\nid: 3\ndata: " + e3[:20]
	close(c.text) // in the middle of an event
	c = wait(t, "call after a break", sv.board.calls)
	if c.last != "2" || last() != 2 {
		t.Fatalf("Last-Event-ID %q after a break", c.last)
	}
	c.text <- "id: 4\ndata: " + e4 + "\n\n" // a gap
	c = wait(t, "call after a gap", sv.board.calls)
	if c.last != "2" {
		t.Fatalf("Last-Event-ID %q after a gap", c.last)
	}
	c.text <- "id: 3\ndata: " + e3 + "\n\n" // and then silence
	c = wait(t, "call after silence", sv.board.calls)
	if c.last != "3" {
		t.Fatalf("Last-Event-ID %q after silence", c.last)
	}
	other := newBoard(t)
	cfg := *sv.cfg
	cfg.Discovery = other.addr()
	sv.on(func() { sv.Reload(&cfg); sv.Reload(&cfg) })
	c = wait(t, "call at the new address", other.calls)
	if c.last != "3" {
		t.Fatalf("Last-Event-ID %q after a move", c.last)
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

func TestBadClients(t *testing.T) {
	n := machine(t, accepts)
	sv := serve(t, 256, n.addr)
	good := sv.owner()
	io.WriteString(good, launch(1, "query", `"x"`))
	good.want(`"running"`)
	id := 1000
	var all sync.WaitGroup
	for name, send := range map[string]func(c *client){
		"says nothing":  func(*client) {},
		"noise":         func(c *client) { io.WriteString(c, "\xff\xfe\x00\n") },
		"half a line":   func(c *client) { io.WriteString(c, `{"kind":"lau`) },
		"60 MB":         func(c *client) { go io.CopyN(c, zeros{}, 60<<20) },
		"unknown class": func(c *client) { io.WriteString(c, launch(id, "gold", `"x"`)) },
		"no id":         func(c *client) { io.WriteString(c, `{"kind":"launch","meta":{}}`+"\n") },
		"unknown ids":   func(c *client) { io.WriteString(c, `{"kind":"stop","uid":"00000000000000ff","reason":16}`+"\n") },
		"one id twice":  func(c *client) { io.WriteString(c, launch(id+1, "gold", `"x"`)+launch(id+1, "gold", `"y"`)) },
		"an open id":    func(c *client) { io.WriteString(c, launch(1, "query", `"other"`)) },
		"takes them back": func(c *client) {
			io.WriteString(c, launch(id+2, "gold", `"x"`)+`{"kind":"stop","uid":"00000000000003ea","reason":16}`+"\n")
		},
	} {
		c := sv.owner()
		start := time.Now()
		send(c)
		all.Add(1)
		go func() {
			defer all.Done()
			line, err := c.r.ReadString('\n')
			if took := time.Since(start); took > 3*time.Second || strings.Contains(line, `"running"`) || err == nil && !strings.Contains(line, `"stop"`) {
				t.Errorf("%s: after %v %q, %v", name, took, line, err)
			}
		}()
	}
	all.Wait()
	io.WriteString(good, launch(2, "query", `"x"`))
	good.want(`"running"`, "0000000000000002")
	sv.on(func() {
		for _, kind := range []string{"unreadable", "long line", "class", "id in use"} {
			if sv.stats.BadOwners[kind] == 0 {
				t.Errorf("no bad input of kind %q was counted: %v", kind, sv.stats.BadOwners)
			}
		}
	})
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// TestCrowd: hundreds of connections that say nothing leave room for owners, within the descriptors there are.
func TestCrowd(t *testing.T) {
	n := machine(t, accepts)
	sv := serve(t, 64, n.addr)
	good := sv.owner()
	io.WriteString(good, launch(1, "query", `"x"`))
	good.want(`"running"`)
	for range 300 {
		sv.owner()
	}
	for i := range 20 {
		c := sv.owner()
		io.WriteString(c, launch(10+i, "query", `"x"`))
		c.want(`"running"`)
	}
	sv.on(func() {
		if len(sv.owners) > sv.maxOwners || sv.maxOwners+sv.maxNodes+spareSockets > 64 {
			t.Errorf("%d owners' connections, %d allowed", len(sv.owners), sv.maxOwners)
		}
	})
	io.WriteString(good, launch(2, "query", `"x"`))
	good.want(`"running"`, "0000000000000002")
}

func TestStopAnswersWhatWasTaken(t *testing.T) {
	answer := make(chan func(), 10)
	type task struct {
		conn net.Conn
		uid  string
	}
	held := make(chan task, 10)
	n := machine(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			answer <- func() { accepts(c, line) }
			held <- task{c, uid(line)}
		}
	})
	sv := serve(t, 256, n.addr)
	a := sv.owner()
	io.WriteString(a, launch(1, "seats", `"x"`))
	first := wait(t, "launch", answer)
	sv.on(func() { sv.Stop(); sv.Stop() })
	b := sv.owner() // connections keep coming for a while
	io.WriteString(b, launch(2, "seats", `"x"`))
	second := wait(t, "launch after the signal", answer)
	first()
	second()
	a.want(`"running"`)
	b.want(`"running"`)
	// While a task stands, and nothing else is open, its end is still told.
	closed := make(chan struct{})
	sv.l.Post(func() {
		var watch func()
		watch = func() {
			if sv.ln.Closed() {
				close(closed)
			} else {
				sv.l.After(0.01, watch)
			}
		}
		watch()
	})
	wait(t, "end of listening", closed)
	last := <-held
	fmt.Fprintf(last.conn, `{"kind":"stop","uid":%q,"reason":16}`+"\n", last.uid)
	a.want(`"stop"`, last.uid, `"reason":16`)
	wait(t, "end", sv.ended)
}

func TestConfigNamesTheField(t *testing.T) {
	good := `{"name":"n3","listen":"127.0.0.1:5080","seed":"8c1f30d27a5be964","bulletin":"127.0.0.1:7070","limits":{"sockets":256},"known":{"no":0,"items":[]},"settings":` + settings + `}`
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

// silentPort accepts no connection and refuses none, as a machine that has vanished: its queue of connections is full.
func silentPort(t *testing.T, port int) string {
	addr, end := silentUntil(t, port)
	t.Cleanup(end)
	return addr
}

// silentUntil is a silentPort that can be ended.
func silentUntil(t *testing.T, port int) (addr string, end func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	ends := []func(){func() { unix.Close(fd) }}
	end = func() {
		for _, f := range ends {
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
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return addr, end
		}
		ends = append(ends, func() { c.Close() })
	}
}

// TestMachinesThatVanish: what stands at a machine that says nothing any more is released to its owner, whether connections to it are refused
// or never come up, and what was kept for the machine goes.
func TestMachinesThatVanish(t *testing.T) {
	for _, how := range []string{"refuses", "silent"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			n := machine(t, func(c net.Conn, line string) {
				if strings.Contains(line, `"launch"`) { // tests are not answered
					accepts(c, line)
				}
			})
			sv := serve(t, 256, n.addr)
			sv.on(func() { sv.reach.UnresponsiveAfter = 2 })
			o := sv.owner()
			io.WriteString(o, launch(1, "seats", `"x"`))
			o.want(`"running"`)
			n.ln.Close()
			if how == "silent" {
				_, port, _ := net.SplitHostPort(n.addr)
				p, _ := strconv.Atoi(port)
				silentPort(t, p)
			}
			o.want(`"stop"`, `"reason":41`)
			still := 0 // what ran at a machine that refuses has ended with it
			if how == "silent" {
				still = 1 // and elsewhere it may run on, until the machine says that it ended
			}
			sv.on(func() {
				if sv.stats.MachinesLost != 1 || sv.c.RunningTasks() != still || sv.c.Counts.TasksLost != 1 {
					t.Errorf("%+v, %+v", sv.stats, sv.c.Counts)
				}
			})
		})
	}
}

// TestSeatsOfMachines: connections to machines stay within their part of the descriptors, and an offer that finds no seat is told as
// unreachable rather than made with a seat of somebody else's.
func TestSeatsOfMachines(t *testing.T) {
	var addrs []string
	for range 30 {
		addrs = append(addrs, machine(t, accepts).addr)
	}
	sv := serve(t, 64, addrs...)
	o := sv.owner()
	for i := range 200 {
		io.WriteString(o, launch(i+1, "query", `"x"`))
		o.want(fmt.Sprintf("%016x", i+1))
	}
	sv.on(func() {
		if sv.nodeConns > sv.maxNodes || sv.stats.MachinesLost > 0 {
			t.Errorf("%d connections to machines, %d allowed; %d machines lost", sv.nodeConns, sv.maxNodes, sv.stats.MachinesLost)
		}
	})
}

// TestLinksGoWithTheirMachines: nothing is kept for machines that the bulletin ended long ago, also where what stood there went last.
func TestLinksGoWithTheirMachines(t *testing.T) {
	n := machine(t, accepts)
	sv := serve(t, 256, n.addr)
	o := sv.owner()
	c := wait(t, "call", sv.board.calls)
	for i := range 20 {
		io.WriteString(o, launch(i+1, "query", `"x"`))
		o.want(`"running"`)
		no := 2 + i
		c.text <- fmt.Sprintf("id: %d\ndata: %s\n\n", no, event(no, entry(no-1, n.addr, "terminated"), entry(no, n.addr, "in_service")))
		o.want(`"stop"`, `"reason":41`) // a second later
		if i == 1 {
			break
		}
	}
	gone := make(chan struct{})
	sv.l.Post(func() {
		var look func()
		look = func() {
			if len(sv.links) == 0 {
				close(gone)
				return
			}
			sv.l.After(0.05, look)
		}
		look()
	})
	wait(t, "end of the links", gone)
}

// TestUnreadAnswers: an owner that does not read what it is sent is cut off before its answers grow without end.
func TestUnreadAnswers(t *testing.T) {
	sv := serve(t, 256)
	o := sv.owner()
	lines := []byte(strings.Repeat(`{"kind":"check","uid":"0000000000000001","meta":{},"reason":0}`+"\n", 1000))
	var sent int64
	for sent < 1<<30 {
		n, err := o.Write(lines)
		if sent += int64(n); err != nil {
			break
		}
	}
	if sent >= 1<<30 {
		t.Fatal("never cut off")
	}
	sv.on(func() {
		if len(sv.owners) != 0 {
			t.Errorf("%d connections", len(sv.owners))
		}
	})
}

// TestBulletinIsNotHammered: a bulletin that ends every call at once is asked ever more slowly.
func TestBulletinIsNotHammered(t *testing.T) {
	sv := serve(t, 256)
	var first time.Time
	for i := range 6 {
		c := wait(t, "call", sv.board.calls)
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
func TestDeadConnectionIsLeft(t *testing.T) {
	var mu sync.Mutex
	var dead net.Conn
	n := machine(t, func(c net.Conn, line string) {
		mu.Lock()
		defer mu.Unlock()
		if dead == nil {
			dead = c
		}
		if c != dead {
			accepts(c, line)
		}
	})
	sv := serve(t, 256, n.addr)
	o := sv.owner()
	for i := range 4 {
		io.WriteString(o, launch(i+1, "query", `"x"`))
		if strings.Contains(o.want(fmt.Sprintf("%016x", i+1)), `"running"`) {
			return
		}
	}
	t.Error("all offers went out on a connection that carries nothing")
}
