package simadapter

import (
	"fmt"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/simbridge/simproto"
	"heathshed/placer"
)

// translate returns the event for the placer. It returns false for events that the placer does not use, which are the
// results of health checks and messages of peers.
func (in *instance) translate(record *simproto.Event, lists *[simproto.MaxNodeLists][]placer.Node) (placer.Event, bool, error) {
	event := placer.Event{TaskID: placer.TaskID(record.TaskID), Node: placer.NodeID(record.Node), Attempt: int(record.Attempt)}
	var err error
	switch record.Code {
	case simproto.EventNodesListed:
		event.Kind = placer.NodesListed
		event.List, event.Nodes, err = findList(record, lists)
	case simproto.EventTaskArrived:
		event.Kind, event.Task = placer.Arrived, translateTask(record)
	case simproto.EventTaskAdopted:
		event.Kind, event.Task = placer.Adopted, translateTask(record)
	case simproto.EventAttemptBound:
		event.Kind, event.Elapsed = placer.Bound, record.Elapsed
	case simproto.EventUsageReported:
		event.Kind, event.Usage, event.Value = placer.UsageReported, placer.UsageKind(record.UsageKind), float64(record.Value)
	case simproto.EventAttemptEnded:
		event.Kind, event.Elapsed, event.Final = placer.Ended, record.Elapsed, record.Final != 0
		event.Reason = placer.Reason(record.Reason)
		event.Result, err = translateStatus(record.Status)
		event.Report = in.parseReport(record.LoadValues)
	case simproto.EventTaskWithdrawn:
		event.Kind = placer.Withdrawn
	case simproto.EventTimerFired:
		event.Kind, event.Token = placer.TimerFired, record.Token
	default:
		return event, false, nil
	}
	return event, err == nil, err
}

// findList returns the kind of a node list and its nodes, or no nodes if the request for the list failed.
func findList(record *simproto.Event, lists *[simproto.MaxNodeLists][]placer.Node) (placer.ListKind, []placer.Node, error) {
	var kind placer.ListKind
	switch record.ListKind {
	case simproto.ListFull:
		kind = placer.FullList
	case simproto.ListCached:
		kind = placer.CachedList
	case simproto.ListFailed:
		return placer.ListFailed, nil, nil
	case simproto.ListChanges:
		kind = placer.Changes
	default:
		return kind, nil, fmt.Errorf("list kind %d is not known", record.ListKind)
	}
	if int(record.ListNumber) >= len(lists) {
		return kind, nil, fmt.Errorf("list number %d is over %d", record.ListNumber, len(lists)-1)
	}
	return kind, lists[record.ListNumber], nil
}

// translateNode returns an entry of a node list for the placer.
func translateNode(entry *simproto.NodeEntry) placer.Node {
	node := placer.Node{
		ID:         placer.NodeID(entry.Node),
		Zone:       int(entry.Zone),
		Rack:       int(entry.Rack),
		NodeType:   int(entry.NodeType),
		State:      placer.Terminated,
		FreeCores:  float64(entry.FreeCores),
		FreeMemory: float64(entry.FreeMemory),
		StartedAt:  entry.StartedAt,
	}
	switch entry.State {
	case simproto.NodeReady:
		node.State = placer.Ready
	case simproto.NodeDraining:
		node.State = placer.Draining
	}
	return node
}

// translateTask returns the task of an event for the placer.
func translateTask(record *simproto.Event) placer.Task {
	return placer.Task{
		ID:       placer.TaskID(record.TaskID),
		Class:    int(record.Class),
		Tenant:   int(record.Tenant),
		Service:  placer.ServiceID(record.Service),
		Cores:    float64(record.Cores),
		Memory:   float64(record.Memory),
		Deadline: record.Deadline,
		IsRetry:  record.Flags.IsRetry(),
	}
}

// translateStatus returns the result of an attempt for the placer.
func translateStatus(status simproto.Status) (placer.Result, error) {
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

// parseReport returns a load report, whose values are in the order of the settings' names, or nil if it has no values. The
// result is valid until the next call.
func (in *instance) parseReport(values []float32) *placer.Report {
	if len(values) == 0 {
		return nil
	}
	in.report = simconfig.EmptyReport()
	for i, value := range values {
		if i < len(in.reportFields) {
			simconfig.SetReportField(&in.report, in.reportFields[i], float64(value))
		}
	}
	return &in.report
}
