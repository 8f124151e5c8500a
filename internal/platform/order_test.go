//go:build linux

package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// Each test here forces one order of two events that cross. The loop is held in a posted function while the other side acts, so that the
// system knows of what happened, on loopback at once, and the loop does not.

// hold runs act while the loop is held, then f on the loop, in the turn in which it was held.
func (sv *service) hold(act, f func()) {
	held, released, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	sv.l.Post(func() {
		close(held)
		<-released
		if f != nil {
			f()
		}
		close(done)
	})
	wait(sv.t, "turn of the loop", held)
	act()
	close(released)
	wait(sv.t, "end of the turn", done)
}

// until runs f on the loop turn by turn until it says true.
func (sv *service) until(what string, f func() bool) {
	done := make(chan struct{})
	var look func()
	look = func() {
		if f() {
			close(done)
			return
		}
		sv.l.After(0.001, look)
	}
	sv.l.Post(look)
	wait(sv.t, what, done)
}

func stop(id, cause int) string {
	return fmt.Sprintf(`{"kind":"stop","uid":"%016x","meta":{},"reason":%d}`+"\n", id, cause)
}

const test = `{"kind":"check","uid":"00000000000000aa","meta":{},"reason":0}` + "\n"

// connected is a scheduler with an open connection to its one machine, which says nothing but to task 1.
func connected(t *testing.T) (*service, *standin, *client) {
	n := machine(t, func(c net.Conn, line string) {
		if uid(line) == "0000000000000001" {
			accepts(c, line)
		}
	})
	sv := serve(t, 256, n.addr)
	o := sv.owner()
	io.WriteString(o, launch(1, "query", `"x"`))
	o.want(`"running"`)
	wait(t, "launch", n.got)
	return sv, n, o
}

// nothing sees that the machine got no launch but that of a later task, which is sent for it.
func (n *standin) nothing(t *testing.T, o *client) {
	t.Helper()
	io.WriteString(o, launch(0xff, "query", `"x"`))
	for {
		switch line := wait(t, "launch of a later task", n.got); {
		case uid(line) == "00000000000000ff":
			return
		case strings.Contains(line, `"launch"`):
			t.Fatalf("an attempt was made for one who has left: %s", line)
		}
	}
}

