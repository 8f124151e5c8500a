package dispatch

import (
	"slices"
	"strconv"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// migrationStep is one event during the migration of a task.
type migrationStep func(harness *coreHarness, attempt *Attempt)

func nodeAnswersCheck(harness *coreHarness, attempt *Attempt) { harness.answerCheck(attempt) }

func nodeReportsEnd(cause protocol.Cause) migrationStep {
	return func(harness *coreHarness, attempt *Attempt) {
		harness.reportEnd(attempt.Node, attempt.Message.ID, cause)
	}
}

func clientStopsTask(harness *coreHarness, attempt *Attempt) {
	harness.receiveFromClient(attempt.ClientConn(), newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseCancelled))
}

func connectionReplaced(harness *coreHarness, attempt *Attempt) {
	harness.core.RepeatChecks(harness.now, attempt.Node)
}

func nodeUnresponsive(harness *coreHarness, attempt *Attempt) {
	harness.core.NodeUnresponsive(harness.now, attempt.Node)
}

func shutdownBegins(harness *coreHarness, _ *Attempt) { harness.core.BeginShutdown(harness.now) }

func timePasses(duration placer.Seconds) migrationStep {
	return func(harness *coreHarness, _ *Attempt) { harness.core.Advance(harness.now + duration) }
}

// TestMigration checks, for different orders of the events during a migration, which messages the client and
// the node receive. The client must not receive a Migrate message before the node has stopped the task: the
// client requests the task again at once, and two nodes would run it. A client whose task ended otherwise is
// told so.
func TestMigration(t *testing.T) {
	const migrate, lost, ended, stopped = "migrate", "stop 41", "stop 16", "stop 31"
	for _, test := range []struct {
		name       string
		steps      []migrationStep
		toClient   []string
		stopOrders int // stopOrders is how often the node is ordered to stop the task.
		running    int // running is the number of tasks that the core counts as running afterwards.
	}{
		{"node cannot be reached", nil, nil, 0, 1},
		{"node answers the first check only", []migrationStep{nodeAnswersCheck}, nil, 1, 1},
		{"node answers both checks", []migrationStep{nodeAnswersCheck, nodeAnswersCheck}, []string{migrate}, 1, 1},
		{"node answers both checks and reports nothing", []migrationStep{nodeAnswersCheck, nodeAnswersCheck, timePasses(1)}, []string{migrate, stopped}, 1, 0},
		{"node reports the stop", []migrationStep{nodeAnswersCheck, nodeReportsEnd(protocol.CauseCancelled)}, []string{migrate}, 1, 0},
		{"node answers both checks and reports the stop", []migrationStep{nodeAnswersCheck, nodeAnswersCheck, nodeReportsEnd(protocol.CauseCancelled)}, []string{migrate}, 1, 0},
		{"task ends before the order", []migrationStep{nodeReportsEnd(protocol.CauseEnd), nodeAnswersCheck}, []string{ended}, 0, 0},
		{"task ends before the node reads the order", []migrationStep{nodeAnswersCheck, nodeReportsEnd(protocol.CauseEnd), nodeAnswersCheck}, []string{ended}, 1, 0},
		{"end arrives on another connection after the check", []migrationStep{nodeAnswersCheck, nodeAnswersCheck, nodeReportsEnd(protocol.CauseEnd)}, []string{migrate, ended}, 1, 0},
		{"connection is replaced before the first answer", []migrationStep{connectionReplaced, nodeAnswersCheck}, nil, 1, 1},
		{"connection is replaced before the second answer", []migrationStep{nodeAnswersCheck, connectionReplaced}, nil, 2, 1},
		{"node becomes unresponsive before the order", []migrationStep{nodeUnresponsive, timePasses(1)}, []string{lost}, 1, 1},
		{"node becomes unresponsive after the order", []migrationStep{nodeAnswersCheck, nodeUnresponsive, timePasses(7)}, []string{lost}, 1, 1},
		{"unresponsive node returns", []migrationStep{nodeAnswersCheck, nodeUnresponsive, connectionReplaced, nodeAnswersCheck}, []string{lost}, 2, 0},
		{"node accepts connections but never answers", []migrationStep{nodeAnswersCheck, connectionReplaced, timePasses(stopConfirmTimeout)}, []string{lost}, 2, 1},
		{"silent node is given up", []migrationStep{nodeAnswersCheck, timePasses(stopConfirmTimeout), timePasses(notificationRetention), connectionReplaced, nodeAnswersCheck, connectionReplaced}, []string{lost}, 2, 0},
		{"client stops its task before the order", []migrationStep{clientStopsTask, nodeAnswersCheck}, nil, 1, 0},
		{"client stops its task after the order", []migrationStep{nodeAnswersCheck, clientStopsTask, nodeAnswersCheck}, nil, 1, 0},
		{"shutdown begins before the order", []migrationStep{shutdownBegins, nodeAnswersCheck}, nil, 0, 1},
		{"shutdown begins after the order", []migrationStep{nodeAnswersCheck, shutdownBegins, nodeAnswersCheck}, []string{migrate}, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness, _, attempt := runningAttempt(t, "seats")
			harness.migrateTask(attempt)
			for _, step := range test.steps {
				step(harness, attempt)
			}

			var toClient []string
			stopOrders := 0
			for _, effect := range harness.core.Ready() {
				switch {
				case effect.Kind == StopTask:
					stopOrders++
				case effect.Kind == SendToClient && effect.Message.HasCause:
					toClient = append(toClient, effect.Message.Kind.String()+" "+strconv.Itoa(int(effect.Message.Cause)))
				case effect.Kind == SendToClient:
					toClient = append(toClient, effect.Message.Kind.String())
				}
			}
			if !slices.Equal(toClient, test.toClient) || stopOrders != test.stopOrders || harness.core.RunningTasks() != test.running {
				t.Errorf("got messages %q to the client, %d stop orders and %d running tasks; want %q, %d and %d",
					toClient, stopOrders, harness.core.RunningTasks(), test.toClient, test.stopOrders, test.running)
			}
			harness.requireInvariants()
		})
	}
}

