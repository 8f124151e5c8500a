package dispatch

import (
	"fmt"
	"testing"

	"heathshed/internal/platform/protocol"
)

// TestAdoptionQuota guards against strangers that request the adoption of tasks that do not run, until no slot
// is left: sound clients, each with its own connection, must still be able to hand over their tasks, and new
// requests must still be accepted.
func TestAdoptionQuota(t *testing.T) {
	const soundClients, tasksPerClient = 50, 40
	for _, strangers := range []int{1, 10, 100} {
		for _, sameAddress := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d strangers, same address %v", strangers, sameAddress), func(t *testing.T) {
				harness := newHarness(t, &fixedNodePlacer{node: nodeID(1)})
				addressOf := func(client int) string {
					if sameAddress {
						return "10.0.0.1"
					}
					return fmt.Sprintf("10.0.1.%d", client)
				}
				connect := func(client int) ConnID {
					harness.lastConn++
					harness.core.ClientConnected(harness.now, harness.lastConn, addressOf(client))
					return harness.lastConn
				}
				adopt := func(conn ConnID) {
					harness.lastID++
					msg := launchMessage(protocol.ID(harness.lastID))
					msg.Set(protocol.Extras, "cores:1;memory:1"+adoptionExtras(1))
					harness.receiveFromClient(conn, msg)
					harness.core.Ready()
				}
				for client := range strangers {
					conn := connect(client)
					for range maxTasks/strangers + 100 {
						adopt(conn)
					}
				}
				adoptedByStrangers := harness.core.RunningTasks()
				for client := range soundClients {
					conn := connect(strangers + client)
					for range tasksPerClient {
						adopt(conn)
					}
				}
				adopted := 0
				for _, user := range harness.core.attempts.quota.byConn {
					if user.connID > ConnID(strangers) {
						adopted += len(user.attempts)
					}
				}
				t.Logf("strangers have %d adopted tasks, sound clients %d of %d", adoptedByStrangers, adopted, soundClients*tasksPerClient)
				if want := soundClients * tasksPerClient; adopted != want {
					t.Errorf("sound clients have %d adopted tasks, want %d", adopted, want)
				}
				harness.receiveFromClient(connect(0), launchMessage(1e6))
				if harness.core.OpenRequests() != 1 {
					t.Errorf("the core has %d open requests, want 1", harness.core.OpenRequests())
				}
				harness.requireInvariants()
			})
		}
	}
}
