package simadapter

import (
	"fmt"
	"strings"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/simbridge/simproto"
	"heathshed/placer"
)

// newDriverPair starts the adapter and the dispatch core with the same settings, the same seed and the same
// six nodes.
func newDriverPair(t *testing.T) *driverPair {
	t.Helper()
	settings, err := simconfig.Parse([]byte(testSettingsWithNames))
	if err != nil {
		t.Fatal(err)
	}
	corePlacer, err := placer.New(settings.Placer, 9)
	if err != nil {
		t.Fatal(err)
	}
	drivers := &driverPair{
		t:                t,
		adapter:          &adapter{instances: map[uint32]*instance{}},
		recorder:         &recordingPlacer{placer: corePlacer},
		now:              1000,
		platformAttempts: map[uint64]*dispatch.Attempt{},
		pendingStarts:    map[uint64]placer.Action{},
	}
	var rosterEntries []string
	var listEntries []simproto.NodeEntry
	for rack, uid := range nodeNamesInIDOrder(6) {
		rosterEntries = append(rosterEntries, fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"b","model":"large","pod_group":%d,
			"state":"in_service","boot_ms":0,"open":[14,30]}`, uid, rack))
		listEntries = append(listEntries, simproto.NodeEntry{Node: simproto.NodeAddress(dispatch.NodeIDOf(uid)), Zone: 1, NodeType: 1,
			FreeCores: 14, FreeMemory: 30, Rack: uint16(rack), State: wireNodeStateReady})
	}
	initialRoster := `{"no":3,"items":[{"no":3,"roster":{"rev":1,"all":true,"targets":[` + strings.Join(rosterEntries, ",") + `]}}]}`
	if drivers.core, err = dispatch.New(drivers.now, settings, drivers.recorder, []byte(initialRoster)); err != nil {
		t.Fatal(err)
	}
	drivers.adapter.writer.Start(1)
	drivers.sendToAdapter(simproto.Event{Code: simproto.EventInstanceStart, Seed: 9, Settings: []byte(testSettingsWithNames)})
	drivers.sendToAdapter(simproto.Event{Code: simproto.EventDefineList, Entries: listEntries})
	drivers.sendToAdapter(simproto.Event{Code: simproto.EventNodesListed, ListKind: wireListKindCached})
	drivers.compareAndReset("initial node list")
	drivers.core.ClientConnected(drivers.now, 1, "10.0.0.1")
	return drivers
}

// withField returns a copy of the message with the field set to the value.
func withField(message protocol.Message, field protocol.Field, value string) protocol.Message {
	message.Set(field, value)
	return message
}

// stopMessage returns a message that ends or withdraws a task for the given cause.
func stopMessage(cause protocol.Cause) protocol.Message {
	return protocol.Message{Kind: protocol.Stop, Cause: cause, HasCause: true}
}

// bindAttempt makes the node accept the attempt for a task and report the usage of the task. If finishes is
// true, the node then reports the end of the task.
func (drivers *driverPair) bindAttempt(id uint64, finishes bool) {
	drivers.t.Helper()
	drivers.sendFromNode(id, protocol.Message{Kind: protocol.Running, Body: `"y"`})
	drivers.sendToAdapter(drivers.completeAttemptEvent(id, simproto.Event{Code: simproto.EventAttemptBound}))
	drivers.compareAndReset("acceptance of the attempt by the node")
	update := withField(protocol.Message{Kind: protocol.Update}, protocol.Note, "cpu")
	drivers.sendFromNode(id, withField(update, protocol.Value, "0.75"))
	usage := drivers.completeAttemptEvent(id, simproto.Event{Code: simproto.EventUsageReported, UsageKind: 2, Value: 0.75})
	drivers.sendToAdapter(usage)
	if finishes {
		drivers.sendFromNode(id, withField(stopMessage(16), protocol.LoadReport, "x1:3;utilization:0.5"))
		drivers.sendToAdapter(drivers.completeAttemptEvent(id, simproto.Event{Final: 1, LoadValues: []float32{3, 0.5}}))
	}
}

// Results from the simulator apply to the platform, the system outside the simulator, only if the placer
// receives the same events in both. The test applies the same requests, answers, failures and timeouts to
// both drivers of a placer, and fails at the first step whose events or actions differ.
func TestSimulatorAndPlatformGiveThePlacerTheSameEvents(t *testing.T) {
	drivers := newDriverPair(t)
	// Each of these functions gives an attempt one outcome on the platform and returns the simulator's event
	// for that outcome.
	outcomes := map[int]func(id uint64) simproto.Event{
		// The node rejects the attempt because it has too little free memory.
		3: func(id uint64) simproto.Event {
			drivers.sendFromNode(id, withField(withField(stopMessage(34), protocol.Note, "mem_full"), protocol.LoadReport, "x1:0.25;utilization:1"))
			return simproto.Event{Status: wireStatusRejected, Reason: 2, LoadValues: []float32{0.25, 1}}
		},
		// The node reports that the attempt failed.
		4: func(id uint64) simproto.Event {
			drivers.sendFromNode(id, stopMessage(47))
			return simproto.Event{Status: wireStatusErrored}
		},
		// The connection to the node is lost during the attempt.
		5: func(id uint64) simproto.Event {
			drivers.core.ConnectionLost(drivers.now, drivers.platformAttempts[id])
			return simproto.Event{Status: wireStatusLost}
		},
		// The client withdraws the task during the attempt.
		6: func(id uint64) simproto.Event {
			message := stopMessage(16)
			message.ID, message.UID = protocol.ID(id), fmt.Sprintf("%016x", id)
			drivers.sendFromClient(message)
			drivers.sendToAdapter(simproto.Event{Code: simproto.EventTaskWithdrawn, TaskID: id})
			return simproto.Event{Status: wireStatusCancelled, Final: 1}
		},
	}
	for i := range 60 {
		id := uint64(i + 1)
		drivers.requestTask(id)
		_, wasStarted := drivers.pendingStarts[id]
		drivers.advance(drivers.now + 0.07)
		if attempt := drivers.platformAttempts[id]; !wasStarted || attempt == nil || !attempt.Unanswered() {
			continue
		}
		switch scenario := i % 8; scenario {
		case 0, 1, 2:
			drivers.bindAttempt(id, scenario > 0)
		case 7:
			drivers.advance(drivers.now + 0.5) // The attempt receives no answer and times out.
			continue
		default:
			drivers.sendToAdapter(drivers.completeAttemptEvent(id, outcomes[scenario](id)))
		}
		delete(drivers.pendingStarts, id)
		drivers.compareAndReset(fmt.Sprintf("outcome of request %d", i))
	}
	counts := drivers.core.Counts
	if counts.TimedOut == 0 || counts.CapacityRejections == 0 || counts.Bound < 5 {
		t.Fatalf("got counts %+v of attempt outcomes, want a timeout, a capacity rejection and at least 5 bound tasks", counts)
	}
}

// nodeNamesInIDOrder returns n node names in ascending order of their node IDs, which is the order of a
// cached node list.
func nodeNamesInIDOrder(n int) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		uid := fmt.Sprintf("s-%08x", i)
		if len(names) == 0 || dispatch.NodeIDOf(uid) > dispatch.NodeIDOf(names[len(names)-1]) {
			names = append(names, uid)
		}
	}
	return names
}
