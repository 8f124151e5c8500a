//go:build linux

package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// stream is a bulletin whose bytes the test writes itself. Each connection that asks comes with the id that it asked from.
type stream struct {
	net.Listener
	asked chan *asked
}

type asked struct {
	net.Conn
	last string
	over chan struct{} // the scheduler has ended it
}

func newStream(t *testing.T, ln net.Listener) *stream {
	t.Helper()
	f := &stream{ln, make(chan *asked, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				a := &asked{Conn: c, over: make(chan struct{})}
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if id, found := strings.CutPrefix(line, "Last-Event-ID: "); found {
						a.last = strings.TrimSpace(id)
					}
					if line == "\r\n" {
						break
					}
				}
				f.asked <- a
				io.Copy(io.Discard, r)
				close(a.over)
			}()
		}
	}()
	t.Cleanup(func() {
		for {
			select {
			case a := <-f.asked:
				a.Close()
			default:
				return
			}
		}
	})
	return f
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n"

func told(no int, targets ...string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", no, event(no, targets...))
}

func (sv *service) move(addr string) {
	cfg := *sv.cfg
	cfg.Discovery = addr
	sv.on(func() { sv.Reload(&cfg) })
}

// TestWatchFallsSilent: wherever a watch falls silent, it is asked again within what the platform leaves for that, from the last event had.
func TestWatchFallsSilent(t *testing.T) {
	second := told(2, entry(1, "127.0.0.1:1", "in_service"))
	for name, c := range map[string]struct {
		text string
		last string
		with func(sv *service, f *stream)
	}{
		"before the first byte":     {"", "1", nil},
		"in the middle of the head": {head[:40], "1", nil},
		"after the head":            {head, "1", nil},
		"after a comment":           {head + ": still here\n\n", "1", nil},
		"in the middle of an event": {head + second[:30], "1", nil},
		"in the middle of its end":  {head + second[:len(second)-1], "1", nil},
		"after an event":            {head + second, "2", nil},
		"while it shuts down":       {head + second, "2", func(sv *service, _ *stream) { sv.stopping, sv.stopAt = true, sv.l.Now() }},
		"after a reload to the same": {head + second, "2", func(sv *service, f *stream) {
			cfg := *sv.cfg
			cfg.Discovery = f.Addr().String()
			sv.Reload(&cfg)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sv := serve(t, 256)
			f := newStream(t, listen(t, "127.0.0.1:0"))
			sv.move(f.Addr().String())
			first := wait(t, "call", f.asked)
			io.WriteString(first, c.text)
			if c.with != nil {
				sv.on(func() { c.with(sv, f) })
			}
			start := time.Now()
			again := wait(t, "second call", f.asked)
			if again.last != c.last {
				t.Errorf("asked from %s, want %s", again.last, c.last)
			}
			if took := time.Since(start); took > 4*time.Second {
				t.Errorf("asked again after %v", took)
			}
			wait(t, "end of the silent connection", first.over)
			io.WriteString(again, head+told(2)+told(3, entry(2, "127.0.0.1:1", "in_service")))
			sv.until("event", func() bool { return sv.c.LastDiscoveryEvent() == 3 })
		})
	}
}

// TestOldWatchAfterAMove: what the connection to the old address still says after a move is not heard; the numbers go on at the new one.
func TestOldWatchAfterAMove(t *testing.T) {
	sv := serve(t, 256)
	a, b := newStream(t, listen(t, "127.0.0.1:0")), newStream(t, listen(t, "127.0.0.1:0"))
	sv.move(a.Addr().String())
	old := wait(t, "call", a.asked)
	io.WriteString(old, head+told(2)+"id: 3\ndata: ")
	sv.until("event", func() bool { return sv.c.LastDiscoveryEvent() == 2 })
	cfg := *sv.cfg
	cfg.Discovery = b.Addr().String()
	sv.hold(func() { io.WriteString(old, event(3, entry(7, "127.0.0.1:1", "in_service"))+"\n\n") }, func() { sv.Reload(&cfg) })
	c := wait(t, "call", b.asked)
	if c.last != "2" {
		t.Errorf("asked from %s", c.last)
	}
	wait(t, "end of the old connection", old.over)
	io.WriteString(c, head+told(3, entry(8, "127.0.0.1:1", "in_service")))
	sv.until("event", func() bool { return sv.c.LastDiscoveryEvent() == 3 })
	sv.on(func() {
		n := 0
		for range sv.links {
			n++
		}
		if sv.stats.BulletinOpens != 3 || n != 0 {
			t.Errorf("%d calls, %d links", sv.stats.BulletinOpens, n)
		}
	})
}

