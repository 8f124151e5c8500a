package simadapter

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simproto"
	"heathshed/placer"
)

// These constants repeat numbers of the simulator's protocol instead of using the constants of package
// simproto. As a consequence, the tests fail if a constant of package simproto changes.
const (
	wireStatusCancelled = 250
	wireStatusLost      = 251
	wireStatusTimedOut  = 253
	wireStatusRejected  = 254
	wireStatusErrored   = 255
	wireListKindCached  = 1
	wireNodeStateReady  = 1
)

// recordingPlacer passes the events of the dispatch core to a placer and records the events and the resulting
// actions. The dispatch core is dispatch.Core, the state machine of a scheduler that runs outside the
// simulator.
type recordingPlacer struct {
	placer      *placer.Placer
	events      []string
	actions     []placer.Action
	firedTimers []uint64
}

// describeEvent returns an event as text. Texts are compared instead of events because a field of a load
// report that is not reported is NaN, and NaN does not equal itself.
func describeEvent(event placer.Event) string {
	report := event.Report
	event.Report = nil
	if report == nil {
		return fmt.Sprintf("%+v", event)
	}
	return fmt.Sprintf("%+v with %+v", event, *report)
}

func (r *recordingPlacer) Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action {
	r.events = append(r.events, describeEvent(event))
	previousCount := len(actions)
	actions = r.placer.Handle(now, event, actions)
	r.actions = append(r.actions, actions[previousCount:]...)
	if event.Kind == placer.TimerFired {
		r.firedTimers = append(r.firedTimers, event.Token)
	}
	return actions
}

// driverPair holds the two drivers of a placer: the adapter for the simulator, and the dispatch core of the
// platform, which is the system outside the simulator. The tests send both drivers the same events.
type driverPair struct {
	t                *testing.T
	adapter          *adapter
	core             *dispatch.Core
	recorder         *recordingPlacer
	now              placer.Seconds
	adapterEvents    []string // adapterEvents holds the events that the adapter translated.
	adapterActions   []placer.Action
	platformAttempts map[uint64]*dispatch.Attempt // platformAttempts holds the attempts of the dispatch core by task ID.
	pendingStarts    map[uint64]placer.Action     // pendingStarts holds, by task ID, the actions whose attempts are pending.
}

// sendToAdapter sends an event to the adapter and records the translated event and the resulting actions.
func (drivers *driverPair) sendToAdapter(event simproto.Event) {
	drivers.t.Helper()
	event.Instance = testInstance
	if target := drivers.adapter.instances[testInstance]; target != nil {
		translated, relevant, err := target.translateEvent(&event, &drivers.adapter.nodeLists)
		if err != nil {
			drivers.t.Fatal(err)
		}
		if relevant {
			drivers.adapterEvents = append(drivers.adapterEvents, describeEvent(translated))
		}
	}
	drivers.adapter.actions = drivers.adapter.actions[:0]
	if err := drivers.adapter.handleEvent(drivers.now, &event); err != nil {
		drivers.t.Fatal(err)
	}
	drivers.adapterActions = append(drivers.adapterActions, drivers.adapter.actions...)
}

// compareAndReset compares the recorded events and actions of both drivers and then clears them. Before the
// comparison, it calls PrepareSend for the attempts that the dispatch core wants to send. The platform's
// server does this before it sends an attempt to a node.
func (drivers *driverPair) compareAndReset(step string) {
	drivers.t.Helper()
	for _, effect := range drivers.core.Ready() {
		if effect.Kind == dispatch.SendAttempt {
			if !drivers.core.PrepareSend(drivers.now, effect.Attempt) {
				drivers.t.Fatalf("%s: PrepareSend of the dispatch core returned false for an attempt that is ready to be sent", step)
			}
			drivers.platformAttempts[uint64(effect.Attempt.Message.ID)] = effect.Attempt
		}
	}
	for _, action := range drivers.recorder.actions {
		if action.Kind == placer.StartAttempt {
			drivers.pendingStarts[uint64(action.Task)] = action
		}
	}
	if !reflect.DeepEqual(drivers.adapterEvents, drivers.recorder.events) {
		drivers.t.Fatalf("%s: events for the placer differ\nsimulator %v\nplatform  %v", step, drivers.adapterEvents, drivers.recorder.events)
	}
	if !reflect.DeepEqual(drivers.adapterActions, drivers.recorder.actions) {
		drivers.t.Fatalf("%s: actions of the placer differ\nsimulator %+v\nplatform  %+v", step, drivers.adapterActions, drivers.recorder.actions)
	}
	drivers.adapterEvents, drivers.recorder.events, drivers.adapterActions, drivers.recorder.actions = nil, nil, nil, nil
}