// TestDeparturesComeBeforeAttempts: no attempt is made for a set-up whose owner has closed its connection, or cancelled, before its first byte
// goes out.
func TestDeparturesComeBeforeAttempts(t *testing.T) {
	many := strings.Repeat(test, linesPerTurn+10)
	for name, leave := range map[string]func(c *client){
		"closes behind its set-up":    func(c *client) { io.WriteString(c, launch(2, "query", `"x"`)); c.Close() },
		"cancels in the same segment": func(c *client) { io.WriteString(c, launch(2, "query", `"x"`)+stop(2, 16)) },
		"cancels many lines on":       func(c *client) { io.WriteString(c, launch(2, "query", `"x"`)+many+stop(2, 16)) },
		"closes behind many lines":    func(c *client) { io.WriteString(c, many+launch(2, "query", `"x"`)+many); c.Close() },
		"resets": func(c *client) {
			io.WriteString(c, launch(2, "query", `"x"`))
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"sends single bytes, then takes it back": func(c *client) {
			for _, b := range []byte(launch(2, "query", `"x"`) + stop(2, 16)) {
				c.Write([]byte{b})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sv, n, o := connected(t)
			c := sv.owner()
			sv.hold(func() { leave(c) }, nil)
			n.nothing(t, o)
		})
	}
}

// TestDepartureAndDialInOneTurn: the connection that an attempt waits for comes up in the turn in which its owner's end is known, and is told
// of first.
func TestDepartureAndDialInOneTurn(t *testing.T) {
	n := machine(t, func(net.Conn, string) {})
	sv := serve(t, 256)
	c := sv.owner()
	io.WriteString(c, launch(2, "query", `"x"`))
	sv.until("set-up", func() bool { return sv.c.OpenRequests() == 1 })
	// The attempt begins long after the set-up was read, when the module looks again for a machine: the owner's connection is ready only
	// after the one that is dialled.
	wait(t, "call", sv.board.calls).text <- fmt.Sprintf("id: 2\ndata: %s\n\n", event(2, entry(1, n.addr, "in_service")))
	dialled, left := make(chan struct{}), make(chan struct{})
	var look func()
	look = func() {
		sv.begin() // what is to be begun at the end of this turn
		for _, k := range sv.links {
			if k.dialing != nil {
				close(dialled)
				<-left
				return
			}
		}
		sv.l.AtEnd(look)
	}
	sv.l.Post(func() { sv.l.AtEnd(look) })
	wait(t, "dial", dialled)
	c.Close()
	close(left)
	n.nothing(t, sv.owner())
}

// TestBacklogAtTheEndIsServed: owners whose connections were taken in by the system, with their set-ups, before the listener closes get their
// answers.
func TestBacklogAtTheEndIsServed(t *testing.T) {
	sv := serve(t, 2000, machine(t, accepts).addr)
	var all []*client
	sv.hold(func() {
		for i := range 150 { // more than are accepted in a turn
			c := sv.owner()
			io.WriteString(c, launch(i+1, "query", `"x"`))
			all = append(all, c)
		}
	}, func() {
		sv.stopping, sv.stopAt = true, sv.l.Now()-1
		sv.ending()
	})
	for i, c := range all {
		c.want(fmt.Sprintf("%016x", i+1)) // many are refused, since there is one machine
	}
}

// TestHalfARequestAtTheEnd: a set-up of which a part had come when the scheduler was told to stop is answered once its rest comes.
func TestHalfARequestAtTheEnd(t *testing.T) {
	sv := serve(t, 256, machine(t, accepts).addr)
	c := sv.owner()
	text := launch(1, "query", `"x"`)
	io.WriteString(c, text[:40])
	sv.until("half a line", func() bool {
		for _, oc := range sv.owners {
			return oc.part > 0
		}
		return false
	})
	sv.on(func() {
		sv.stopping, sv.stopAt = true, sv.l.Now()-1
		sv.ending()
	})
	io.WriteString(c, text[40:])
	c.want(`"running"`)
}

// TestEndDestroysNoAnswer: bytes of an owner that come at the very end would have the end of the process reset its connection, and destroy the
// answers that it has not read yet.
func TestEndDestroysNoAnswer(t *testing.T) {
	n := machine(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			fmt.Fprintf(c, `{"kind":"stop","uid":%q,"reason":47}`+"\n", uid(line))
		}
	})
	sv := serve(t, 256, n.addr)
	c := sv.owner()
	io.WriteString(c, launch(1, "seats", `"x"`))
	sv.until("answer", func() bool { return sv.c.Counts.Failed+sv.c.Counts.Rejected == 1 })
	decided, sent := make(chan struct{}), make(chan struct{})
	sv.l.Post(func() {
		sv.stopping, sv.stopAt = true, sv.l.Now()-1
		sv.ending()
		close(decided) // to end, with nothing unread
		<-sent
	})
	wait(t, "end", decided)
	io.WriteString(c, `{"kind":"stopped","uid":"0000000000000001","meta":{}}`+"\n")
	close(sent)
	c.want(`"stop"`, "0000000000000001")
	if line, err := c.r.ReadString('\n'); err != io.EOF {
		t.Fatalf("%q, %v", line, err)
	}
	c.Close()
	wait(t, "end", sv.ended)
}

