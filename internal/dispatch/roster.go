package dispatch

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heathshed/placer"
)

// discoveryEvent is one event of the bulletin.
type discoveryEvent struct {
	Number   uint64 `json:"no"`
	NodeList *struct {
		Revision uint64      `json:"rev"`
		Complete bool        `json:"all"`
		Nodes    []nodeEntry `json:"targets"`
	} `json:"roster"`
}

type nodeEntry struct {
	UID         string     `json:"uid"`
	Endpoint    string     `json:"endpoint"`
	Zone        string     `json:"az"`
	NodeType    string     `json:"model"`
	Rack        int        `json:"pod_group"`
	State       string     `json:"state"`
	StartedAtMS float64    `json:"boot_ms"`
	Free        [2]float64 `json:"open"`
}

// knownEventList is the configuration's list of the events before the start.
type knownEventList struct {
	Number uint64           `json:"no"`
	Events []discoveryEvent `json:"items"`
}

// Node is what the bulletin told of one machine.
type Node struct {
	ID        placer.NodeID
	UID       string
	Addr      string
	State     placer.NodeState
	StartedAt float64 // Unix seconds of a late start, 0 for long ago

	placerNode         placer.Node
	running            map[*Attempt]struct{}
	stateChangedAt     float64 // when its state last changed
	expiryScheduledFor float64 // the toldAt for which its tasks are about to be taken for lost
	removalScheduled   bool    // a timer is to forget it
}

// RunningTasks is the number of tasks that stand at the machine.
func (n *Node) RunningTasks() int { return len(n.running) }

// runningAttempts are those that stand at the machine, in order of their numbers.
func (n *Node) runningAttempts() []*Attempt {
	attempts := make([]*Attempt, 0, len(n.running))
	for attempt := range n.running {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return int(a.request.taskID) - int(b.request.taskID) })
	return attempts
}

// TerminatedFor is how long ago the bulletin said that the machine has gone, in seconds; 0 if it has not.
func (n *Node) TerminatedFor(now float64) float64 {
	if n.State != placer.Terminated {
		return 0
	}
	return now - n.stateChangedAt
}

// NodeIDOf is the module's number for a machine: the same at every scheduler, since all of them sort and draw by it. It has 48 bits, as
// many as an address on the simulator's wire.
func NodeIDOf(uid string) placer.NodeID {
	return placer.NodeID(xxhash.Sum64String(uid) & (1<<48 - 1))
}

// nodeID is the module's number for a machine that is known, or the one that it will have.
func (c *Core) nodeID(uid string) placer.NodeID {
	id := NodeIDOf(uid)
	for c.nodes[id] != nil && c.nodes[id].UID != uid {
		id++ // two names with one number
	}
	return id
}

// applyDiscoveryEvent enters one event of the bulletin and returns the entries that changed. One that cannot be used changes nothing.
func (c *Core) applyDiscoveryEvent(event *discoveryEvent) (changed []placer.Node, err error) {
	list := event.NodeList
	if list == nil {
		return nil, nil
	}
	for i := range list.Nodes {
		if entry := &list.Nodes[i]; entry.UID == "" || parseNodeState(entry.State) < 0 {
			return nil, fmt.Errorf("bulletin event %d: target %d: uid %q, state %q", event.Number, i, entry.UID, entry.State)
		}
	}
	listed := map[placer.NodeID]bool{}
	for i := range list.Nodes {
		entry := &list.Nodes[i]
		id := c.nodeID(entry.UID)
		node := c.nodes[id]
		if node == nil {
			node = &Node{ID: id, UID: entry.UID, State: placer.Terminated, running: map[*Attempt]struct{}{}}
			c.nodes[id] = node
		}
		listed[id] = true
		previous := node.State
		node.Addr, node.State, node.StartedAt = entry.Endpoint, placer.NodeState(parseNodeState(entry.State)), entry.StartedAtMS/1000
		if previous != node.State {
			node.stateChangedAt = c.now
		}
		node.placerNode = placer.Node{ID: id, Zone: slices.Index(c.settings.Zones, entry.Zone), Rack: entry.Rack, NodeType: slices.Index(c.settings.NodeTypes, entry.NodeType),
			State: node.State, FreeCores: entry.Free[0], FreeMemory: entry.Free[1], StartedAt: node.StartedAt}
		changed = append(changed, node.placerNode)
	}
	if list.Complete {
		for id, node := range c.nodes {
			if !listed[id] && node.State != placer.Terminated {
				node.State, node.placerNode.State, node.stateChangedAt = placer.Terminated, placer.Terminated, c.now
			}
		}
	}
	return changed, nil
}

func parseNodeState(text string) int {
	switch text {
	case "in_service":
		return int(placer.Ready)
	case "terminating":
		return int(placer.Draining)
	case "terminated":
		return int(placer.Terminated)
	}
	return -1
}

// ReceiveDiscoveryEvent takes one event of the bulletin. ok says that the numbers had no gap; where they had, the event was not entered and the stream
// is to be asked again from Last on.
func (c *Core) ReceiveDiscoveryEvent(now float64, data []byte) (ok bool, err error) {
	c.setTime(now)
	var event discoveryEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return false, fmt.Errorf("bulletin event: %w", err)
	}
	switch {
	case event.Number <= c.lastDiscoveryEvent:
		return true, nil // had already
	case event.Number > c.lastDiscoveryEvent+1:
		return false, nil
	}
	changed, err := c.applyDiscoveryEvent(&event)
	if err != nil {
		return false, err
	}
	c.lastDiscoveryEvent = event.Number
	if event.NodeList == nil {
		return true, nil
	}
	kind := placer.Changes
	if event.NodeList.Complete {
		kind = placer.FullList
	}
	c.handleNodesListed(kind, changed)
	c.runEvents()
	return true, nil
}

// handleNodesListed tells the module and looks after what stood at machines that have gone or begun a new life.
func (c *Core) handleNodesListed(kind placer.ListKind, changed []placer.Node) {
	c.listRequested = false
	c.post(placer.Event{Kind: placer.NodesListed, List: kind, Nodes: changed})
	for _, node := range c.nodes {
		if node.State == placer.Terminated {
			c.scheduleTaskExpiry(node)
			c.scheduleNodeRemoval(node)
			continue
		}
		for attempt := range node.running {
			if node.StartedAt > attempt.runningSince+incarnationTolerance {
				c.endTask(attempt, placer.Lost, placer.NoReason, nil, causeLost) // of a life that is over
			}
		}
	}
	c.effects = append(c.effects, Effect{Kind: NodesChanged})
}

// LastDiscoveryEvent is the number of the last event of the bulletin that was entered.
func (c *Core) LastDiscoveryEvent() uint64 { return c.lastDiscoveryEvent }

// SetDiscoveryConnected tells whether the bulletin is being listened to. The module's calls for the list are answered from the stream: what it tells
// is handed on as it comes, so a call has its answer at once while the stream stands, and fails when a try to open it has failed.
func (c *Core) SetDiscoveryConnected(now float64, connected bool) {
	c.setTime(now)
	c.discoveryConnected = connected
	if c.listRequested {
		c.listRequested = false
		if connected {
			c.post(placer.Event{Kind: placer.NodesListed, List: placer.Changes})
		} else {
			c.post(placer.Event{Kind: placer.NodesListed, List: placer.ListFailed})
		}
	}
	c.runEvents()
}
