//go:build linux

package server

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"heathshed/internal/control/connpool"
	"heathshed/internal/control/memquota"
	"heathshed/internal/platform/dispatch"
	"heathshed/placer"
)

// unresponsiveTimeout and refusedTimeout determine when a node that runs tasks is declared unreachable. Both
// must be shorter than 8 s, because a client must be notified within 8 s after its task has ended.
const (
	// unresponsiveTimeout is how long the node may send no data while dials to it fail. After this time, the
	// node is declared unreachable.
	unresponsiveTimeout = 6 * time.Second
	// refusedTimeout is how long the node must refuse connections before it is declared unreachable. A node
	// that refuses connections for a shorter time may just be restarting its process.
	refusedTimeout = time.Second
)

// slotHoldTime is the time for which a new connection to a node that runs tasks is not evicted. If more nodes
// run tasks than connection slots exist, the nodes use the slots in turn. With this hold time, each node gets
// a slot often enough to report within 8 s that a task has ended.
const slotHoldTime = 2 * time.Second

// minDialBackoff and maxDialBackoff are the bounds of the delay between a failed dial and the next dial of
// the same node.
const (
	minDialBackoff = 200 * time.Millisecond
	maxDialBackoff = time.Second
)

// errNoConnectionSlot is the error of a dial that was not started because all connection slots for nodes were
// in use.
var errNoConnectionSlot = errors.New("all connection slots for nodes are in use")

// errSilentConns is the error of a dial that was not started because the node answers on none of its
// connections.
var errSilentConns = errors.New("the node answers on none of its connections")

// nodeLinks contains the links to all nodes and limits the total number of node connections.
type nodeLinks struct {
	server       *Server
	byID         map[placer.NodeID]*nodeLink
	lastConnID   dispatch.NodeConnID
	openConns    int // openConns is the number of node connections, including those that are being dialed.
	maxConns     int
	slotHoldTime time.Duration              // slotHoldTime has the value of the constant slotHoldTime, except in tests.
	keepAlive    connpool.MultiplexedPolicy // keepAlive is the keep-alive policy of all node connections.
	reachability connpool.Reachability      // reachability is the initial value of nodeLink.reachability for each new link.
	linksToDial  []*nodeLink                // linksToDial is a buffer that reconnect reuses to avoid allocations.
	connStates   []*connpool.ConnState      // connStates is a buffer that nodeLink.connStates reuses to avoid allocations.
}

// newNodeLinks returns a nodeLinks that contains no links yet. A node connection on which no request was sent
// for the time maxIdle is closed as idle. If maxIdle is 0, no node connection is closed as idle.
func newNodeLinks(server *Server, maxConns int, maxIdle time.Duration) *nodeLinks {
	links := &nodeLinks{
		server:       server,
		byID:         map[placer.NodeID]*nodeLink{},
		maxConns:     maxConns,
		slotHoldTime: slotHoldTime,
		keepAlive:    connpool.DefaultMultiplexedPolicy(),
		reachability: connpool.Reachability{UnresponsiveAfter: unresponsiveTimeout, ProcessEndedAfter: refusedTimeout},
	}
	links.keepAlive.MaxIdle = maxIdle
	return links
}

// linkTo returns the link to a node. It creates the link if it does not exist.
func (links *nodeLinks) linkTo(id placer.NodeID) *nodeLink {
	link := links.byID[id]
	if link != nil {
		return link
	}
	link = &nodeLink{
		server:       links.server,
		id:           id,
		backoff:      newBackoff(minDialBackoff, maxDialBackoff),
		reachability: links.reachability,
	}
	if node := links.server.core.Node(id); node != nil {
		link.addr = node.Addr
	}
	links.byID[id] = link
	return link
}

// updateAddresses closes the connections to each node whose address has changed. Later connections to the
// node use the new address.
func (links *nodeLinks) updateAddresses() {
	links.server.core.EachNode(func(node *dispatch.Node) {
		link := links.byID[node.ID]
		if link != nil && link.addr != node.Addr {
			link.addr = node.Addr
			link.closeConns()
		}
	})
}

// remove deletes the link to a node.
func (links *nodeLinks) remove(link *nodeLink) { delete(links.byID, link.id) }

// nextConnID returns an ID for a new node connection.
func (links *nodeLinks) nextConnID() dispatch.NodeConnID {
	links.lastConnID++
	return links.lastConnID
}

// takeSlot and releaseSlot count the node connections that use a connection slot. A connection uses a slot
// from the time at which its dial starts until the connection ends.
func (links *nodeLinks) takeSlot() { links.openConns++ }

func (links *nodeLinks) releaseSlot() { links.openConns-- }

// maintain calls maintain for each link and then dials the nodes that need a connection.
func (links *nodeLinks) maintain() {
	for _, link := range links.byID {
		link.maintain()
	}
	links.reconnect()
}

// reconnect dials the nodes that need a connection. It begins with the node that has been without a
// connection for the longest time. With this order, each node gets a connection in time to report that a task
// has ended, even if more nodes need a connection than slots exist.
func (links *nodeLinks) reconnect() {
	now := links.server.loop.Now()
	links.linksToDial = links.linksToDial[:0]
	for _, link := range links.byID {
		if link.isDialDue(now) {
			links.linksToDial = append(links.linksToDial, link)
		}
	}
	slices.SortFunc(links.linksToDial, func(a, b *nodeLink) int {
		return cmp.Or(cmp.Compare(a.disconnectedAt, b.disconnectedAt), cmp.Compare(a.id, b.id))
	})
	for _, link := range links.linksToDial {
		if !links.ensureSlot() {
			return
		}
		link.dial()
	}
}

// ensureSlot reports whether one more node connection may be opened. If all connection slots for nodes are in
// use, it tries to evict a node connection.
func (links *nodeLinks) ensureSlot() bool {
	return links.openConns < links.maxConns || links.evict()
}

// evict closes the node connection that is least likely to be needed and returns true. If every node
// connection is busy, it closes none and returns false.
func (links *nodeLinks) evict() bool {
	now := links.server.loop.Now()
	var candidates []memquota.EvictionCandidate
	var conns []*nodeConn
	for _, link := range links.byID {
		for _, nc := range link.conns {
			holdsSlot := link.hasTasks && now.Sub(nc.keepAlive.OpenedAt) < links.slotHoldTime
			candidates = append(candidates, memquota.EvictionCandidate{
				Busy:        len(nc.attempts) > 0 || holdsSlot,
				Established: link.hasTasks,
				IdleTime:    now.Sub(nc.keepAlive.LastSent),
			})
			conns = append(conns, nc)
		}
	}
	i := memquota.SelectEviction(candidates)
	if i < 0 {
		return false
	}
	conns[i].closeAsSurplus()
	return true
}
