//go:build linux

package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

func newSocket(address netip.AddrPort) (fd int, err error) {
	return unix.Socket(addressFamily(address), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// closeFD closes a descriptor. Linux releases it whatever close returns, and nothing here waits for data to reach a disk,
// so there is nothing to do about an error.
func closeFD(fd int) { _ = unix.Close(fd) }

// setNoDelay turns Nagle's algorithm off. Without it the connection is slower, but works.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

// setReuseAddr lets a restarted process listen at once where its predecessor did. If it fails, Bind says so.
func setReuseAddr(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) }

// setSendBuffer limits the memory that the system takes for a peer that does not read. If it fails the system's own limit
// holds.
func setSendBuffer(fd, bytes int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes) }

// socketError is the error that a socket has met since it was last asked, or nil.
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
