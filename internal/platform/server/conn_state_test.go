//go:build linux

package server

import (
	"fmt"
	"testing"
)

// checkAllTransitions attempts every transition between two states of a client or node connection. It
// calls the parameter setState for each transition, which returns the resulting state. A legal transition must
// change the state. An illegal transition must be counted and must leave the state unchanged.
func checkAllTransitions[State interface {
	comparable
	fmt.Stringer
}](t *testing.T, states []State, legalTransitions map[[2]State]bool, setState func(server *Server, from, to State) State) {
	t.Helper()
	for _, from := range states {
		for _, to := range states {
			t.Run(from.String()+" to "+to.String(), func(t *testing.T) {
				server := &Server{}
				state := setState(server, from, to)
				wantState, wantIllegalCount := from, uint64(1)
				if legalTransitions[[2]State{from, to}] {
					wantState, wantIllegalCount = to, 0
				}
				if state != wantState {
					t.Errorf("after the attempted transition, the client or node connection is in state %s, want %s", state, wantState)
				}
				if illegalCount := server.stats.IllegalTransitions; illegalCount != wantIllegalCount {
					t.Errorf("after the attempted transition, the server has counted %d illegal transitions, want %d", illegalCount, wantIllegalCount)
				}
			})
		}
	}
}

// TestClientConnTransitions checks which transitions between the states of a client connection are legal.
func TestClientConnTransitions(t *testing.T) {
	states := []clientConnState{clientOpen, clientAdopting, clientClosing, clientClosed}
	legalTransitions := map[[2]clientConnState]bool{
		{clientOpen, clientAdopting}:    true,
		{clientOpen, clientClosing}:     true,
		{clientOpen, clientClosed}:      true,
		{clientAdopting, clientOpen}:    true,
		{clientAdopting, clientClosing}: true,
		{clientAdopting, clientClosed}:  true,
		{clientClosing, clientClosed}:   true,
	}
	checkAllTransitions(t, states, legalTransitions, func(server *Server, from, to clientConnState) clientConnState {
		conn := &clientConn{server: server, state: from}
		conn.setState(to)
		return conn.state
	})
}

// TestNodeConnTransitions checks which transitions between the states of a node connection are legal.
func TestNodeConnTransitions(t *testing.T) {
	states := []nodeConnState{nodeDialing, nodeEstablished, nodeClosed}
	legalTransitions := map[[2]nodeConnState]bool{
		{nodeDialing, nodeEstablished}: true,
		{nodeDialing, nodeClosed}:      true,
		{nodeEstablished, nodeClosed}:  true,
	}
	checkAllTransitions(t, states, legalTransitions, func(server *Server, from, to nodeConnState) nodeConnState {
		conn := &nodeConn{link: &nodeLink{server: server}, state: from}
		conn.setState(to)
		return conn.state
	})
}
