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

// Times after which a node that runs tasks is declared unreachable. Clients must be notified within 8 s of the end of a task. A
// node that refuses connections may be a process that is being restarted.
const (
	unresponsiveTimeout = 6 * time.Second
	refusedTimeout      = time.Second
)

// slotHoldTime is how long a connection to a node that runs tasks keeps its slot where there are more such nodes than slots.
// They take turns then, so that each can report within 8 s how its tasks end.
const slotHoldTime = 2 * time.Second

// Bounds of the backoff between dials of one node.
const (
	minDialBackoff = 200 * time.Millisecond
	maxDialBackoff = time.Second
)

// errNoConnectionSlot fails a dial for which every connection slot of nodes is in use.
var errNoConnectionSlot = errors.New("no connection slot for a node is free")

// nodeLinks holds the links to all nodes and the connection slots that they share.
type nodeLinks struct {
	server       *Server
	byID         map[placer.NodeID]*nodeLink
	lastConnID   dispatch.NodeConnID
	openConns    int // those being dialed included
	maxConns     int
	slotHoldTime time.Duration              // see the constant
	keepAlive    connpool.MultiplexedPolicy // of the connections
	reachability connpool.Reachability      // the initial state of each link
	disconnected []*nodeLink                // reused by reconnect
}

// newNodeLinks returns the links of a server. maxIdle is after how long without a request a connection is closed; 0 for never.
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

// linkTo returns the link to a node, a new one if there is none.
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

// updateAddresses closes the connections to nodes whose address has changed; the next ones go to the new address.
func (links *nodeLinks) updateAddresses() {
	links.server.core.EachNode(func(node *dispatch.Node) {
		link := links.byID[node.ID]
		if link != nil && link.addr != node.Addr {
			link.addr = node.Addr
			link.closeConns()
		}
	})
}

// remove forgets the link to a node.
func (links *nodeLinks) remove(link *nodeLink) { delete(links.byID, link.id) }

// nextConnID returns the number of a new connection.
func (links *nodeLinks) nextConnID() dispatch.NodeConnID {
	links.lastConnID++
	return links.lastConnID
}

// slotTaken and slotFreed count the connections that hold a slot, from the dial to the end.
func (links *nodeLinks) slotTaken() { links.openConns++ }

func (links *nodeLinks) slotFreed() { links.openConns-- }

// maintain closes connections that are of no further use, and dials the nodes that need one.
func (links *nodeLinks) maintain() {
	for _, link := range links.byID {
		link.maintain()
	}
	links.reconnect()
}

// reconnect dials the nodes that need a connection, those first that have been without one for longest. Where there are more of them
// than slots they take turns, and each has its turn before the end of a task there is overdue.
func (links *nodeLinks) reconnect() {
	now := links.server.loop.Now()
	links.disconnected = links.disconnected[:0]
	for _, link := range links.byID {
		if link.isDialDue(now) {
			links.disconnected = append(links.disconnected, link)
		}
	}
	slices.SortFunc(links.disconnected, func(a, b *nodeLink) int {
		return cmp.Or(cmp.Compare(a.disconnectedAt, b.disconnectedAt), cmp.Compare(a.id, b.id))
	})
	for _, link := range links.disconnected {
		if !links.ensureSlot() {
			return
		}
		link.dial()
	}
}

// ensureSlot reports whether one more connection to a node may be opened. If all slots are in use, it tries to free one.
func (links *nodeLinks) ensureSlot() bool {
	return links.openConns < links.maxConns || links.evict()
}

// evict closes the connection to a node that is least likely to be needed, and reports whether there was one to close.
func (links *nodeLinks) evict() bool {
	now := links.server.loop.Now()
	var candidates []memquota.Candidate
	var conns []*nodeConn
	for _, link := range links.byID {
		for _, nc := range link.conns {
			holdsSlot := link.hasTasks && now.Sub(nc.establishedAt) < links.slotHoldTime
			candidates = append(candidates, memquota.Candidate{
				Busy:        len(nc.attempts) > 0 || holdsSlot,
				Established: link.hasTasks,
				Idle:        now.Sub(nc.keepAlive.LastSent),
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
