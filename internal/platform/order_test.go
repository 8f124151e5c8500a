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
	sv.until("end", func() bool { return sv.c.Standing() == 0 && len(sv.owners) == 0 })
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
	sv.until("both ends", func() bool { return sv.c.Counts.Unheld == 1 })
	io.WriteString(o, named(2))
	o.want(`"stop"`, "0000000000000002", `"reason":41`)
	sv.on(func() {
		if sv.c.Standing() != 0 {
			t.Errorf("%d stand", sv.c.Standing())
		}
	})
}

// TestNamedTasksComeBeforeSetUps: what stands already is taken in whole, though it is thousands of lines, before a set-up that came beside it is
// placed.
func TestNamedTasksComeBeforeSetUps(t *testing.T) {
	const many = 2000
	n := machine(t, accepts)
	sv := serve(t, 256, n.addr)
	front, o := sv.owner(), sv.owner()
	io.WriteString(front, test)
	front.want(`"checked"`)
	var b strings.Builder
	for i := range many {
		b.WriteString(strings.Replace(launch(0x1000+i, "query", `"x"`), "service:", "at:s-00000001;service:", 1))
	}
	wrote := make(chan struct{})
	sv.hold(func() {
		go func() { io.WriteString(front, b.String()); close(wrote) }()
		io.WriteString(o, launch(1, "query", `"x"`))
	}, nil)
	standing := -1
	sv.until("attempt", func() bool {
		if sv.c.Counts.Offers > 0 && standing < 0 {
			standing = sv.c.Standing()
		}
		return standing >= 0
	})
	wait(t, "end of writing", wrote)
	if standing < many {
		t.Errorf("an attempt was made when %d of %d tasks that stand were known", standing, many)
	}
	o.want(`"running"`, "0000000000000001")
}