// TestMoveToWhereNobodyListensYet: a reload may name an address that listens only later, and the next the first one again.
func TestMoveToWhereNobodyListensYet(t *testing.T) {
	sv := serve(t, 256)
	a := newStream(t, listen(t, "127.0.0.1:0"))
	sv.move(a.Addr().String())
	first := wait(t, "call", a.asked)
	io.WriteString(first, head+told(2))
	sv.until("event", func() bool { return sv.c.LastDiscoveryEvent() == 2 })
	later := listen(t, "127.0.0.77:0") // where nobody else takes the port meanwhile
	later.Close()
	sv.move(later.Addr().String())
	opens := uint64(0)
	sv.on(func() { opens = sv.stats.BulletinOpens })
	sv.until("tries", func() bool { return sv.stats.BulletinOpens >= opens+2 })
	b := newStream(t, listen(t, later.Addr().String()))
	c := wait(t, "call", b.asked)
	if c.last != "2" {
		t.Errorf("asked from %s", c.last)
	}
	io.WriteString(c, head+told(3))
	sv.until("event", func() bool { return sv.c.LastDiscoveryEvent() == 3 })
	sv.move(a.Addr().String())
	c = wait(t, "call at the first address", a.asked)
	if c.last != "3" {
		t.Errorf("asked from %s", c.last)
	}
}

// TestServedFromWhatIsKnown: with discovery down from the start, and later in the middle of it, set-ups are placed on the machines known.
func TestServedFromWhatIsKnown(t *testing.T) {
	sv := serve(t, 256, machine(t, accepts).addr)
	sv.board.Close()
	sv.until("failed calls", func() bool { return sv.stats.BulletinOpens >= 3 })
	o := sv.owner()
	io.WriteString(o, test+launch(1, "seats", `"x"`))
	o.want(`"running"`)
}

// whole is a list of all machines in the middle of the numbers.
func whole(no int, targets ...string) string {
	return "id: " + fmt.Sprint(no) + "\ndata: " + strings.Replace(event(no, targets...), `"all":false`, `"all":true`, 1) + "\n\n"
}

// TestWholeListLeavesAMachineOut: a whole list in the middle of the numbers lacks a machine that has an attempt open, and a task standing or
// none, and the next one has it again: nothing is given up for that. If none has it again, all ends, though the machine's answer came after the
// list's word.
func TestWholeListLeavesAMachineOut(t *testing.T) {
	for _, c := range []struct{ back, standing bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			answer := make(chan func(), 1)
			n := machine(t, func(c net.Conn, line string) {
				switch uid(line) {
				case "0000000000000001":
					accepts(c, line)
				case "0000000000000002":
					answer <- func() { accepts(c, line) }
				}
			})
			sv := serve(t, 256, n.addr)
			call := wait(t, "call", sv.board.calls)
			o := sv.owner()
			all := 1
			if c.standing {
				all = 2
				io.WriteString(o, launch(1, "query", `"x"`))
				o.want(`"running"`, "0000000000000001")
			}
			io.WriteString(o, launch(2, "seats", `"x"`))
			say := wait(t, "attempt", answer)
			call.text <- whole(2, entry(9, "127.0.0.1:1", "in_service"))
			sv.until("the list", func() bool { return sv.c.LastDiscoveryEvent() == 2 })
			sv.on(func() {
				for _, k := range sv.links {
					k.keep()
				}
			})
			if c.back {
				call.text <- whole(3, entry(1, n.addr, "in_service"))
				sv.until("the list", func() bool { return sv.c.LastDiscoveryEvent() == 3 })
			}
			say()
			o.want(`"running"`, "0000000000000002")
			if c.back {
				sv.on(func() {
					if sv.c.RunningTasks() != all {
						t.Errorf("%d stand", sv.c.RunningTasks())
					}
				})
				return
			}
			ended := map[string]bool{}
			for len(ended) < all {
				line := o.want(`"stop"`, `"reason":41`)
				ended[uid(line)] = true
			}
		})
	}
}