// advance sets the time of both drivers to the argument until and fires the timers that are due by then.
func (drivers *driverPair) advance(until placer.Seconds) {
	drivers.t.Helper()
	for drivers.core.NextTimer() <= until {
		drivers.now = drivers.core.NextTimer()
		drivers.recorder.firedTimers = nil
		drivers.core.Advance(drivers.now)
		for _, token := range drivers.recorder.firedTimers {
			drivers.sendToAdapter(simproto.Event{Code: simproto.EventTimerFired, Token: token})
		}
		// The adapter receives a timeout event for each attempt that has timed out in the dispatch core.
		for id, started := range drivers.pendingStarts {
			attempt := drivers.platformAttempts[id]
			if started.Until <= drivers.now && attempt != nil && !attempt.Live() {
				drivers.sendToAdapter(drivers.completeAttemptEvent(id, simproto.Event{Status: wireStatusTimedOut}))
				delete(drivers.pendingStarts, id)
			}
		}
		drivers.compareAndReset(fmt.Sprintf("timers that fired at %v s", drivers.now))
	}
	drivers.now = until
}

// completeAttemptEvent returns the simulator's event with the task, attempt, node and elapsed time of the
// pending attempt for the task with the given ID. An event without a code becomes EventAttemptEnded.
func (drivers *driverPair) completeAttemptEvent(id uint64, event simproto.Event) simproto.Event {
	started := drivers.pendingStarts[id]
	if event.Code == 0 {
		event.Code = simproto.EventAttemptEnded
	}
	event.TaskID, event.Attempt, event.Node = id, uint8(started.Attempt), simproto.NodeAddress(started.Node)
	event.Elapsed = drivers.platformAttempts[id].Age(drivers.now)
	return event
}

// requestTask sends a placement request for the task with the given ID to both drivers.
func (drivers *driverPair) requestTask(id uint64) {
	drivers.t.Helper()
	class, className, serviceID := uint16(0), "query", 10+(id-1)%5
	if id%3 == 2 {
		class, className = 1, "seats"
	}
	message := protocol.Message{Kind: protocol.Launch, UID: fmt.Sprintf("%016x", id), ID: protocol.ID(id), Body: `"x"`}
	message.Set(protocol.Class, className)
	message.Set(protocol.Tenant, "south")
	message.Set(protocol.Key, message.UID)
	message.Set(protocol.TimeLeft, "4000")
	message.Set(protocol.Extras, fmt.Sprintf("cores:1.5;memory:2;service:%016d", serviceID))
	drivers.sendFromClient(message)
	// The platform parses service IDs as hexadecimal numbers.
	parsedServiceID, err := strconv.ParseUint(strconv.FormatUint(serviceID, 10), 16, 64)
	if err != nil {
		drivers.t.Fatal(err)
	}
	drivers.sendToAdapter(simproto.Event{Code: simproto.EventTaskArrived, TaskID: id, Class: class, Tenant: 1, Service: parsedServiceID,
		Cores: 1.5, Memory: 2, Deadline: drivers.now + 4})
	drivers.compareAndReset("placement request")
}

// sendFromClient has client 1 send a message to the dispatch core.
func (drivers *driverPair) sendFromClient(message protocol.Message) {
	drivers.t.Helper()
	if err := drivers.core.ReceiveFromClient(drivers.now, 1, &message); err != nil {
		drivers.t.Fatal(err)
	}
}

// sendFromNode sends the dispatch core a message about a task from the node of the task's attempt.
func (drivers *driverPair) sendFromNode(id uint64, message protocol.Message) {
	message.ID, message.UID = protocol.ID(id), fmt.Sprintf("%016x", id)
	if err := drivers.core.ReceiveFromNode(drivers.now, drivers.platformAttempts[id].Node, &message); err != nil {
		drivers.t.Fatal(err)
	}
}
