//go:build linux

package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	listenBacklog         = 4096      // connections that the system keeps until they are accepted
	maxAcceptBatch        = 64        // connections accepted for one readiness event
	socketSendBufferBytes = 128 << 10 // bytes, of the system's buffer for an accepted connection; the system takes twice as much
)

// Listener accepts connections.
type Listener struct {
	loop       *Loop
	fd         int
	addr       netip.AddrPort
	newHandler func(*Conn) Handler
}

// Listen accepts TCP connections at a literal address such as 127.0.0.1:0. Each connection gets the handler that the
// function returns for it.
func (l *Loop) Listen(addr string, handler func(*Conn) Handler) (*Listener, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	fd, err := newSocket(address)
	if err != nil {
		return nil, fmt.Errorf("listen %s: socket: %w", addr, err)
	}
	if err := bindAndListen(fd, address); err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	listener := &Listener{loop: l, fd: fd, addr: address, newHandler: handler}
	if bound, err := unix.Getsockname(fd); err == nil {
		listener.addr = addrPort(bound)
	}
	event := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(fd)}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("listen %s: epoll add: %w", addr, err)
	}
	l.listeners[fd] = listener
	return listener, nil
}

func bindAndListen(fd int, address netip.AddrPort) error {
	setReuseAddr(fd)
	if err := unix.Bind(fd, socketAddress(address)); err != nil {
		return err
	}
	return unix.Listen(fd, listenBacklog)
}

// Addr is the address listened at, with the port that the system chose.
func (ln *Listener) Addr() string { return ln.addr.String() }

// Closed reports whether the listener no longer accepts.
func (ln *Listener) Closed() bool { return ln.loop.listeners[ln.fd] != ln }

// Close stops accepting. Connections that the system has not yet handed over are reset: see AcceptPending.
func (ln *Listener) Close() {
	if ln.Closed() {
		return
	}
	delete(ln.loop.listeners, ln.fd)
	closeFD(ln.fd)
}

// AcceptPending accepts the connections that have come by now. Called before Close, it keeps them, and what was sent on them, from
// being reset.
func (ln *Listener) AcceptPending() {
	for n := 0; n < listenBacklog; n += maxAcceptBatch {
		if ln.Closed() || !ln.accept() {
			return
		}
	}
}

// accept accepts one batch of connections and reports whether there may be more.
func (ln *Listener) accept() bool {
	l := ln.loop
	// The batch is small where few connections are allowed: a handler that closes idle connections to make room for new ones
	// must first read from those that came before, or connections that send nothing take all places in one iteration.
	for range min(maxAcceptBatch, max(l.maxConns/4, 1)) {
		fd, peer, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			ln.addAcceptedConn(fd, peer)
		case unix.EINTR, unix.ECONNABORTED:
		case unix.EMFILE, unix.ENFILE:
			if !l.rejectWithoutDescriptor(ln.fd) {
				return false
			}
		default:
			// EAGAIN: none is waiting. After any other error the listener stays readable and accept is tried again.
			return false
		}
	}
	return true
}

// open adds an accepted connection to the loop, or closes it if there are too many.
func (ln *Listener) addAcceptedConn(fd int, peer unix.Sockaddr) {
	l := ln.loop
	if l.acceptedConns >= l.maxConns {
		closeFD(fd)
		return
	}
	setNoDelay(fd)
	setSendBuffer(fd, socketSendBufferBytes)
	c, err := l.addConn(fd, unix.EPOLLIN|unix.EPOLLRDHUP, stateOpen)
	if err != nil {
		return // closed, as a connection over the limit is: nobody here knows of it yet
	}
	c.countedAsAccepted = true
	c.peer = addrPort(peer)
	l.acceptedConns++
	c.handler = ln.newHandler(c)
	c.handler.Opened(c)
}

// rejectWithoutDescriptor closes one waiting connection when the process has no descriptor left to accept it with. The
// connection would keep the listener readable and the loop spinning; the reserve descriptor is given up for a moment to
// take it. It reports false if there is no reserve.
func (l *Loop) rejectWithoutDescriptor(listenerFD int) bool {
	if l.reserveFD < 0 {
		return false
	}
	closeFD(l.reserveFD)
	if fd, _, err := unix.Accept4(listenerFD, unix.SOCK_CLOEXEC); err == nil {
		closeFD(fd)
	}
	l.reserveFD = openReserveFD()
	return true
}

// openReserveFD returns the descriptor for rejectWithoutDescriptor, or -1 if none can be opened.
func openReserveFD() int {
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		return -1
	}
	return fd
}
