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
	placer       *placer.Placer
	reportFields []string
	report       placer.Report
}

type adapter struct {
	instances map[uint32]*instance
	lists     [16][]placer.Node
	writer    simproto.Writer
	actions   []placer.Action
	warnings  io.Writer
}

// Run answers batches from in on out until the input ends. What was understood only in part is not answered.
func Run(in io.Reader, out io.Writer, warnings io.Writer) error {
	reader := simproto.NewReader(bufio.NewReaderSize(in, 1<<16))
	a := &adapter{instances: map[uint32]*instance{}, warnings: warnings}
	var ev simproto.Event
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.writer.Start(batch.Number)
		for i := uint32(0); i < batch.Count; i++ {
			if err := reader.Read(&ev); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
			}
			if err := a.handleEvent(batch.Now, &ev); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
			}
		}
		if reader.Remaining() != 0 {
			return fmt.Errorf("batch %d: %d bytes follow the last record", batch.Number, reader.Remaining())
		}
		if _, err := out.Write(a.writer.Finish()); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Number, err)
		}
	}
}

func (a *adapter) handleEvent(now float64, ev *simproto.Event) error {
	switch ev.Code {
	case simproto.EventDefineList:
		list := a.lists[ev.ListNumber][:0]
		for _, entry := range ev.Entries {
			node := placer.Node{ID: placer.NodeID(entry.Node), Zone: int(entry.Zone), Rack: int(entry.Rack), NodeType: int(entry.NodeType),
				FreeCores: float64(entry.FreeCores), FreeMemory: float64(entry.FreeMemory), StartedAt: entry.StartedAt}
			switch entry.State {
			case 1:
				node.State = placer.Ready
			case 2:
				node.State = placer.Draining
			}
			list = append(list, node)
		}
		a.lists[ev.ListNumber] = list
		return nil
	case simproto.EventInstanceStart:
		s, err := simconfig.Parse(ev.Settings)
		if err != nil {
			return fmt.Errorf("instance %d: %w", ev.Instance, err)
		}
		p, err := placer.New(s.Placer, ev.Seed)
		if err != nil {
			return fmt.Errorf("instance %d: settings: %w", ev.Instance, err)
		}
		a.instances[ev.Instance] = &instance{placer: p, reportFields: s.ReportFields}
		return nil
	case simproto.EventInstanceStop:
		delete(a.instances, ev.Instance)
		return nil
	}
	in := a.instances[ev.Instance]
	if in == nil {
		fmt.Fprintf(a.warnings, "event %d for instance %d, which has not begun: skipped\n", ev.Code, ev.Instance)
		return nil
	}
	entry, ok, err := in.translate(ev, &a.lists)
	if err != nil || !ok {
		return err
	}
	a.decide(now, ev.Instance, in, entry)
	return nil
}

// decide hands one event to the placer; a panic there becomes the wire's word for it, for that instance.
func (a *adapter) decide(now float64, id uint32, in *instance, e placer.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			a.writer.ReportPanic(id, fmt.Sprintf("panic: %v", cause))
		}
	}()
	a.actions = in.placer.Handle(now, e, a.actions[:0])
	for i := range a.actions {
		action := &a.actions[i]
		switch action.Kind {
		case placer.StartAttempt:
			a.writer.StartAttempt(id, uint64(action.Task), action.Until, simproto.NodeAddress(action.Node))
		case placer.Reject:
			a.writer.Reject(id, uint64(action.Task), action.After)
		case placer.Fail:
			a.writer.Fail(id, uint64(action.Task))
		case placer.SetTimer:
			a.writer.SetTimer(id, action.Token, action.After)
		case placer.WatchNodes:
			a.writer.WatchNodes(id)
		case placer.Migrate:
			a.writer.Migrate(id, uint64(action.Task))
		case placer.ListNodes:
			a.writer.ListNodes(id)
		}
	}
}

func (in *instance) translate(ev *simproto.Event, lists *[16][]placer.Node) (e placer.Event, ok bool, err error) {
	e.TaskID, e.Node, e.Attempt = placer.TaskID(ev.ID), placer.NodeID(ev.Node), int(ev.Attempt)
	switch ev.Code {
	case simproto.EventNodesListed:
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
		if int(ev.ListNumber) >= len(lists) {
			return e, false, fmt.Errorf("list number %d is over 15", ev.ListNumber)
		}
		e.Nodes = lists[ev.ListNumber]
	case simproto.EventTaskArrived, simproto.EventTaskAdopted:
		e.Kind = placer.Arrived
		if ev.Code == simproto.EventTaskAdopted {
			e.Kind = placer.Adopted
		}
		e.Task = placer.Task{ID: placer.TaskID(ev.ID), Class: int(ev.Class), Tenant: int(ev.Tenant),
			Service: placer.ServiceID(ev.Service), Cores: float64(ev.Cores), Memory: float64(ev.Memory),
			Deadline: ev.Deadline, IsRetry: ev.Flags&(2|16) != 0}
	case simproto.EventAttemptBound:
		e.Kind, e.Elapsed = placer.Bound, ev.Elapsed
	case simproto.EventUsageReported:
		e.Kind, e.Usage, e.Value = placer.UsageReported, placer.UsageKind(ev.UsageKind), float64(ev.Value)
	case simproto.EventAttemptEnded:
		e.Kind, e.Elapsed, e.Final, e.Reason = placer.Ended, ev.Elapsed, ev.Final != 0, placer.Reason(ev.Reason)
		if e.Result, err = parseResult(ev.Status); err != nil {
			return e, false, err
		}
		e.Report = in.parseReport(ev.Load)
	case simproto.EventTaskWithdrawn:
		e.Kind = placer.Withdrawn
	case simproto.EventTimerFired:
		e.Kind, e.Token = placer.TimerFired, ev.Token
	default: // probes and peers are not used
		return e, false, nil
	}
	return e, true, nil
}

func parseResult(status uint16) (placer.Result, error) {
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

// parseReport names the values of a load report; nil if none came.
func (in *instance) parseReport(values []float32) *placer.Report {
	if len(values) == 0 {
		return nil
	}
	in.report = simconfig.NoReport()
	for i, v := range values {
		if i < len(in.reportFields) {
			simconfig.SetReportField(&in.report, in.reportFields[i], float64(v))
		}
	}
	return &in.report
}
