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

// startDrivers starts the adapter and the core with the same settings, seed and six nodes.
func startDrivers(t *testing.T) *twoDrivers {
	t.Helper()
	settings, err := simconfig.Parse([]byte(testSettingsWithNames))
	if err != nil {
		t.Fatal(err)
	}
	policy, err := placer.New(settings.Placer, 9)
	if err != nil {
		t.Fatal(err)
	}
	drivers := &twoDrivers{
		t:           t,
		adapter:     &adapter{instances: map[uint32]*instance{}},
		recorder:    &recorder{placer: policy},
		now:         1000,
		attempts:    map[uint64]*dispatch.Attempt{},
		outstanding: map[uint64]placer.Action{},
	}
	var nodes []string
	var entries []simproto.NodeEntry
	for rack, uid := range nodeNamesByID(6) {
		nodes = append(nodes, fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"b","model":"large","pod_group":%d,
			"state":"in_service","boot_ms":0,"open":[14,30]}`, uid, rack))
		entries = append(entries, simproto.NodeEntry{Node: simproto.NodeAddress(dispatch.NodeIDOf(uid)), Zone: 1, NodeType: 1,
			FreeCores: 14, FreeMemory: 30, Rack: uint16(rack), State: wireNodeReady})
	}
	known := `{"no":3,"items":[{"no":3,"roster":{"rev":1,"all":true,"targets":[` + strings.Join(nodes, ",") + `]}}]}`
	if drivers.core, err = dispatch.New(drivers.now, settings, drivers.recorder, []byte(known)); err != nil {
		t.Fatal(err)
	}
	drivers.adapter.writer.Start(1)
	drivers.sendToAdapter(simproto.Event{Code: simproto.EventInstanceStart, Seed: 9, Settings: []byte(testSettingsWithNames)})
	drivers.sendToAdapter(simproto.Event{Code: simproto.EventDefineList, Entries: entries})
	drivers.sendToAdapter(simproto.Event{Code: simproto.EventNodesListed, ListKind: wireListCached})
	drivers.compare("start")
	drivers.core.ClientConnected(drivers.now, 1)
	return drivers
}

func with(message protocol.Message, field protocol.Field, value string) protocol.Message {
	message.Set(field, value)
	return message
}

func stop(cause protocol.Cause) protocol.Message {
	return protocol.Message{Kind: protocol.Stop, Cause: cause, HasCause: true}
}

// bind has the node accept the attempt for a task and report its usage, and then end it if ends is set.
func (drivers *twoDrivers) bind(id uint64, ends bool) {
	drivers.t.Helper()
	drivers.sendFromNode(id, protocol.Message{Kind: protocol.Running, Body: `"y"`})
	drivers.sendToAdapter(drivers.attemptEvent(id, simproto.Event{Code: simproto.EventAttemptBound}))
	drivers.compare("running")
	update := with(protocol.Message{Kind: protocol.Update}, protocol.Note, "cpu")
	drivers.sendFromNode(id, with(update, protocol.Value, "0.75"))
	usage := drivers.attemptEvent(id, simproto.Event{Code: simproto.EventUsageReported, UsageKind: 2, Value: 0.75})
	drivers.sendToAdapter(usage)
	if ends {
		drivers.sendFromNode(id, with(stop(16), protocol.LoadReport, "x1:3;utilization:0.5"))
		drivers.sendToAdapter(drivers.attemptEvent(id, simproto.Event{Final: 1, LoadValues: []float32{3, 0.5}}))
	}
}

func TestSimulatorAndPlatformGiveThePlacerTheSameEvents(t *testing.T) {
	drivers := startDrivers(t)
	outcomes := map[int]func(id uint64) simproto.Event{
		3: func(id uint64) simproto.Event {
			drivers.sendFromNode(id, with(with(stop(34), protocol.Note, "mem_full"), protocol.LoadReport, "x1:0.25;utilization:1"))
			return simproto.Event{Status: wireRejected, Reason: 2, LoadValues: []float32{0.25, 1}}
		},
		4: func(id uint64) simproto.Event {
			drivers.sendFromNode(id, stop(47))
			return simproto.Event{Status: wireErrored}
		},
		5: func(id uint64) simproto.Event {
			drivers.core.ConnectionLost(drivers.now, drivers.attempts[id])
			return simproto.Event{Status: wireLost}
		},
		6: func(id uint64) simproto.Event {
			message := stop(16)
			message.ID, message.UID = protocol.ID(id), fmt.Sprintf("%016x", id)
			drivers.sendFromClient(message)
			drivers.sendToAdapter(simproto.Event{Code: simproto.EventTaskWithdrawn, TaskID: id})
			return simproto.Event{Status: wireCancelled, Final: 1}
		},
	}
	for i := range 60 {
		id := uint64(i + 1)
		drivers.launch(id)
		_, started := drivers.outstanding[id]
		drivers.advance(drivers.now + 0.07)
		if attempt := drivers.attempts[id]; !started || attempt == nil || !attempt.Unanswered() {
			continue
		}
		switch kind := i % 8; kind {
		case 0, 1, 2:
			drivers.bind(id, kind > 0)
		case 7:
			drivers.advance(drivers.now + 0.5) // the attempt is not answered
			continue
		default:
			drivers.sendToAdapter(drivers.attemptEvent(id, outcomes[kind](id)))
		}
		delete(drivers.outstanding, id)
		drivers.compare(fmt.Sprintf("outcome %d", i))
	}
	counts := drivers.core.Counts
	if counts.TimedOut == 0 || counts.CapacityRejections == 0 || counts.Bound < 5 {
		t.Fatalf("too few outcomes: %+v", counts)
	}
}

// nodeNamesByID returns n names of nodes in the order of their IDs, which is the order of a cached list.
func nodeNamesByID(n int) []string {
	var all []string
	for i := 0; len(all) < n; i++ {
		uid := fmt.Sprintf("s-%08x", i)
		if len(all) == 0 || dispatch.NodeIDOf(uid) > dispatch.NodeIDOf(all[len(all)-1]) {
			all = append(all, uid)
		}
	}
	return all
}
