//go:build linux

package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	// listenBacklog limits the number of connections that the kernel queues until they are accepted.
	listenBacklog = 4096
	// maxAcceptBatch limits the number of connections that are accepted for one readiness event.
	maxAcceptBatch = 64
	// socketSendBufferBytes is the value of the socket option SO_SNDBUF for accepted connections. The
	// kernel doubles this value.
	socketSendBufferBytes = 128 << 10
)

// Listener accepts TCP connections at one address.
type Listener struct {
	loop       *Loop
	fd         int
	addr       netip.AddrPort
	newHandler func(*Conn) Handler
}

// Listen accepts TCP connections at addr, which must be a literal IP address with a port, such as
// 127.0.0.1:0. It calls newHandler for each connection to get the handler of that connection.
func (l *Loop) Listen(addr string, newHandler func(*Conn) Handler) (*Listener, error) {
	address, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	fd, err := newSocket(address)
	if err != nil {
		return nil, fmt.Errorf("listen %s: create socket: %w", addr, err)
	}
	if err := bindAndListen(fd, address); err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	listener := &Listener{loop: l, fd: fd, addr: address, newHandler: newHandler}
	if bound, err := unix.Getsockname(fd); err == nil {
		listener.addr = addrPort(bound)
	}
	event := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(fd)}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("listen %s: register socket with epoll: %w", addr, err)
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

// Addr returns the address of the listener. If the listener was opened with port 0, the address contains
// the port that the kernel chose.
func (ln *Listener) Addr() string { return ln.addr.String() }

// Closed reports whether the listener is closed.
func (ln *Listener) Closed() bool { return ln.loop.listeners[ln.fd] != ln }

// Close stops accepting connections. The kernel then resets the connections that have not been accepted
// yet. A call of AcceptPending before Close prevents this.
func (ln *Listener) Close() {
	if ln.Closed() {
		return
	}
	delete(ln.loop.listeners, ln.fd)
	closeFD(ln.fd)
}

// AcceptPending accepts the connections that are waiting in the kernel. If it is called before Close,
// the kernel does not reset these connections and does not discard the data that clients sent on them.
func (ln *Listener) AcceptPending() {
	for n := 0; n < listenBacklog; n += maxAcceptBatch {
		if ln.Closed() || !ln.accept() {
			return
		}
	}
}

// accept accepts one batch of connections and reports whether more may be waiting.
func (ln *Listener) accept() bool {
	l := ln.loop
	// A batch holds at most a quarter of the connection limit. When the limit is near, handlers may close
	// idle connections to make room for new ones. They can tell which connections are idle only after the
	// loop has read from them, which happens between two batches. Without this bound, connections that send
	// nothing could use up the whole limit within one iteration.
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
			// EAGAIN means that no connection is waiting. After any other error the listener stays
			// readable, and the next iteration tries again.
			return false
		}
	}
	return true
}

// addAcceptedConn adds an accepted connection to the loop, or closes it if the connection limit is reached.
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
		return // addConn has closed the socket, and there is no handler yet to notify.
	}
	c.countedAsAccepted = true
	c.peer = addrPort(peer)
	l.acceptedConns++
	c.handler = ln.newHandler(c)
	c.handler.Opened(c)
}

// rejectWithoutDescriptor accepts and closes one waiting connection when the process has no descriptor
// left. Without this, the waiting connection would keep the listener readable, and the loop would iterate
// without pause. The method closes the reserve descriptor for a moment, which frees the descriptor that
// accepting needs. It reports false if there is no reserve descriptor.
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

// openReserveFD opens the reserve descriptor for rejectWithoutDescriptor, or returns -1 if that fails.
func openReserveFD() int {
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		return -1
	}
	return fd
}
