package dispatch

import (
	"errors"
	"math"
	"strings"
	"testing"

	"heathshed/internal/platform/protocol"
	"heathshed/placer"
)

// TestInvalidFigures guards against a node whose figures spoil the averages over all nodes: a figure that is
// not a number or impossible for the node must not reach the placer. The rest of the message is handled. The
// node has 8 cores, of which tasks may request 16, and 16 units of memory.
func TestInvalidFigures(t *testing.T) {
	unset := math.NaN()
	for _, test := range []struct {
		load                        string
		freeCores, freeMemory       float64 // NaN means that the figure is left out.
		wantReport, wantInvalidPart bool
	}{
		{"x0:3;x1:4", 3, 4, true, false},
		{"x0:0;x1:-20", 0, -20, true, false},
		{"x0:8.4;x1:16.7", 8.4, 16.7, true, false}, // Reports are noisy.
		{"x0:NaN;x1:4", unset, 4, true, true},
		{"x0:inf;x1:4", unset, 4, true, true},
		{"x0:-Inf;x1:4", unset, 4, true, true},
		{"x0:3;x1:1e308", 3, unset, true, true},
		{"x0:3;x1:1e999", 3, unset, true, true},
		{"x0:17;x1:4", unset, 4, true, true},
		{"x0:-33;x1:4", unset, 4, true, true},
		{"x0:;x1:four", unset, unset, false, true},
		{"x7:NaN", unset, unset, false, false}, // The settings name no such field.
		{"", unset, unset, false, false},
	} {
		t.Run(test.load, func(t *testing.T) {
			harness, policy, attempt := runningAttempt(t, "seats")
			msg := newMessage(protocol.Stop, attempt.Message.ID, protocol.CauseEnd)
			msg.Set(protocol.LoadReport, test.load)

			err := harness.core.ReceiveFromNode(harness.now, attempt.Node, &msg)

			var invalid *InvalidMessageError
			if isInvalid := errors.As(err, &invalid) && invalid.Reason == InvalidFigure; isInvalid != test.wantInvalidPart {
				t.Errorf("got error %v, want an InvalidMessageError for a figure: %v", err, test.wantInvalidPart)
			}
			report := policy.lastEvent().Report
			if (report != nil) != test.wantReport || harness.core.RunningTasks() != 0 {
				t.Fatalf("got report %+v and %d running tasks; want a report: %v, and no running task", report, harness.core.RunningTasks(), test.wantReport)
			}
			if report != nil && (!sameFigure(report.FreeCores, test.freeCores) || !sameFigure(report.FreeMemory, test.freeMemory)) {
				t.Errorf("got free cores %v and free memory %v, want %v and %v", report.FreeCores, report.FreeMemory, test.freeCores, test.freeMemory)
			}
		})
	}
}

func sameFigure(got, want float64) bool { return got == want || math.IsNaN(got) && math.IsNaN(want) }

// TestInvalidUsage checks that the usage of a task reaches the placer only if it is a number in range.
func TestInvalidUsage(t *testing.T) {
	for value, want := range map[string]bool{"1.5": true, "0": true, "NaN": false, "-1e999": false, "1e999": false, "-3": false, "much": false, "": false} {
		t.Run(value, func(t *testing.T) {
			harness, policy, attempt := runningAttempt(t, "seats")
			msg := newMessage(protocol.Update, attempt.Message.ID, noCause)
			msg.Set(protocol.Note, "cpu")
			msg.Set(protocol.Value, value)

			err := harness.core.ReceiveFromNode(harness.now, attempt.Node, &msg)

			if reported := policy.receivedEvent(placer.UsageReported); reported != want || (err == nil) != want {
				t.Errorf("the placer received the usage: %v, got error %v; want the usage to be received, without an error: %v", reported, err, want)
			}
		})
	}
}

// TestInvalidFiguresOfNodeList guards against a node list whose figures spoil what the placer knows of a node:
// a start time in the far future would end all tasks of the node as those of an earlier incarnation.
func TestInvalidFiguresOfNodeList(t *testing.T) {
	for name, change := range map[string][2]string{
		"free capacity":                    {`"open":[16,24]`, `"open":[1e308,24]`},
		"negative free capacity":           {`"open":[16,24]`, `"open":[16,-1e300]`},
		"start time":                       {`"boot_ms":0`, `"boot_ms":1e300`},
		"negative start time":              {`"boot_ms":0`, `"boot_ms":-5`},
		"free capacity and the start time": {`"boot_ms":0,"open":[16,24]`, `"boot_ms":1e30,"open":[1e10,24]`},
	} {
		t.Run(name, func(t *testing.T) {
			harness, _, _ := runningAttempt(t, "seats")
			event := discoveryEventJSON(2, false, strings.Replace(nodeJSON(1, "in_service", 0), change[0], change[1], 1))

			ok, err := harness.core.ReceiveDiscoveryEvent(harness.now, []byte(event))

			var invalid *InvalidMessageError
			if !ok || !errors.As(err, &invalid) || invalid.Reason != InvalidFigure {
				t.Errorf("got applied %v and error %v, want the event to be applied and an InvalidMessageError for a figure", ok, err)
			}
			node := harness.core.Node(nodeID(1))
			if node.StartedAt != 0 || node.placerNode.FreeCores != 16 || node.placerNode.FreeMemory != 24 || harness.core.RunningTasks() != 1 {
				t.Errorf("got node %+v and %d running tasks; want start time 0, free capacity 16 and 24, and 1 running task", node, harness.core.RunningTasks())
			}
		})
	}
}
