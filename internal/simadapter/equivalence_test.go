package simadapter

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"

	"heathshed/internal/dispatch"
	"heathshed/internal/platformproto"
	"heathshed/internal/simconfig"
	"heathshed/internal/simproto"
	"heathshed/placer"
)

// recorder is the module as the dispatch core drives it, with the events and actions of a step.
type recorder struct {
	p       *placer.Placer
	events  []string
	actions []placer.Action
	woken   []uint64
}

// told is all that an event says, as text: what was not told of a report is NaN, which equals nothing.
func told(ev placer.Event) string {
	report := ev.Report
	ev.Report = nil
	if report == nil {
		return fmt.Sprintf("%+v", ev)
	}
	return fmt.Sprintf("%+v with %+v", ev, *report)
}

func (r *recorder) Handle(now float64, ev placer.Event, actions []placer.Action) []placer.Action {
	r.events = append(r.events, told(ev))
	n := len(actions)
	actions = r.p.Handle(now, ev, actions)
	r.actions = append(r.actions, actions[n:]...)
	if ev.Kind == placer.TimerFired {
		r.woken = append(r.woken, ev.Token)
	}
	return actions
}

// both drives the simulator's adapter and the dispatch core through the same day.
type both struct {
	t    *testing.T
	h    *host
	c    *dispatch.Core
	r    *recorder
	now  float64
	said []string // the events that the adapter makes of the wire's
	sim  []placer.Action
	sent map[uint64]*dispatch.Attempt // by task
	outs map[uint64]placer.Action
}

func (b *both) wire(ev simproto.Event) {
	b.t.Helper()
	ev.Who = 4
	if in := b.h.instances[4]; in != nil {
		e, ok, err := in.translate(&ev, &b.h.lists)
		if err != nil {
			b.t.Fatal(err)
		}
		if ok {
			b.said = append(b.said, told(e))
		}
	}
	b.h.actions = b.h.actions[:0]
	if err := b.h.event(b.now, &ev); err != nil {
		b.t.Fatal(err)
	}
	b.sim = append(b.sim, b.h.actions...)
}

// settle compares what both did in this step and notes the offers.
func (b *both) settle(step string) {
	b.t.Helper()
	for _, e := range b.c.Ready() {
		if e.Kind == dispatch.SendAttempt {
			if !b.c.PrepareSend(b.now, e.Attempt) {
				b.t.Fatalf("%s: offer not allowed to start", step)
			}
			b.sent[uint64(e.Attempt.Message.ID)] = e.Attempt
		}
	}
	for _, a := range b.r.actions {
		if a.Kind == placer.StartAttempt {
			b.outs[uint64(a.Task)] = a
		}
	}
	if !reflect.DeepEqual(b.said, b.r.events) {
		b.t.Fatalf("%s: events\nsimulator %v\nplatform  %v", step, b.said, b.r.events)
	}
	if !reflect.DeepEqual(b.sim, b.r.actions) {
		b.t.Fatalf("%s:\nsimulator %+v\nplatform  %+v", step, b.sim, b.r.actions)
	}
	b.said, b.r.events, b.sim, b.r.actions = nil, nil, nil, nil
}

// wake lets time pass; the timers of both fall due.
func (b *both) wake(to float64) {
	b.t.Helper()
	for b.c.NextTimer() <= to {
		b.now = b.c.NextTimer()
		b.r.woken = nil
		b.c.Advance(b.now)
		for _, token := range b.r.woken {
			b.wire(simproto.Event{Code: simproto.TickDue, Token: token})
		}
		for id, a := range b.outs { // a time-out is no wake-up
			if a.Until <= b.now && b.sent[id] != nil && !b.sent[id].Live() {
				b.wire(simproto.Event{Code: simproto.ReportBack, ID: id, Attempt: uint8(a.Attempt), Node: simproto.Node(a.Node), Status: 253,
					Elapsed: b.sent[id].Age(b.now)})
				delete(b.outs, id)
			}
		}
		b.settle(fmt.Sprintf("at %v", b.now))
	}
	b.now = to
}

