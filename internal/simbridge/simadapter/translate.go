package simadapter

import (
	"fmt"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/simbridge/simproto"
	"heathshed/placer"
)

// translateEvent converts an event record to an event of the placer. It returns false for events that the
// placer does not use: the results of health checks and the messages of peers.
func (inst *instance) translateEvent(record *simproto.Event, lists *[simproto.MaxNodeLists][]placer.Node) (placer.Event, bool, error) {
	event := placer.Event{TaskID: placer.TaskID(record.TaskID), Node: placer.NodeID(record.Node), Attempt: int(record.Attempt)}
	var err error
	switch record.Code {
	case simproto.EventNodesListed:
		event.Kind = placer.NodesListed
		event.List, event.Nodes, err = lookupNodeList(record, lists)
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
		event.Result, err = translateResult(record.Status)
		event.Report = inst.parseLoadReport(record.LoadValues)
	case simproto.EventTaskWithdrawn:
		event.Kind = placer.Withdrawn
	case simproto.EventTimerFired:
		event.Kind, event.Token = placer.TimerFired, record.Token
	default:
		return event, false, nil
	}
	return event, err == nil, err
}

// lookupNodeList returns the kind of the node list to which the record refers, and the nodes of that list. It
// returns no nodes if the request for the list failed.
func lookupNodeList(record *simproto.Event, lists *[simproto.MaxNodeLists][]placer.Node) (placer.ListKind, []placer.Node, error) {
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
		return kind, nil, fmt.Errorf("unknown list kind %d", record.ListKind)
	}
	if int(record.ListNumber) >= len(lists) {
		return kind, nil, fmt.Errorf("node list number %d exceeds the maximum %d", record.ListNumber, len(lists)-1)
	}
	return kind, lists[record.ListNumber], nil
}

// translateNode converts an entry of a node list to a node of the placer.
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

// translateTask converts the task of an event record to a task of the placer.
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

// translateResult converts the outcome of an attempt to a result of the placer.
func translateResult(status simproto.Status) (placer.Result, error) {
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
	return 0, fmt.Errorf("unknown status %d of an attempt", status)
}

// parseLoadReport returns the load report with the given values, which are in the order of the report fields
// in the settings. It ignores values beyond the last field and returns nil if there are no values. The result
// is valid until the next call of parseLoadReport.
func (inst *instance) parseLoadReport(values []float32) *placer.Report {
	if len(values) == 0 {
		return nil
	}
	inst.loadReport = simconfig.EmptyReport()
	for i, value := range values {
		if i < len(inst.reportFields) {
			simconfig.SetReportField(&inst.loadReport, inst.reportFields[i], float64(value))
		}
	}
	return &inst.loadReport
}
