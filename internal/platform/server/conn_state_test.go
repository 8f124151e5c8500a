//go:build linux

package server

import (
	"fmt"
	"testing"
)

// checkTransitions attempts every transition between two states with setState, which returns the resulting
// state. A legal transition must change the state. An illegal one must be counted and leave the state
// unchanged.
func checkTransitions[State interface {
	comparable
	fmt.Stringer
}](t *testing.T, states []State, legal map[[2]State]bool, setState func(server *Server, from, to State) State) {
	t.Helper()
	for _, from := range states {
		for _, to := range states {
			t.Run(from.String()+" to "+to.String(), func(t *testing.T) {
				server := &Server{}
				after := setState(server, from, to)
				want, wantCounted := from, uint64(1)
				if legal[[2]State{from, to}] {
					want, wantCounted = to, 0
				}
				if after != want {
					t.Errorf("the connection is in state %s, want %s", after, want)
				}
				if counted := server.stats.IllegalTransitions; counted != wantCounted {
					t.Errorf("%d illegal transitions counted, want %d", counted, wantCounted)
				}
			})
		}
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
	checkTransitions(t, states, legal, func(server *Server, from, to clientConnState) clientConnState {
		conn := &clientConn{server: server, state: from}
		conn.setState(to)
		return conn.state
	})
}

func TestNodeConnTransitions(t *testing.T) {
	states := []nodeConnState{nodeDialing, nodeEstablished, nodeClosed}
	legal := map[[2]nodeConnState]bool{
		{nodeDialing, nodeEstablished}: true,
		{nodeDialing, nodeClosed}:      true,
		{nodeEstablished, nodeClosed}:  true,
	}
	checkTransitions(t, states, legal, func(server *Server, from, to nodeConnState) nodeConnState {
		conn := &nodeConn{link: &nodeLink{server: server}, state: from}
		conn.setState(to)
		return conn.state
	})
}