func TestSimulatorAndPlatformTellTheModuleTheSame(t *testing.T) {
	s, err := simconfig.Parse([]byte(names))
	if err != nil {
		t.Fatal(err)
	}
	p, err := placer.New(s.Placer, 9)
	if err != nil {
		t.Fatal(err)
	}
	b := &both{t: t, h: &host{instances: map[uint32]*instance{}}, r: &recorder{p: p}, now: 1000, sent: map[uint64]*dispatch.Attempt{},
		outs: map[uint64]placer.Action{}}
	roster, entries := "", []simproto.Entry(nil)
	for i, uid := range byNumber(6) {
		if i > 0 {
			roster += ","
		}
		roster += fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"b","model":"large","pod_group":%d,"state":"in_service",
			"boot_ms":0,"open":[14,30]}`, uid, i)
		entries = append(entries, simproto.Entry{Node: simproto.Node(dispatch.NodeIDOf(uid)), Zone: 1, Kind: 1, FreeCores: 14, FreeMemory: 30,
			Cell: uint16(i), Health: 1})
	}
	if b.c, err = dispatch.New(b.now, s, b.r, []byte(`{"no":3,"items":[{"no":3,"roster":{"rev":1,"all":true,"targets":[`+roster+`]}}]}`)); err != nil {
		t.Fatal(err)
	}
	b.h.w.Start(1)
	b.wire(simproto.Event{Code: simproto.Begin, Seed: 9, Settings: []byte(names)})
	b.wire(simproto.Event{Code: simproto.DefineList, Entries: entries})
	b.wire(simproto.Event{Code: simproto.Discovery, ListKind: 1})
	b.settle("start")
	b.c.ClientConnected(b.now, 1)
	var ids uint64
	launch := func(class, extras string) {
		ids++
		m := platformproto.Message{Kind: platformproto.Launch, UID: fmt.Sprintf("%016x", ids), ID: platformproto.ID(ids), Body: `"x"`}
		m.Set(platformproto.Class, class)
		m.Set(platformproto.Tenant, "south")
		m.Set(platformproto.Key, m.UID)
		m.Set(platformproto.Left, "4000")
		m.Set(platformproto.Extras, extras)
		if err := b.c.ReceiveFromClient(b.now, 1, &m); err != nil {
			t.Fatal(err)
		}
	}
	node := func(id uint64, m platformproto.Message) {
		m.ID, m.UID = platformproto.ID(id), fmt.Sprintf("%016x", id)
		b.c.ReceiveFromNode(b.now, b.sent[id].Node, &m)
	}
	with := func(m platformproto.Message, f platformproto.Field, v string) platformproto.Message {
		m.Set(f, v)
		return m
	}
	stop := func(cause int) platformproto.Message {
		return platformproto.Message{Kind: platformproto.Stop, Reason: cause, HasReason: true}
	}
	for i := range 60 {
		class, lane := "query", uint16(0)
		if i%3 == 1 {
			class, lane = "seats", 1
		}
		launch(class, "cores:1.5;memory:2;service:00000000000000"+strconv.Itoa(10+i%5))
		service, _ := strconv.ParseUint(strconv.Itoa(10+i%5), 16, 64)
		b.wire(simproto.Event{Code: simproto.ToPlace, ID: ids, Class: lane, Tenant: 1, Service: service, Cores: 1.5, Memory: 2, Deadline: b.now + 4})
		b.settle("launch")
		a, ok := b.outs[ids]
		b.wake(b.now + 0.07)
		if o := b.sent[ids]; !ok || o == nil || !o.Unanswered() {
			continue
		}
		back := simproto.Event{ID: ids, Attempt: uint8(a.Attempt), Node: simproto.Node(a.Node), Elapsed: b.sent[ids].Age(b.now), Code: simproto.ReportBack}
		switch i % 8 {
		case 0, 1, 2:
			node(ids, platformproto.Message{Kind: platformproto.Running, Body: `"y"`})
			back.Code = simproto.Seated
			b.wire(back)
			b.settle("running")
			node(ids, with(with(platformproto.Message{Kind: platformproto.Update}, platformproto.Note, "cpu"), platformproto.Value, "0.75"))
			b.wire(simproto.Event{Code: simproto.UpdateOf, ID: ids, Attempt: uint8(a.Attempt), Node: simproto.Node(a.Node), Sort: 2, Value: 0.75})
			if i%8 > 0 {
				node(ids, with(stop(16), platformproto.Load, "x1:3;utilization:0.5"))
				back.Code, back.Finished, back.Load = simproto.ReportBack, 1, []float32{3, 0.5}
				b.wire(back)
			}
		case 3:
			node(ids, with(with(stop(34), platformproto.Note, "mem_full"), platformproto.Load, "x1:0.25;utilization:1"))
			back.Status, back.Remark, back.Load = 254, 2, []float32{0.25, 1}
			b.wire(back)
		case 4:
			node(ids, stop(47))
			back.Status = 255
			b.wire(back)
		case 5:
			b.c.ConnectionLost(b.now, b.sent[ids])
			back.Status = 251
			b.wire(back)
		case 6:
			m := stop(16)
			m.ID, m.UID = platformproto.ID(ids), fmt.Sprintf("%016x", ids)
			if err := b.c.ReceiveFromClient(b.now, 1, &m); err != nil {
				t.Fatal(err)
			}
			b.wire(simproto.Event{Code: simproto.Hangup, ID: ids})
			back.Status, back.Finished = 250, 1
			b.wire(back)
		case 7:
			b.wake(b.now + 0.5) // nothing is answered
			continue
		}
		delete(b.outs, ids)
		b.settle(fmt.Sprintf("outcome %d", i))
	}
	if b.c.Counts.TimedOut == 0 || b.c.Counts.CapacityRejections == 0 || b.c.Counts.Bound < 5 {
		t.Fatalf("the day was too quiet: %+v", b.c.Counts)
	}
}

// byNumber is n names of machines in the order of their numbers, the order of a cached list.
func byNumber(n int) []string {
	var all []string
	for i := 0; len(all) < n; i++ {
		uid := fmt.Sprintf("s-%08x", i)
		if len(all) == 0 || dispatch.NodeIDOf(uid) > dispatch.NodeIDOf(all[len(all)-1]) {
			all = append(all, uid)
		}
	}
	return all
}