// TestNewMachineAtTheAddressOfAGoneOne: what is owed to the old machine is not taken for the new one's, nor its word for the old one's.
func TestNewMachineAtTheAddressOfAGoneOne(t *testing.T) {
	n := machine(t, accepts)
	sv := serve(t, 256, n.addr)
	call := wait(t, "call", sv.board.calls)
	o := sv.owner()
	io.WriteString(o, launch(1, "query", `"x"`))
	o.want(`"running"`)
	call.text <- fmt.Sprintf("id: 2\ndata: %s\n\n", event(2, entry(1, n.addr, "terminated"), entry(2, n.addr, "in_service")))
	sv.until("the list", func() bool { return sv.c.LastDiscoveryEvent() == 2 })
	io.WriteString(o, launch(2, "query", `"x"`))
	o.want(`"running"`, "0000000000000002")
	o.want(`"stop"`, "0000000000000001", `"reason":41`)
	sv.until("one link", func() bool { return len(sv.links) == 1 })
	sv.on(func() {
		if sv.c.RunningTasks() != 1 || sv.nodeConns != 1 {
			t.Errorf("%d stand, %d connections", sv.c.RunningTasks(), sv.nodeConns)
		}
	})
}

// TestSilentMachineThatReturns: a machine that was taken for lost comes back with the task that it held, whose owner was told that it is over.
// It is told to end the task, and until it has said so the task counts as running there.
func TestSilentMachineThatReturns(t *testing.T) {
	t.Parallel()
	n := machine(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) { // tests are not answered
			accepts(c, line)
		}
	})
	sv := serve(t, 256, n.addr)
	sv.on(func() { sv.reach.UnresponsiveAfter = 0.5 })
	o := sv.owner()
	io.WriteString(o, launch(1, "seats", `"x"`))
	o.want(`"running"`)
	wait(t, "launch", n.got)
	_, port, _ := net.SplitHostPort(n.addr)
	p, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	n.ln.Close()
	_, end := silentUntil(t, p)
	o.want(`"stop"`, `"reason":41`)
	sv.on(func() {
		if sv.c.RunningTasks() != 1 {
			t.Errorf("%d stand", sv.c.RunningTasks())
		}
	})
	end()
	ln := listen(t, n.addr) // back
	defer ln.Close()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patient))
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.Contains(line, `"stop"`) || uid(line) != "0000000000000001" {
		t.Fatalf("%q, %v", line, err)
	}
	io.WriteString(c, stop(1, 31))
	sv.until("end of the task", func() bool { return sv.c.RunningTasks() == 0 })
	io.WriteString(o, test)
	if line := o.line(); !strings.Contains(line, `"checked"`) {
		t.Errorf("the owner was told more: %s", line)
	}
}

// TestMachinesTakeTurns: more machines hold tasks than there are seats for connections to them. They take turns, and between two turns of one no
// other has more than two: so each can say how its tasks end before that is overdue.
func TestMachinesTakeTurns(t *testing.T) {
	const machines, turns = 40, 4
	order := make(chan int, 10000)
	var addrs []string
	for i := range machines {
		ln := listen(t, "127.0.0.1:0")
		t.Cleanup(func() { ln.Close() })
		addrs = append(addrs, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				order <- i
				go func() {
					r := bufio.NewReader(c)
					for {
						line, err := r.ReadString('\n')
						if err != nil {
							c.Close()
							return
						}
						if strings.Contains(line, `"check"`) {
							fmt.Fprintf(c, `{"kind":"checked","uid":%q,"reason":1}`+"\n", uid(line))
						}
					}
				}()
			}
		}()
	}
	sv := serve(t, 64, addrs...)
	o := sv.owner()
	sv.on(func() { sv.seatFor = 0.1 })
	for i := range machines {
		io.WriteString(o, strings.Replace(launch(i+1, "query", `"x"`), "service:", fmt.Sprintf("at:s-%08x;service:", i+1), 1))
	}
	had := make([]int, machines)
	between := make([][]int, machines) // how often each of the others had a turn since the last one of this
	for i := range between {
		between[i] = make([]int, machines)
	}
	for done := 0; done < machines; {
		i := wait(t, "turn", order)
		if had[i]++; had[i] == turns {
			done++
		}
		between[i] = make([]int, machines)
		for j := range between {
			if j == i {
				continue
			}
			if between[j][i]++; between[j][i] > 2 && had[j] < turns {
				t.Fatalf("machine %d had %d turns since the last one of machine %d", i, between[j][i], j)
			}
		}
	}
	sv.on(func() {
		if sv.c.RunningTasks() != machines || sv.nodeConns > sv.maxNodes || sv.maxNodes >= machines/2+5 {
			t.Errorf("%d stand, %d connections of %d", sv.c.RunningTasks(), sv.nodeConns, sv.maxNodes)
		}
	})
}

