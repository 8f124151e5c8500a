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

// unresponsiveTimeout and refusedTimeout are the times after which a node that runs tasks is declared
// unreachable. Clients must be notified within 8 s of the end of a task, which limits both. A node that
// refuses connections is not declared unreachable at once, because its process may be restarting.
const (
	unresponsiveTimeout = 6 * time.Second
	refusedTimeout      = time.Second
)

// slotHoldTime is how long a connection to a node that runs tasks keeps its slot if more such nodes exist
// than slots. The nodes then use the slots in turn, so that each can report within 8 s how its tasks ended.
const slotHoldTime = 2 * time.Second

// minDialBackoff and maxDialBackoff are the bounds of the delay between dials of one node.
const (
	minDialBackoff = 200 * time.Millisecond
	maxDialBackoff = time.Second
)

// errNoConnectionSlot is the error of a dial that was not started because all connection slots for nodes were
// in use.
var errNoConnectionSlot = errors.New("all connection slots for nodes are in use")

// nodeLinks contains the links to all nodes and limits the number of their connections.
type nodeLinks struct {
	server       *Server
	byID         map[placer.NodeID]*nodeLink
	lastConnID   dispatch.NodeConnID
	openConns    int // openConns includes the connections that are being dialed.
	maxConns     int
	slotHoldTime time.Duration              // slotHoldTime is the constant slotHoldTime, except in tests.
	keepAlive    connpool.MultiplexedPolicy // keepAlive is the keep-alive policy of all connections.
	reachability connpool.Reachability      // reachability is the initial state of each link.
	linksToDial  []*nodeLink                // linksToDial is reused by reconnect to avoid allocations.
}

// newNodeLinks returns the links of a server. maxIdle is the time without a request after which a connection
// is closed; 0 means never.
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

// linkTo returns the link to a node. It creates the link if there is none.
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

// updateAddresses closes the connections to nodes whose address has changed. Later connections use the new
// address.
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

// nextConnID returns the ID of a new connection.
func (links *nodeLinks) nextConnID() dispatch.NodeConnID {
	links.lastConnID++
	return links.lastConnID
}

// takeSlot and releaseSlot count the connections that use a slot. A connection uses a slot from its dial
// until it ends.
func (links *nodeLinks) takeSlot() { links.openConns++ }

func (links *nodeLinks) releaseSlot() { links.openConns-- }

// maintain updates the connections of all links and dials the nodes that need a connection.
func (links *nodeLinks) maintain() {
	for _, link := range links.byID {
		link.maintain()
	}
	links.reconnect()
}

// reconnect dials the nodes that need a connection, beginning with the one that has been without a connection
// for the longest time. If more nodes need a connection than slots exist, this order gives each node a
// connection before a report of a task's end is overdue.
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

// ensureSlot reports whether one more connection to a node may be opened. It evicts a connection if all slots
// are in use.
func (links *nodeLinks) ensureSlot() bool {
	return links.openConns < links.maxConns || links.evict()
}

// evict closes the connection to a node that is least likely to be needed. It reports whether there was a
// connection that could be closed.
func (links *nodeLinks) evict() bool {
	now := links.server.loop.Now()
	var candidates []memquota.EvictionCandidate
	var conns []*nodeConn
	for _, link := range links.byID {
		for _, nc := range link.conns {
			holdsSlot := link.hasTasks && now.Sub(nc.establishedAt) < links.slotHoldTime
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
	conns[i].conn.Close()
	return true
}
