//go:build linux

package server

import (
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

// TestStateDiagrams checks that the state diagrams in the documentation show exactly the legal transitions of
// client and node connections.
func TestStateDiagrams(t *testing.T) {
	clients := statediagram.New(int(clientClosed)+1, []clientConnState{clientOpen}, clientConnState.canBecome)
	statediagram.Check(t, "Client connection on the platform", clients)

	nodes := statediagram.New(int(nodeClosed)+1, []nodeConnState{nodeDialing}, nodeConnState.canBecome)
	statediagram.Check(t, "Node connection on the platform", nodes)
}
