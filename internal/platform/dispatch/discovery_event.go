package dispatch

import (
	"encoding/json"
	"fmt"

	"heathshed/placer"
)

// discoveryEvent is one event of the discovery stream. The JSON keys are defined by the platform.
type discoveryEvent struct {
	Number   uint64    `json:"no"`
	NodeList *nodeList `json:"roster"` // NodeList is nil if the event contains no node list.
}

// nodeList is the list of nodes in a discovery event. It contains all nodes of the platform if Complete is
// set, otherwise only the nodes that have changed.
type nodeList struct {
	Revision uint64      `json:"rev"`
	Complete bool        `json:"all"`
	Nodes    []nodeEntry `json:"targets"`
}

// nodeEntry describes one node in a discovery event.
type nodeEntry struct {
	UID         string     `json:"uid"`
	Endpoint    string     `json:"endpoint"`
	Zone        string     `json:"az"`
	NodeType    string     `json:"model"`
	Rack        int        `json:"pod_group"`
	State       string     `json:"state"`
	StartedAtMS float64    `json:"boot_ms"`
	Free        [2]float64 `json:"open"` // Free contains the number of free cores and the amount of free memory.
}

// startTimeRange is the range of start times in Unix milliseconds. Its end lies some 30,000 years ahead.
var startTimeRange = figureRange{0, 1e15}

// freeIsValid reports whether the free capacity is in range.
func (e *nodeEntry) freeIsValid() bool {
	valid := figureRange{-maxResourceAmount, maxResourceAmount}
	return valid.contains(e.Free[0]) && valid.contains(e.Free[1])
}

// invalidFigure returns an error that names the first entry with a figure that is out of range, and nil if
// there is none.
func (l *nodeList) invalidFigure() error {
	for i := range l.Nodes {
		entry := &l.Nodes[i]
		if !entry.freeIsValid() || !startTimeRange.contains(entry.StartedAtMS) {
			return invalidMessage(InvalidFigure, "targets[%d] (node %.40q): free capacity %g or start time %g is out of range and left out", i, entry.UID, entry.Free, entry.StartedAtMS)
		}
	}
	return nil
}

// initialEventList is the part of the platform's configuration that contains the discovery events from before
// the scheduler start.
type initialEventList struct {
	Number uint64           `json:"no"` // Number is the sequence number of the last event.
	Events []discoveryEvent `json:"items"`
}

// parseDiscoveryEvent parses one event of the discovery stream.
func parseDiscoveryEvent(data []byte) (*discoveryEvent, error) {
	var event discoveryEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, fmt.Errorf("parse discovery event: %w", err)
	}
	return &event, nil
}

// validate returns an error if an entry of the event's node list is invalid.
func (e *discoveryEvent) validate() error {
	if e.NodeList == nil {
		return nil
	}
	for i := range e.NodeList.Nodes {
		entry := &e.NodeList.Nodes[i]
		if _, valid := parseNodeState(entry.State); !valid || entry.UID == "" {
			return fmt.Errorf("discovery event %d: targets[%d] has UID %q and state %q, want a UID that is not empty and a known state", e.Number, i, entry.UID, entry.State)
		}
	}
	return nil
}

func parseNodeState(text string) (state placer.NodeState, valid bool) {
	switch text {
	case "in_service":
		return placer.Ready, true
	case "terminating":
		return placer.Draining, true
	case "terminated":
		return placer.Terminated, true
	}
	return 0, false
}
