package simadapter

import (
	"fmt"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/simbridge/simproto"
	"heathshed/placer"
)

// translate returns the event for the placer. It returns false for events that the placer does not use, which are the
// results of health checks and messages of peers.
func (in *instance) translate(ev *simproto.Event, lists *[simproto.MaxLists][]placer.Node) (placer.Event, bool, error) {
	event := placer.Event{TaskID: placer.TaskID(ev.ID), Node: placer.NodeID(ev.Node), Attempt: int(ev.Attempt)}
	var err error
	switch ev.Code {
	case simproto.EventNodesListed:
		event.Kind = placer.NodesListed
		event.List, event.Nodes, err = findList(ev, lists)
	case simproto.EventTaskArrived:
		event.Kind, event.Task = placer.Arrived, translateTask(ev)
	case simproto.EventTaskAdopted:
		event.Kind, event.Task = placer.Adopted, translateTask(ev)
	case simproto.EventAttemptBound:
		event.Kind, event.Elapsed = placer.Bound, placer.Seconds(ev.Elapsed)
	case simproto.EventUsageReported:
		event.Kind, event.Usage, event.Value = placer.UsageReported, placer.UsageKind(ev.UsageKind), float64(ev.Value)
	case simproto.EventAttemptEnded:
		event.Kind, event.Elapsed, event.Final = placer.Ended, placer.Seconds(ev.Elapsed), ev.Final != 0
		event.Reason = placer.Reason(ev.Reason)
		event.Result, err = translateStatus(ev.Status)
		event.Report = in.parseReport(ev.Load)
	case simproto.EventTaskWithdrawn:
		event.Kind = placer.Withdrawn
	case simproto.EventTimerFired:
		event.Kind, event.Token = placer.TimerFired, ev.Token
	default:
		return event, false, nil
	}
	return event, err == nil, err
}

// findList returns the kind of a node list and its nodes, nil if the request for the list failed.
func findList(ev *simproto.Event, lists *[simproto.MaxLists][]placer.Node) (placer.ListKind, []placer.Node, error) {
	var kind placer.ListKind
	switch ev.ListKind {
	case simproto.ListFull:
		kind = placer.FullList
	case simproto.ListCached:
		kind = placer.CachedList
	case simproto.ListFailed:
		return placer.ListFailed, nil, nil
	case simproto.ListChanges:
		kind = placer.Changes
	default:
		return kind, nil, fmt.Errorf("list kind %d is not known", ev.ListKind)
	}
	if int(ev.ListNumber) >= len(lists) {
		return kind, nil, fmt.Errorf("list number %d is over %d", ev.ListNumber, len(lists)-1)
	}
	return kind, lists[ev.ListNumber], nil
}

func translateNode(entry *simproto.NodeEntry) placer.Node {
	node := placer.Node{
		ID:         placer.NodeID(entry.Node),
		Zone:       int(entry.Zone),
		Rack:       int(entry.Rack),
		NodeType:   int(entry.NodeType),
		State:      placer.Terminated,
		FreeCores:  float64(entry.FreeCores),
		FreeMemory: float64(entry.FreeMemory),
		StartedAt:  placer.Seconds(entry.StartedAt),
	}
	switch entry.State {
	case simproto.NodeReady:
		node.State = placer.Ready
	case simproto.NodeDraining:
		node.State = placer.Draining
	}
	return node
}

func translateTask(ev *simproto.Event) placer.Task {
	return placer.Task{
		ID:       placer.TaskID(ev.ID),
		Class:    int(ev.Class),
		Tenant:   int(ev.Tenant),
		Service:  placer.ServiceID(ev.Service),
		Cores:    float64(ev.Cores),
		Memory:   float64(ev.Memory),
		Deadline: placer.Seconds(ev.Deadline),
		IsRetry:  ev.Flags&simproto.RetryFlags != 0,
	}
}

func translateStatus(status uint16) (placer.Result, error) {
	switch status {
	case simproto.StatusFinished:
		return placer.Finished, nil
	case simproto.StatusErrored:
		return placer.Errored, nil
	case simproto.StatusRejected:
		return placer.Rejected, nil
	case simproto.StatusTimedOut:
		return placer.TimedOut, nil
	case simproto.StatusUnreachable:
		return placer.Unreachable, nil
	case simproto.StatusLost:
		return placer.Lost, nil
	case simproto.StatusCancelled:
		return placer.Cancelled, nil
	case simproto.StatusExpired:
		return placer.Expired, nil
	}
	return 0, fmt.Errorf("outcome %d is not known", status)
}

// parseReport returns the values of a load report by the names of the settings, or nil if there are none. The result is
// valid until the next call.
func (in *instance) parseReport(values []float32) *placer.Report {
	if len(values) == 0 {
		return nil
	}
	in.report = simconfig.NoReport()
	for i, value := range values {
		if i < len(in.reportFields) {
			simconfig.SetReportField(&in.report, in.reportFields[i], float64(value))
		}
	}
	return &in.report
}