// TestDialThatNeverComesUp: neither its descriptor nor its queue stays, and its set-ups are answered.
func TestDialThatNeverComesUp(t *testing.T) {
	sv := serve(t, 256, silentPort(t, 0))
	o := sv.owner()
	for i := range 20 {
		io.WriteString(o, launch(i+1, "query", `"x"`))
	}
	for range 20 {
		o.want(`"stop"`, `"reason":34`)
	}
	sv.until("end of the dials", func() bool {
		for _, k := range sv.links {
			if len(k.queue) > 0 || k.dialing != nil {
				return false
			}
		}
		return sv.nodeConns == 0
	})
}

// TestEndOvertakesTheAnswer: a machine's word that it sent a task away comes before its word that it accepted it. The task is over for its owner,
// and no other machine gets it under that id.
func TestEndOvertakesTheAnswer(t *testing.T) {
	n := machine(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":41,"meta":{"note":"drained"}}`+"\n", uid(line))
			accepts(c, line)
		}
	})
	other := machine(t, accepts)
	sv := serve(t, 256, n.addr, other.addr)
	o := sv.owner()
	io.WriteString(o, launch(1, "query", `"x"`))
	if line := o.line(); !strings.Contains(line, `"stop"`) || !strings.Contains(line, `"reason":41`) {
		t.Fatal(line)
	}
	sv.until("late answer", func() bool { return sv.c.Counts.UnknownTasks == 1 })
	io.WriteString(o, test)
	if line := o.line(); !strings.Contains(line, `"checked"`) {
		t.Fatal(line)
	}
}

// TestSecondAnswersChangeNothing: copies of answers, and answers under ids that nobody sent, come before, with and after the good one.
func TestSecondAnswersChangeNothing(t *testing.T) {
	n := machine(t, func(c net.Conn, line string) {
		if !strings.Contains(line, `"launch"`) {
			return
		}
		good := fmt.Sprintf(`{"kind":"running","uid":%q,"body":"y"}`+"\n", uid(line))
		other := fmt.Sprintf(`{"kind":"running","uid":%q,"body":"z"}`+"\n", uid(line))
		over := fmt.Sprintf(`{"kind":"stop","uid":%q,"reason":16}`+"\n", uid(line))
		strange := `{"kind":"running","uid":"00000000000000ee","body":"y"}` + "\n" + `{"kind":"stop","uid":"00000000000000ee","reason":34}` + "\n"
		io.WriteString(c, strange+good+good+other+over+over+other+strange)
	})
	sv := serve(t, 256, n.addr)
	o := sv.owner()
	for i := range 5 {
		io.WriteString(o, launch(i+1, "seats", `"x"`))
		id := fmt.Sprintf("%016x", i+1)
		if line := o.line(); !strings.Contains(line, id) || !strings.Contains(line, `"body":"y"`) {
			t.Fatal(line)
		}
		if line := o.line(); !strings.Contains(line, id) || !strings.Contains(line, `"reason":16`) {
			t.Fatal(line)
		}
		io.WriteString(o, test)
		if line := o.line(); !strings.Contains(line, `"checked"`) {
			t.Fatal(line)
		}
	}
}
