package simadapter

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"

	"heathshed/internal/platform/dispatch"
	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/simbridge/simproto"
	"heathshed/placer"
)

// recorder records the events and actions of a step of a placer that the dispatch core drives.
type recorder struct {
	placer      *placer.Placer
	events      []string
	actions     []placer.Action
	firedTimers []uint64
}

// describeEvent returns an event as text, since NaN, which stands for what is not reported, equals nothing.
func describeEvent(ev placer.Event) string {
	report := ev.Report
	ev.Report = nil
	if report == nil {
		return fmt.Sprintf("%+v", ev)
	}
	return fmt.Sprintf("%+v with %+v", ev, *report)
}

func (r *recorder) Handle(now placer.Seconds, ev placer.Event, actions []placer.Action) []placer.Action {
	r.events = append(r.events, describeEvent(ev))
	n := len(actions)
	actions = r.placer.Handle(now, ev, actions)
	r.actions = append(r.actions, actions[n:]...)
	if ev.Kind == placer.TimerFired {
		r.firedTimers = append(r.firedTimers, ev.Token)
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

func (b *twoDrivers) sendToAdapter(ev simproto.Event) {
	b.t.Helper()
	ev.Instance = 4
	if in := b.adapter.instances[4]; in != nil {
		e, ok, err := in.translate(&ev, &b.adapter.lists)
		if err != nil {
			b.t.Fatal(err)
		}
		if ok {
			b.adapterEvents = append(b.adapterEvents, describeEvent(e))
		}
	}
	b.adapter.actions = b.adapter.actions[:0]
	if err := b.adapter.handleEvent(float64(b.now), &ev); err != nil {
		b.t.Fatal(err)
	}
	b.adapterActions = append(b.adapterActions, b.adapter.actions...)
}

// compare compares what both did in this step and notes the attempts.
func (b *twoDrivers) compare(step string) {
	b.t.Helper()
	for _, e := range b.core.Ready() {
		if e.Kind == dispatch.SendAttempt {
			if !b.core.PrepareSend(b.now, e.Attempt) {
				b.t.Fatalf("%s: attempt not allowed to start", step)
			}
			b.attempts[uint64(e.Attempt.Message.ID)] = e.Attempt
		}
	}
	for _, a := range b.recorder.actions {
		if a.Kind == placer.StartAttempt {
			b.outstanding[uint64(a.Task)] = a
		}
	}
	if !reflect.DeepEqual(b.adapterEvents, b.recorder.events) {
		b.t.Fatalf("%s: events\nsimulator %v\nplatform  %v", step, b.adapterEvents, b.recorder.events)
	}
	if !reflect.DeepEqual(b.adapterActions, b.recorder.actions) {
		b.t.Fatalf("%s:\nsimulator %+v\nplatform  %+v", step, b.adapterActions, b.recorder.actions)
	}
	b.adapterEvents, b.recorder.events, b.adapterActions, b.recorder.actions = nil, nil, nil, nil
}

// advance lets time pass and fires the timers of both.
func (b *twoDrivers) advance(to placer.Seconds) {
	b.t.Helper()
	for b.core.NextTimer() <= to {
		b.now = b.core.NextTimer()
		b.recorder.firedTimers = nil
		b.core.Advance(b.now)
		for _, token := range b.recorder.firedTimers {
			b.sendToAdapter(simproto.Event{Code: simproto.EventTimerFired, Token: token})
		}
		for id, a := range b.outstanding { // attempts that time out
			if a.Until <= b.now && b.attempts[id] != nil && !b.attempts[id].Live() {
				b.sendToAdapter(simproto.Event{Code: simproto.EventAttemptEnded, ID: id, Attempt: uint8(a.Attempt), Node: simproto.NodeAddress(a.Node), Status: 253,
					Elapsed: float64(b.attempts[id].Age(b.now))})
				delete(b.outstanding, id)
			}
		}
		b.compare(fmt.Sprintf("at %v", b.now))
	}
	b.now = to
}

func TestSimulatorAndPlatformGiveThePlacerTheSameEvents(t *testing.T) {
	s, err := simconfig.Parse([]byte(testSettingsWithNames))
	if err != nil {
		t.Fatal(err)
	}
	p, err := placer.New(s.Placer, 9)
	if err != nil {
		t.Fatal(err)
	}
	b := &twoDrivers{t: t, adapter: &adapter{instances: map[uint32]*instance{}}, recorder: &recorder{placer: p},
		now: 1000, attempts: map[uint64]*dispatch.Attempt{}, outstanding: map[uint64]placer.Action{}}
	nodes, entries := "", []simproto.NodeEntry(nil)
	for i, uid := range nodeNamesByID(6) {
		if i > 0 {
			nodes += ","
		}
		nodes += fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"b","model":"large","pod_group":%d,"state":"in_service",
			"boot_ms":0,"open":[14,30]}`, uid, i)
		entries = append(entries, simproto.NodeEntry{Node: simproto.NodeAddress(dispatch.NodeIDOf(uid)), Zone: 1, NodeType: 1, FreeCores: 14, FreeMemory: 30,
			Rack: uint16(i), State: 1})
	}
	if b.core, err = dispatch.New(b.now, s, b.recorder, []byte(`{"no":3,"items":[{"no":3,"roster":{"rev":1,"all":true,"targets":[`+nodes+`]}}]}`)); err != nil {
		t.Fatal(err)
	}
	b.adapter.writer.Start(1)
	b.sendToAdapter(simproto.Event{Code: simproto.EventInstanceStart, Seed: 9, Settings: []byte(testSettingsWithNames)})
	b.sendToAdapter(simproto.Event{Code: simproto.EventDefineList, Entries: entries})
	b.sendToAdapter(simproto.Event{Code: simproto.EventNodesListed, ListKind: 1})
	b.compare("start")
	b.core.ClientConnected(b.now, 1)
	var ids uint64
	launch := func(class, extras string) {
		ids++
		m := protocol.Message{Kind: protocol.Launch, UID: fmt.Sprintf("%016x", ids), ID: protocol.ID(ids), Body: `"x"`}
		m.Set(protocol.Class, class)
		m.Set(protocol.Tenant, "south")
		m.Set(protocol.Key, m.UID)
		m.Set(protocol.TimeLeft, "4000")
		m.Set(protocol.Extras, extras)
		if err := b.core.ReceiveFromClient(b.now, 1, &m); err != nil {
			t.Fatal(err)
		}
	}
	node := func(id uint64, m protocol.Message) {
		m.ID, m.UID = protocol.ID(id), fmt.Sprintf("%016x", id)
		b.core.ReceiveFromNode(b.now, b.attempts[id].Node, &m)
	}
	with := func(m protocol.Message, f protocol.Field, v string) protocol.Message {
		m.Set(f, v)
		return m
	}
	stop := func(cause int) protocol.Message {
		return protocol.Message{Kind: protocol.Stop, Cause: cause, HasCause: true}
	}
	for i := range 60 {
		class, lane := "query", uint16(0)
		if i%3 == 1 {
			class, lane = "seats", 1
		}
		launch(class, "cores:1.5;memory:2;service:00000000000000"+strconv.Itoa(10+i%5))
		service, _ := strconv.ParseUint(strconv.Itoa(10+i%5), 16, 64)
		b.sendToAdapter(simproto.Event{Code: simproto.EventTaskArrived, ID: ids, Class: lane, Tenant: 1, Service: service, Cores: 1.5, Memory: 2, Deadline: float64(b.now + 4)})
		b.compare("launch")
		a, ok := b.outstanding[ids]
		b.advance(b.now + 0.07)
		if o := b.attempts[ids]; !ok || o == nil || !o.Unanswered() {
			continue
		}
		back := simproto.Event{ID: ids, Attempt: uint8(a.Attempt), Node: simproto.NodeAddress(a.Node), Elapsed: float64(b.attempts[ids].Age(b.now)), Code: simproto.EventAttemptEnded}
		switch i % 8 {
		case 0, 1, 2:
			node(ids, protocol.Message{Kind: protocol.Running, Body: `"y"`})
			back.Code = simproto.EventAttemptBound
			b.sendToAdapter(back)
			b.compare("running")
			node(ids, with(with(protocol.Message{Kind: protocol.Update}, protocol.Note, "cpu"), protocol.Value, "0.75"))
			b.sendToAdapter(simproto.Event{Code: simproto.EventUsageReported, ID: ids, Attempt: uint8(a.Attempt), Node: simproto.NodeAddress(a.Node), UsageKind: 2, Value: 0.75})
			if i%8 > 0 {
				node(ids, with(stop(16), protocol.LoadReport, "x1:3;utilization:0.5"))
				back.Code, back.Final, back.Load = simproto.EventAttemptEnded, 1, []float32{3, 0.5}
				b.sendToAdapter(back)
			}
		case 3:
			node(ids, with(with(stop(34), protocol.Note, "mem_full"), protocol.LoadReport, "x1:0.25;utilization:1"))
			back.Status, back.Reason, back.Load = 254, 2, []float32{0.25, 1}
			b.sendToAdapter(back)
		case 4:
			node(ids, stop(47))
			back.Status = 255
			b.sendToAdapter(back)
		case 5:
			b.core.ConnectionLost(b.now, b.attempts[ids])
			back.Status = 251
			b.sendToAdapter(back)
		case 6:
			m := stop(16)
			m.ID, m.UID = protocol.ID(ids), fmt.Sprintf("%016x", ids)
			if err := b.core.ReceiveFromClient(b.now, 1, &m); err != nil {
				t.Fatal(err)
			}
			b.sendToAdapter(simproto.Event{Code: simproto.EventTaskWithdrawn, ID: ids})
			back.Status, back.Final = 250, 1
			b.sendToAdapter(back)
		case 7:
			b.advance(b.now + 0.5) // the attempt is not answered
			continue
		}
		delete(b.outstanding, ids)
		b.compare(fmt.Sprintf("outcome %d", i))
	}
	if b.core.Counts.TimedOut == 0 || b.core.Counts.CapacityRejections == 0 || b.core.Counts.Bound < 5 {
		t.Fatalf("too few outcomes: %+v", b.core.Counts)
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
