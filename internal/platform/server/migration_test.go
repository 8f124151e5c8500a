//go:build linux

package server

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heathshed/internal/control/eventqueue"
	"heathshed/placer"
)

// migratingPlacer is a placer that also migrates each task for which a node reports usage.
type migratingPlacer struct{ eventqueue.Placer }

func (policy migratingPlacer) Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action {
	actions = policy.Placer.Handle(now, event, actions)
	if event.Kind == placer.UsageReported {
		actions = append(actions, placer.Action{Kind: placer.Migrate, Task: event.TaskID})
	}
	return actions
}

// migratedNode is a node that runs task 1, which the server migrates as soon as the task runs. Its fields say
// how the node handles what the server sends after the launch message.
type migratedNode struct {
	reportsStop bool          // The node answers a stop message with a stop message of its own.
	endsItself  bool          // The task ends by itself before the node has read the stop message.
	hangsFor    time.Duration // The node reads nothing for this time after it has accepted the task.
	closesConn  bool          // The node closes its connection before it has read another message.
	taskEnded   atomic.Bool
}

func (node *migratedNode) handle(conn net.Conn, line string) error {
	switch {
	case isLaunch(line):
		return node.acceptTask(conn, line)
	case strings.Contains(line, `"check"`):
		return respond(conn, `{"kind":"checked","uid":%q,"reason":1}`+"\n", taskUID(line))
	case strings.Contains(line, `"stop"`) && !node.taskEnded.Swap(true) && node.reportsStop:
		return respond(conn, "%s", stopMessage(1, 31))
	}
	return nil
}

func (node *migratedNode) acceptTask(conn net.Conn, line string) error {
	if err := acceptTask(conn, line); err != nil {
		return err
	}
	if err := respond(conn, `{"kind":"update","uid":%q,"meta":{"note":"up","value":1}}`+"\n", taskUID(line)); err != nil {
		return err
	}
	time.Sleep(node.hangsFor)
	if node.endsItself {
		node.taskEnded.Store(true)
		return respond(conn, "%s", stopMessage(1, 16))
	}
	if node.closesConn {
		return net.ErrClosed
	}
	return nil
}

// startMigration starts a server that migrates task 1 off the node as soon as the task runs on it. It returns
// the fake node, the server and the client of the task.
func startMigration(t *testing.T, node *migratedNode) (*testNode, *testServer, *testClient) {
	t.Helper()
	listeningNode := startNode(t, node.handle)
	migrate := func(policy eventqueue.Placer) eventqueue.Placer { return migratingPlacer{policy} }
	server := startConfiguredServer(t, 256, testSettings, migrate, nodeEntryJSON(1, listeningNode.addr, "in_service"))
	client := server.connect()
	client.runTask(1, "seats")
	return listeningNode, server, client
}

// TestMigrateMessageFollowsEndOfTask guards against a task that runs on two nodes: a client that is asked to
// request its task again must find the task ended, since the new request may be placed at once.
func TestMigrateMessageFollowsEndOfTask(t *testing.T) {
	for name, node := range map[string]*migratedNode{
		"node reports that it stopped the task":         {reportsStop: true, hangsFor: 300 * time.Millisecond},
		"node answers only checks":                      {hangsFor: 300 * time.Millisecond},
		"connection ends before the stop order is read": {hangsFor: 100 * time.Millisecond, closesConn: true},
		"node hangs until its connection was closed":    {hangsFor: 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, _, client := startMigration(t, node)
			client.expectNextMessage(`"migrate"`)
			if !node.taskEnded.Load() {
				t.Error("the client was asked to request its task again while the task still ran on its node, want it to be asked after the task has ended")
			}
		})
	}
}

// TestTaskThatEndsBeforeItsMigration checks that a client is told how its task ended, and is not asked to
// request the task again, if the task ends by itself before its node has read the order to stop it.
func TestTaskThatEndsBeforeItsMigration(t *testing.T) {
	_, server, client := startMigration(t, &migratedNode{endsItself: true, hangsFor: 300 * time.Millisecond})
	client.expectNextMessage(`"stop"`, `"reason":16`)
	server.waitUntil("the server to count no running task", func() bool { return server.core.RunningTasks() == 0 })
	client.send(healthCheckMessage)
	client.expectNextMessage(`"checked"`) // The server has sent the client no other message about the task.
}

// TestNoMigrationOffUnreachableNode guards against a task that runs on two nodes: a node that is cut off
// cannot stop its task, so the client must not be asked to request the task again. It is told that the task is
// lost when the node counts as unresponsive.
func TestNoMigrationOffUnreachableNode(t *testing.T) {
	node := &migratedNode{hangsFor: testTimeout}
	listeningNode, server, client := startMigration(t, node)
	server.runOnLoop(func() {
		for _, link := range server.nodes.byID {
			link.reachability.UnresponsiveAfter = 2 * time.Second
		}
	})
	closeNow(t, listeningNode.listener)
	listenUnresponsiveUntilCleanup(t, listeningNode.port())
	client.expectNextMessage(`"stop"`, `"reason":41`)
}