// TestLookBeforeClosing: a set-up that the system has received on a connection about to be closed, as a stranger's or for its seat, is served.
func TestLookBeforeClosing(t *testing.T) {
	for name, closing := range map[string]func(sv *service){
		"a stranger's": func(sv *service) { sv.sweepOwners() },
		"for its seat": func(sv *service) { sv.makeRoom() },
	} {
		t.Run(name, func(t *testing.T) {
			sv := serve(t, 256, machine(t, accepts).addr)
			c := sv.owner()
			sv.until("owner", func() bool { return len(sv.owners) == 1 })
			sv.hold(func() { io.WriteString(c, launch(1, "query", `"x"`)) }, func() {
				for _, oc := range sv.owners {
					oc.opened, oc.last = oc.opened-10, oc.last-10
				}
				closing(sv)
			})
			c.want(`"running"`)
		})
	}
}

// TestStrangerInPieces: a connection on which a message has come in part is no silent one yet; one that stays so is.
func TestStrangerInPieces(t *testing.T) {
	sv := serve(t, 256, machine(t, accepts).addr)
	slow, half := sv.owner(), sv.owner()
	text := launch(1, "query", `"x"`)
	io.WriteString(slow, text[:40])
	io.WriteString(half, text[:40])
	sv.until("half a line", func() bool {
		n := 0
		for _, oc := range sv.owners {
			if oc.part > 0 {
				n++
			}
		}
		return n == 2
	})
	sv.on(func() {
		for _, oc := range sv.owners {
			oc.opened, oc.last = oc.opened-10, oc.last-10 // silent for long, and then half a line
		}
		sv.sweepOwners()
	})
	io.WriteString(slow, text[40:])
	slow.want(`"running"`)
	if line, err := half.r.ReadString('\n'); err != io.EOF {
		t.Fatalf("%q, %v", line, err)
	}
}

// TestNothingIsToldOnAClosingConnection: the end of a task that comes while its owner's connection is being closed goes to the next one.
func TestNothingIsToldOnAClosingConnection(t *testing.T) {
	conns := make(chan net.Conn, 1)
	n := machine(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			accepts(c, line)
			conns <- c
		}
	})
	sv := serve(t, 256, n.addr)
	a := sv.owner()
	io.WriteString(a, launch(1, "query", `"x"`))
	a.want(`"running"`)
	io.WriteString(a, "noise\n") // ends the connection, which lingers for its owner to close it too
	sv.until("closing", func() bool { return sv.stats.BadOwners["unreadable"] > 0 })
	io.WriteString(<-conns, stop(1, 16))
	sv.until("end", func() bool { return sv.c.RunningTasks() == 0 })
	b := sv.owner()
	io.WriteString(b, test)
	b.want(`"stop"`, "0000000000000001", `"reason":16`)
	sv.on(func() {
		if sv.c.Counts.Redeliveries > 0 {
			t.Error("told on the closing connection first")
		}
	})
}

// TestReleaseOnAConnectionThatIsClosing: a release sent at the moment at which its owner closes the connection goes out once more, on the next.
func TestReleaseOnAConnectionThatIsClosing(t *testing.T) {
	conns := make(chan net.Conn, 1)
	n := machine(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			accepts(c, line)
			conns <- c
		}
	})
	sv := serve(t, 256, n.addr)
	a := sv.owner()
	io.WriteString(a, launch(1, "query", `"x"`))
	a.want(`"running"`)
	c := <-conns
	sv.hold(func() {
		io.WriteString(c, stop(1, 16)) // the machine's word is ready first
		a.Close()
	}, nil)
	sv.until("end", func() bool { return sv.c.RunningTasks() == 0 && len(sv.owners) == 0 })
	b := sv.owner()
	io.WriteString(b, test)
	b.want(`"stop"`, "0000000000000001", `"reason":16`)
}

