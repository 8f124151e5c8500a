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

// Numbers of the simulator's protocol, stated apart from package simproto, so that these tests notice a change of them.
const (
	wireCancelled  = 250
	wireLost       = 251
	wireTimedOut   = 253
	wireRejected   = 254
	wireErrored    = 255
	wireListCached = 1
	wireNodeReady  = 1
)

// recorder records the events and actions of a step of a placer that the dispatch core drives.
type recorder struct {
	placer      *placer.Placer
	events      []string
	actions     []placer.Action
	firedTimers []uint64
}

// describeEvent returns an event as text, since NaN, the value of a field that is not reported, equals nothing.
func describeEvent(event placer.Event) string {
	report := event.Report
	event.Report = nil
	if report == nil {
		return fmt.Sprintf("%+v", event)
	}
	return fmt.Sprintf("%+v with %+v", event, *report)
}

func (r *recorder) Handle(now placer.Seconds, event placer.Event, actions []placer.Action) []placer.Action {
	r.events = append(r.events, describeEvent(event))
	before := len(actions)
	actions = r.placer.Handle(now, event, actions)
	r.actions = append(r.actions, actions[before:]...)
	if event.Kind == placer.TimerFired {
		r.firedTimers = append(r.firedTimers, event.Token)
	}
	return actions
}

// twoDrivers drives the simulator's adapter and the dispatch core through the same events.
type twoDrivers struct {
	t              *testing.T
	adapter        *adapter
	core           *dispatch.Core
	recorder       *recorder
	now            placer.Seconds
	adapterEvents  []string // translated by the adapter
	adapterActions []placer.Action
	attempts       map[uint64]*dispatch.Attempt // by task
	outstanding    map[uint64]placer.Action
}

func (drivers *twoDrivers) sendToAdapter(event simproto.Event) {
	drivers.t.Helper()
	event.Instance = testInstance
	if target := drivers.adapter.instances[testInstance]; target != nil {
		translated, used, err := target.translate(&event, &drivers.adapter.lists)
		if err != nil {
			drivers.t.Fatal(err)
		}
		if used {
			drivers.adapterEvents = append(drivers.adapterEvents, describeEvent(translated))
		}
	}
	drivers.adapter.actions = drivers.adapter.actions[:0]
	if err := drivers.adapter.handleEvent(drivers.now, &event); err != nil {
		drivers.t.Fatal(err)
	}
	drivers.adapterActions = append(drivers.adapterActions, drivers.adapter.actions...)
}

// compare compares what both did in this step and records the attempts.
func (drivers *twoDrivers) compare(step string) {
	drivers.t.Helper()
	for _, effect := range drivers.core.Ready() {
		if effect.Kind == dispatch.SendAttempt {
			if !drivers.core.PrepareSend(drivers.now, effect.Attempt) {
				drivers.t.Fatalf("%s: attempt not allowed to start", step)
			}
			drivers.attempts[uint64(effect.Attempt.Message.ID)] = effect.Attempt
		}
	}
	for _, action := range drivers.recorder.actions {
		if action.Kind == placer.StartAttempt {
			drivers.outstanding[uint64(action.Task)] = action
		}
	}
	if !reflect.DeepEqual(drivers.adapterEvents, drivers.recorder.events) {
		drivers.t.Fatalf("%s: events\nsimulator %v\nplatform  %v", step, drivers.adapterEvents, drivers.recorder.events)
	}
	if !reflect.DeepEqual(drivers.adapterActions, drivers.recorder.actions) {
		drivers.t.Fatalf("%s:\nsimulator %+v\nplatform  %+v", step, drivers.adapterActions, drivers.recorder.actions)
	}
	drivers.adapterEvents, drivers.recorder.events, drivers.adapterActions, drivers.recorder.actions = nil, nil, nil, nil
}

// advance advances the time and fires the timers of both.
func (drivers *twoDrivers) advance(to placer.Seconds) {
	drivers.t.Helper()
	for drivers.core.NextTimer() <= to {
		drivers.now = drivers.core.NextTimer()
		drivers.recorder.firedTimers = nil
		drivers.core.Advance(drivers.now)
		for _, token := range drivers.recorder.firedTimers {
			drivers.sendToAdapter(simproto.Event{Code: simproto.EventTimerFired, Token: token})
		}
		for id, started := range drivers.outstanding { // attempts that time out
			attempt := drivers.attempts[id]
			if started.Until <= drivers.now && attempt != nil && !attempt.Live() {
				drivers.sendToAdapter(drivers.attemptEvent(id, simproto.Event{Status: wireTimedOut}))
				delete(drivers.outstanding, id)
			}
		}
		drivers.compare(fmt.Sprintf("at %v", drivers.now))
	}
	drivers.now = to
}

// attemptEvent completes the simulator's event on the outstanding attempt for a task, which by default is its end.
func (drivers *twoDrivers) attemptEvent(id uint64, event simproto.Event) simproto.Event {
	started := drivers.outstanding[id]
	if event.Code == 0 {
		event.Code = simproto.EventAttemptEnded
	}
	event.TaskID, event.Attempt, event.Node = id, uint8(started.Attempt), simproto.NodeAddress(started.Node)
	event.Elapsed = drivers.attempts[id].Age(drivers.now)
	return event
}

// launch has a client request the task with the ID from both.
func (drivers *twoDrivers) launch(id uint64) {
	drivers.t.Helper()
	class, name, service := uint16(0), "query", 10+(id-1)%5
	if id%3 == 2 {
		class, name = 1, "seats"
	}
	message := protocol.Message{Kind: protocol.Launch, UID: fmt.Sprintf("%016x", id), ID: protocol.ID(id), Body: `"x"`}
	message.Set(protocol.Class, name)
	message.Set(protocol.Tenant, "south")
	message.Set(protocol.Key, message.UID)
	message.Set(protocol.TimeLeft, "4000")
	message.Set(protocol.Extras, fmt.Sprintf("cores:1.5;memory:2;service:%016d", service))
	drivers.sendFromClient(message)
	number, err := strconv.ParseUint(strconv.FormatUint(service, 10), 16, 64) // the platform's IDs are hexadecimal
	if err != nil {
		drivers.t.Fatal(err)
	}
	drivers.sendToAdapter(simproto.Event{Code: simproto.EventTaskArrived, TaskID: id, Class: class, Tenant: 1, Service: number,
		Cores: 1.5, Memory: 2, Deadline: drivers.now + 4})
	drivers.compare("launch")
}

func (drivers *twoDrivers) sendFromClient(message protocol.Message) {
	drivers.t.Helper()
	if err := drivers.core.ReceiveFromClient(drivers.now, 1, &message); err != nil {
		drivers.t.Fatal(err)
	}
}

// sendFromNode has the node of the attempt for a task send a message about it to the dispatch core.
func (drivers *twoDrivers) sendFromNode(id uint64, message protocol.Message) {
	message.ID, message.UID = protocol.ID(id), fmt.Sprintf("%016x", id)
	drivers.core.ReceiveFromNode(drivers.now, drivers.attempts[id].Node, &message)
}
