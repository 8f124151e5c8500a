package dispatch

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heathshed/placer"
)

// bulletinEvent is one event of the bulletin.
type bulletinEvent struct {
	No     uint64 `json:"no"`
	Roster *struct {
		Rev     uint64  `json:"rev"`
		All     bool    `json:"all"`
		Targets []entry `json:"targets"`
	} `json:"roster"`
}

type entry struct {
	UID      string     `json:"uid"`
	Endpoint string     `json:"endpoint"`
	Zone     string     `json:"az"`
	Kind     string     `json:"model"`
	Rack     int        `json:"pod_group"`
	State    string     `json:"state"`
	BootMS   float64    `json:"boot_ms"`
	Open     [2]float64 `json:"open"`
}

// known is the configuration's list of the events before the start.
type known struct {
	No    uint64          `json:"no"`
	Items []bulletinEvent `json:"items"`
}

// Node is what the bulletin told of one machine.
type Node struct {
	ID        placer.NodeID
	UID       string
	Addr      string
	State     placer.NodeState
	StartedAt float64 // Unix seconds of a late start, 0 for long ago

	entry    placer.Node
	standing map[*Attempt]struct{}
	toldAt   float64 // when its state last changed
	lostAt   float64 // the toldAt for which its tasks are about to be taken for lost
	leaving  bool    // a timer is to forget it
}

// RunningTasks is the number of tasks that stand at the machine.
func (n *Node) RunningTasks() int { return len(n.standing) }

// tasks are those that stand at the machine, in order of their numbers.
func (n *Node) tasks() []*Attempt {
	all := make([]*Attempt, 0, len(n.standing))
	for o := range n.standing {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b *Attempt) int { return int(a.t.id) - int(b.t.id) })
	return all
}

// TerminatedFor is how long ago the bulletin said that the machine has gone, in seconds; 0 if it has not.
func (n *Node) TerminatedFor(now float64) float64 {
	if n.State != placer.Gone {
		return 0
	}
	return now - n.toldAt
}

// NodeIDOf is the module's number for a machine: the same at every scheduler, since all of them sort and draw by it. It has 48 bits, as
// many as an address on the simulator's wire.
func NodeIDOf(uid string) placer.NodeID {
	return placer.NodeID(xxhash.Sum64String(uid) & (1<<48 - 1))
}

// number is the module's number for a machine that is known, or the one that it will have.
func (c *Core) number(uid string) placer.NodeID {
	id := NodeIDOf(uid)
	for c.nodes[id] != nil && c.nodes[id].UID != uid {
		id++ // two names with one number
	}
	return id
}

// apply enters one event of the bulletin and returns the entries that changed. One that cannot be used changes nothing.
func (c *Core) apply(ev *bulletinEvent) (changed []placer.Node, err error) {
	r := ev.Roster
	if r == nil {
		return nil, nil
	}
	for i := range r.Targets {
		if e := &r.Targets[i]; e.UID == "" || state(e.State) < 0 {
			return nil, fmt.Errorf("bulletin event %d: target %d: uid %q, state %q", ev.No, i, e.UID, e.State)
		}
	}
	listed := map[placer.NodeID]bool{}
	for i := range r.Targets {
		e := &r.Targets[i]
		id := c.number(e.UID)
		n := c.nodes[id]
		if n == nil {
			n = &Node{ID: id, UID: e.UID, State: placer.Gone, standing: map[*Attempt]struct{}{}}
			c.nodes[id] = n
		}
		listed[id] = true
		was := n.State
		n.Addr, n.State, n.StartedAt = e.Endpoint, placer.NodeState(state(e.State)), e.BootMS/1000
		if was != n.State {
			n.toldAt = c.now
		}
		n.entry = placer.Node{ID: id, Zone: slices.Index(c.s.Zones, e.Zone), Rack: e.Rack, NodeType: slices.Index(c.s.NodeTypes, e.Kind),
			State: n.State, FreeCores: e.Open[0], FreeMemory: e.Open[1], StartedAt: n.StartedAt}
		changed = append(changed, n.entry)
	}
	if r.All {
		for id, n := range c.nodes {
			if !listed[id] && n.State != placer.Gone {
				n.State, n.entry.State, n.toldAt = placer.Gone, placer.Gone, c.now
			}
		}
	}
	return changed, nil
}

func state(s string) int {
	switch s {
	case "in_service":
		return int(placer.Ready)
	case "terminating":
		return int(placer.Draining)
	case "terminated":
		return int(placer.Gone)
	}
	return -1
}

// ReceiveDiscoveryEvent takes one event of the bulletin. ok says that the numbers had no gap; where they had, the event was not entered and the stream
// is to be asked again from Last on.
func (c *Core) ReceiveDiscoveryEvent(now float64, data []byte) (ok bool, err error) {
	c.tick(now)
	var ev bulletinEvent
	if err := json.Unmarshal(data, &ev); err != nil {
		return false, fmt.Errorf("bulletin event: %w", err)
	}
	switch {
	case ev.No <= c.last:
		return true, nil // had already
	case ev.No > c.last+1:
		return false, nil
	}
	changed, err := c.apply(&ev)
	if err != nil {
		return false, err
	}
	c.last = ev.No
	if ev.Roster == nil {
		return true, nil
	}
	kind := placer.Changes
	if ev.Roster.All {
		kind = placer.FullList
	}
	c.listed(kind, changed)
	c.run()
	return true, nil
}

// listed tells the module and looks after what stood at machines that have gone or begun a new life.
func (c *Core) listed(kind placer.ListKind, changed []placer.Node) {
	c.asked = false
	c.post(placer.Event{Kind: placer.NodesListed, List: kind, Nodes: changed})
	for _, n := range c.nodes {
		if n.State == placer.Gone {
			c.expireTasks(n)
			c.expireNode(n)
			continue
		}
		for o := range n.standing {
			if n.StartedAt > o.bound+bootSlack {
				c.end(o, placer.Lost, placer.NoReason, nil, causeLost) // of a life that is over
			}
		}
	}
	c.out = append(c.out, Effect{Kind: NodesChanged})
}

// LastDiscoveryEvent is the number of the last event of the bulletin that was entered.
func (c *Core) LastDiscoveryEvent() uint64 { return c.last }

// SetDiscoveryConnected tells whether the bulletin is being listened to. The module's calls for the list are answered from the stream: what it tells
// is handed on as it comes, so a call has its answer at once while the stream stands, and fails when a try to open it has failed.
func (c *Core) SetDiscoveryConnected(now float64, on bool) {
	c.tick(now)
	c.streaming = on
	if c.asked {
		c.asked = false
		if on {
			c.post(placer.Event{Kind: placer.NodesListed, List: placer.Changes})
		} else {
			c.post(placer.Event{Kind: placer.NodesListed, List: placer.ListFailed})
		}
	}
	c.run()
}