// TestMachineQuickerThanItsTasksOwner: after a start a machine tells, on its first connection, what ended while nobody was connected, before
// the owner has named that task as one that stands there.
func TestMachineQuickerThanItsTasksOwner(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		if c, err := ln.Accept(); err == nil {
			io.WriteString(c, stop(1, 16)+stop(2, 41))
			io.Copy(io.Discard, c)
		}
	}()
	sv := serve(t, 256, ln.Addr().String())
	o := sv.owner()
	named := func(id int) string {
		return strings.Replace(launch(id, "query", `"x"`), "service:", "at:s-00000001;service:", 1)
	}
	io.WriteString(o, test+named(1))
	o.want(`"stop"`, "0000000000000001", `"reason":16`)
	sv.until("both ends", func() bool { return sv.c.Counts.UnknownTasks == 1 })
	io.WriteString(o, named(2))
	o.want(`"stop"`, "0000000000000002", `"reason":41`)
	sv.on(func() {
		if sv.c.RunningTasks() != 0 {
			t.Errorf("%d stand", sv.c.RunningTasks())
		}
	})
}

// TestNamedTasksComeBeforeSetUps: what stands already is taken in whole, though it is hundreds of lines, before a set-up that came beside it is
// placed.
func TestNamedTasksComeBeforeSetUps(t *testing.T) {
	const many = 350 // as many as the system takes without a reader; without the mend that is six turns
	n := machine(t, accepts)
	sv := serve(t, 256, n.addr)
	front, o := sv.owner(), sv.owner()
	io.WriteString(front, test)
	front.want(`"checked"`)
	var b strings.Builder
	for i := range many {
		b.WriteString(strings.Replace(launch(0x1000+i, "query", `"x"`), "service:", "at:s-00000001;service:", 1))
	}
	sv.hold(func() {
		io.WriteString(front, b.String())
		io.WriteString(o, launch(1, "query", `"x"`))
	}, nil)
	standing := -1
	sv.until("attempt", func() bool {
		if sv.c.Counts.Attempts > 0 && standing < 0 {
			standing = sv.c.RunningTasks()
		}
		return standing >= 0
	})
	if standing < many {
		t.Errorf("an attempt was made when %d of %d tasks that stand were known", standing, many)
	}
	o.want(`"running"`, "0000000000000001")
}

// TestTheLastWayToOwnersIsKept: a connection that named a task as standing, or on which all was refused, is not closed as a stranger's while it
// is the only one: the end of a task that stands goes out on it at once.
func TestTheLastWayToOwnersIsKept(t *testing.T) {
	conns := make(chan net.Conn, 1)
	n := machine(t, func(c net.Conn, line string) {
		if strings.Contains(line, `"launch"`) {
			accepts(c, line)
			conns <- c
		}
	})
	sv := serve(t, 256, n.addr)
	a, b, named := sv.owner(), sv.owner(), sv.owner()
	io.WriteString(a, launch(1, "query", `"x"`))
	a.want(`"running"`)
	io.WriteString(b, test)
	b.want(`"checked"`)
	io.WriteString(named, strings.Replace(launch(2, "query", `"x"`), "service:", "at:s-00000001;service:", 1))
	c := wait(t, "task", conns)
	sv.until("three owners and two tasks", func() bool { return len(sv.owners) == 3 && sv.c.RunningTasks() == 2 })
	sweep := func() {
		sv.on(func() {
			for _, oc := range sv.owners {
				oc.opened, oc.last = oc.opened-10, oc.last-10
			}
			sv.sweepOwners()
		})
	}
	sweep()
	if line, err := b.r.ReadString('\n'); err != io.EOF { // not the only one: nothing came to stand on it
		t.Fatalf("%q, %v", line, err)
	}
	b.Close()
	a.Close()
	sv.until("one owner", func() bool { return len(sv.owners) == 1 })
	sweep()
	io.WriteString(c, stop(1, 16))
	named.want(`"stop"`, "0000000000000001")

	d := sv.owner()
	io.WriteString(d, test)
	d.want(`"checked"`)
	named.Close()
	sv.until("one owner", func() bool { return len(sv.owners) == 1 })
	sweep()
	io.WriteString(c, stop(2, 16))
	d.want(`"stop"`, "0000000000000002")
}
