//go:build linux

package server

import (
	"testing"

	"heathshed/internal/testsupport/statediagram"
)

func TestStateDiagrams(t *testing.T) {
	clients := statediagram.New(int(clientClosed)+1, []clientConnState{clientOpen}, clientConnState.canBecome)
	statediagram.Check(t, "Client connection on the platform", clients)

	nodes := statediagram.New(int(nodeClosed)+1, []nodeConnState{nodeDialing}, nodeConnState.canBecome)
	statediagram.Check(t, "Node connection on the platform", nodes)
}
