//go:build linux

package server

import "testing"

// checkTransition fails the test unless a transition was made if it is legal, and otherwise counted and not made.
func checkTransition(t *testing.T, server *Server, legal, made bool) {
	t.Helper()
	if made != legal {
		t.Errorf("transition made: %t, want %t", made, legal)
	}
	want := uint64(1)
	if legal {
		want = 0
	}
	if counted := server.stats.IllegalTransitions; counted != want {
		t.Errorf("%d illegal transitions counted, want %d", counted, want)
	}
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
				server := &Server{}
				conn := &clientConn{server: server, state: from}
				conn.setState(to)
				checkTransition(t, server, legal[[2]clientConnState{from, to}], conn.state == to && from != to)
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
				server := &Server{}
				conn := &nodeConn{link: &nodeLink{server: server}, state: from}
				conn.setState(to)
				checkTransition(t, server, legal[[2]nodeConnState{from, to}], conn.state == to && from != to)
			})
		}
	}
}
