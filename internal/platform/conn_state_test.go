//go:build linux

package platform

import "testing"

// expectPanic fails the test unless f panics, or does not panic, as wanted.
func expectPanic(t *testing.T, want bool, f func()) {
	t.Helper()
	defer func() {
		if got := recover() != nil; got != want {
			t.Errorf("panicked %v, want %v", got, want)
		}
	}()
	f()
}

func TestClientConnTransitions(t *testing.T) {
	states := []clientConnState{clientOpen, clientAdopting, clientClosing, clientClosed}
	legal := map[[2]clientConnState]bool{
		{clientOpen, clientAdopting}:    true,
		{clientOpen, clientClosing}:     true,
		{clientOpen, clientClosed}:      true,
		{clientAdopting, clientOpen}:    true,
		{clientAdopting, clientClosing}: true,
		{clientAdopting, clientClosed}:  true,
		{clientClosing, clientClosed}:   true,
	}
	for _, from := range states {
		for _, to := range states {
			t.Run(from.String()+" to "+to.String(), func(t *testing.T) {
				conn := &clientConn{state: from}
				expectPanic(t, !legal[[2]clientConnState{from, to}], func() { conn.setState(to) })
			})
		}
	}
}

func TestNodeConnTransitions(t *testing.T) {
	states := []nodeConnState{nodeDialing, nodeEstablished, nodeClosed}
	legal := map[[2]nodeConnState]bool{
		{nodeDialing, nodeEstablished}: true,
		{nodeDialing, nodeClosed}:      true,
		{nodeEstablished, nodeClosed}:  true,
	}
	for _, from := range states {
		for _, to := range states {
			t.Run(from.String()+" to "+to.String(), func(t *testing.T) {
				conn := &nodeConn{state: from}
				expectPanic(t, !legal[[2]nodeConnState{from, to}], func() { conn.setState(to) })
			})
		}
	}
}