// TestNoMigrationDuringShutdown checks that no migration begins after the start of a shutdown.
func TestNoMigrationDuringShutdown(t *testing.T) {
	harness, _, attempt := runningAttempt(t, "seats")
	harness.core.BeginShutdown(harness.now)

	harness.migrateTask(attempt)

	if effects := harness.core.Ready(); len(effects) != 0 || attempt.request.state != requestRunning {
		t.Errorf("got effects %+v and request state %v, want no effects and state running", effects, attempt.request.state)
	}
}

// TestStaleCheckAnswer checks that the answer to a check that was sent before the order to stop the task does
// not count as the node's confirmation of the order.
func TestStaleCheckAnswer(t *testing.T) {
	harness, _, attempt := runningAttempt(t, "seats")
	harness.migrateTask(attempt)
	firstCheck := attempt.awaitedCheck
	clientStopsTask(harness, attempt)

	harness.core.CheckAnswered(harness.now, attempt, firstCheck)

	if harness.core.RunningTasks() != 1 {
		t.Error("the core counts no running task after an answer to the check that was sent before the stop order, want 1")
	}
	harness.answerCheck(attempt)
	if harness.core.RunningTasks() != 0 {
		t.Errorf("the core counts %d running tasks after the answer to the check behind the stop order, want 0", harness.core.RunningTasks())
	}
}

// TestAdoptionWithdrawsStopOrder guards against a task that ends after its hand-over: a client that was told
// that its task is lost finds it running, and has it adopted under a new ID. The order to stop the task, which
// the node has not confirmed, must not be sent any more, and the placer must not count the task twice.
func TestAdoptionWithdrawsStopOrder(t *testing.T) {
	for name, silence := range map[string]placer.Seconds{"node was silent for a short time": 1, "order was given up": notificationRetention + 1} {
		t.Run(name, func(t *testing.T) {
			harness, _, attempt := runningAttempt(t, "seats")
			harness.core.NodeUnresponsive(harness.now, attempt.Node)
			harness.carryOutEffects()
			harness.advanceClock(silence)
			msg := launchMessage(99)
			msg.Set(protocol.Key, attempt.Message.Get(protocol.Key))
			msg.Set(protocol.Extras, "cores:1;memory:1"+adoptionExtras(1))
			msg.Set(protocol.TimeLeft, strconv.Itoa(longRunningMS))
			harness.receiveFromClient(attempt.ClientConn(), msg)
			harness.core.Ready()

			harness.core.RepeatChecks(harness.now, attempt.Node)

			if effects := harness.core.Ready(); asksNodeToStop(effects) || harness.core.RunningTasks() != 1 {
				t.Errorf("on the next connection, got effects %+v and %d running tasks; want no order to stop the adopted task, and 1 running task", effects, harness.core.RunningTasks())
			}
			harness.requireInvariants()
		})
	}
}
