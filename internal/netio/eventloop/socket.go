//go:build linux

package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

func newSocket(address netip.AddrPort) (fd int, err error) {
	return unix.Socket(addressFamily(address), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// closeFD closes a descriptor. It ignores the error because Linux releases the descriptor in any case, and
// none of the descriptors of this package is a file whose data could be lost.
func closeFD(fd int) { _ = unix.Close(fd) }

// setNoDelay disables Nagle's algorithm. It ignores the error because the connection works without the
// option, only with higher latency.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

// setReuseAddr lets a restarted process listen at the address of its predecessor at once. It ignores the
// error because Bind fails if the address is still in use.
func setReuseAddr(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) }

// setSendBuffer limits the kernel memory for sent data that a slow peer has not read yet. If setting the
// limit fails, the default limit of the kernel applies.
func setSendBuffer(fd, bytes int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes) }

// socketError returns and clears the pending error of a socket, or returns nil if there is none.
func socketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

func addressFamily(address netip.AddrPort) int {
	if address.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func socketAddress(address netip.AddrPort) unix.Sockaddr {
	if address.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

func addrPort(address unix.Sockaddr) netip.AddrPort {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// socketInputBytes returns the number of bytes that a socket has received and that were not read yet. It returns 0
// if the socket does not tell.
func socketInputBytes(fd int) int {
	count, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return count
}

// socketPeerHasClosed reports whether the peer of a socket has shut down its write side, or the connection has
// failed.
func socketPeerHasClosed(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(poll, 0)
	return err == nil && ready > 0
}
