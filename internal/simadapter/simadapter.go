// Package simhost lets placers speak the simulator's wire: one Placer for each instance, nothing shared.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"heathshed/internal/simconfig"
	"heathshed/internal/simproto"
	"heathshed/placer"
)

type instance struct {
	p      *placer.Placer
	fields []string
	report placer.Report
}

type host struct {
	instances map[uint32]*instance
	lists     [16][]placer.Node
	w         simproto.Writer
	actions   []placer.Action
	problems  io.Writer
}

// Run answers batches from in on out until the input ends. What was understood only in part is not answered.
func Run(in io.Reader, out io.Writer, problems io.Writer) error {
	r := simproto.NewReader(bufio.NewReaderSize(in, 1<<16))
	h := &host{instances: map[uint32]*instance{}, problems: problems}
	var ev simproto.Event
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.w.Start(b.Number)
		for i := uint32(0); i < b.Count; i++ {
			if err := r.Read(&ev); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", b.Number, i, err)
			}
			if err := h.event(b.Now, &ev); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", b.Number, i, err)
			}
		}
		if r.Rest() != 0 {
			return fmt.Errorf("batch %d: %d bytes follow the last record", b.Number, r.Rest())
		}
		if _, err := out.Write(h.w.Finish()); err != nil {
			return fmt.Errorf("reply to batch %d: %w", b.Number, err)
		}
	}
}

func (h *host) event(now float64, ev *simproto.Event) error {
	switch ev.Code {
	case simproto.DefineList:
		list := h.lists[ev.Sheet][:0]
		for _, e := range ev.Entries {
			n := placer.Node{ID: placer.NodeID(e.Node), Zone: int(e.Zone), Rack: int(e.Cell), NodeType: int(e.Kind),
				FreeCores: float64(e.FreeCores), FreeMemory: float64(e.FreeMemory), StartedAt: e.OnlineSince}
			switch e.Health {
			case 1:
				n.State = placer.Ready
			case 2:
				n.State = placer.Draining
			}
			list = append(list, n)
		}
		h.lists[ev.Sheet] = list
		return nil
	case simproto.Begin:
		s, err := simconfig.Parse(ev.Settings)
		if err != nil {
			return fmt.Errorf("instance %d: %w", ev.Who, err)
		}
		p, err := placer.New(s.Placer, ev.Seed)
		if err != nil {
			return fmt.Errorf("instance %d: settings: %w", ev.Who, err)
		}
		h.instances[ev.Who] = &instance{p: p, fields: s.ReportFields}
		return nil
	case simproto.Down:
		delete(h.instances, ev.Who)
		return nil
	}
	in := h.instances[ev.Who]
	if in == nil {
		fmt.Fprintf(h.problems, "event %d for instance %d, which has not begun: skipped\n", ev.Code, ev.Who)
		return nil
	}
	e, ok, err := in.translate(ev, &h.lists)
	if err != nil || !ok {
		return err
	}
	h.decide(now, ev.Who, in, e)
	return nil
}

// decide hands one event to the placer; a panic there becomes the wire's word for it, for that instance.
func (h *host) decide(now float64, who uint32, in *instance, e placer.Event) {
	defer func() {
		if x := recover(); x != nil {
			h.w.Bug(who, fmt.Sprintf("panic: %v", x))
		}
	}()
	h.actions = in.p.Handle(now, e, h.actions[:0])
	for i := range h.actions {
		a := &h.actions[i]
		switch a.Kind {
		case placer.StartAttempt:
			h.w.Assign(who, uint64(a.Task), a.Until, simproto.Node(a.Node))
		case placer.Reject:
			h.w.TurnAway(who, uint64(a.Task), a.After)
		case placer.Fail:
			h.w.Fail(who, uint64(a.Task))
		case placer.SetTimer:
			h.w.Timer(who, a.Token, a.After)
		case placer.WatchNodes:
			h.w.Watch(who)
		case placer.Migrate:
			h.w.Vacate(who, uint64(a.Task))
		case placer.ListNodes:
			h.w.Lookup(who)
		}
	}
}

func (in *instance) translate(ev *simproto.Event, lists *[16][]placer.Node) (e placer.Event, ok bool, err error) {
	e.TaskID, e.Node, e.Attempt = placer.TaskID(ev.ID), placer.NodeID(ev.Node), int(ev.Attempt)
	switch ev.Code {
	case simproto.Discovery:
		e.Kind = placer.NodesListed
		switch ev.ListKind {
		case 0:
			e.List = placer.FullList
		case 1:
			e.List = placer.CachedList
		case 2:
			e.List = placer.ListFailed
			return e, true, nil
		case 4:
			e.List = placer.Changes
		default:
			return e, false, fmt.Errorf("list kind %d is not known", ev.ListKind)
		}
		if int(ev.Sheet) >= len(lists) {
			return e, false, fmt.Errorf("list number %d is over 15", ev.Sheet)
		}
		e.Nodes = lists[ev.Sheet]
	case simproto.ToPlace, simproto.InPlace:
		e.Kind = placer.Arrived
		if ev.Code == simproto.InPlace {
			e.Kind = placer.Adopted
		}
		e.Task = placer.Task{ID: placer.TaskID(ev.ID), Class: int(ev.Class), Tenant: int(ev.Tenant),
			Service: placer.ServiceID(ev.Service), Cores: float64(ev.Cores), Memory: float64(ev.Memory),
			Deadline: ev.Deadline, IsRetry: ev.Flags&(2|16) != 0}
	case simproto.Seated:
		e.Kind, e.Elapsed = placer.Bound, ev.Elapsed
	case simproto.UpdateOf:
		e.Kind, e.Usage, e.Value = placer.UsageReported, placer.UsageKind(ev.Sort), float64(ev.Value)
	case simproto.ReportBack:
		e.Kind, e.Elapsed, e.Final, e.Reason = placer.Ended, ev.Elapsed, ev.Finished != 0, placer.Reason(ev.Remark)
		if e.Result, err = result(ev.Status); err != nil {
			return e, false, err
		}
		e.Report = in.load(ev.Load)
	case simproto.Hangup:
		e.Kind = placer.Withdrawn
	case simproto.TickDue:
		e.Kind, e.Token = placer.TimerFired, ev.Token
	default: // probes and peers are not used
		return e, false, nil
	}
	return e, true, nil
}

func result(status uint16) (placer.Result, error) {
	switch status {
	case 0:
		return placer.Finished, nil
	case 255:
		return placer.Errored, nil
	case 254:
		return placer.Rejected, nil
	case 253:
		return placer.TimedOut, nil
	case 252:
		return placer.Unreachable, nil
	case 251:
		return placer.Lost, nil
	case 250:
		return placer.Cancelled, nil
	case 249:
		return placer.Expired, nil
	}
	return 0, fmt.Errorf("outcome %d is not known", status)
}

// load names the values of a load report; nil if none came.
func (in *instance) load(values []float32) *placer.Report {
	if len(values) == 0 {
		return nil
	}
	in.report = simconfig.NoReport()
	for i, v := range values {
		if i < len(in.fields) {
			simconfig.SetReportField(&in.report, in.fields[i], float64(v))
		}
	}
	return &in.report
}
