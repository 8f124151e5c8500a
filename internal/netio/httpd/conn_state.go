//go:build linux

package httpd

// connState is where a connection is in its present request: it reads it, then has its handler respond, and begins again
// with the next one, until it ends.
type connState uint8

const (
	// stateIdle: no byte of a request has come.
	stateIdle connState = iota
	// stateReadingHead: a request has begun.
	stateReadingHead
	// stateReadingBody: the head is complete, the body is not.
	stateReadingBody
	// stateHandling: the handler has the request and has not responded.
	stateHandling
	// stateResponding: the handler has responded; the response, if it is a stream, may go on.
	stateResponding
	// stateEnded: no request is read any more; the connection is closing or closed.
	stateEnded
)

var connStateNames = [...]string{"idle", "reading head", "reading body", "handling", "responding", "ended"}

func (s connState) String() string { return connStateNames[s] }

// connTransitions holds, for each state, the set of states that may follow it, as bits.
var connTransitions = [...]uint8{
	stateIdle:        1<<stateReadingHead | 1<<stateEnded,
	stateReadingHead: 1<<stateReadingBody | 1<<stateEnded,
	stateReadingBody: 1<<stateHandling | 1<<stateEnded,
	stateHandling:    1<<stateResponding | 1<<stateEnded,
	stateResponding:  1<<stateIdle | 1<<stateEnded,
	stateEnded:       0,
}

// readsRequest reports whether bytes received belong to the present request or begin one.
func (s connState) acceptsRequestBytes() bool { return s <= stateReadingBody }

// inRequest reports whether a request has begun and is not complete.
func (s connState) isReceivingRequest() bool { return s == stateReadingHead || s == stateReadingBody }

// hasExchange reports whether the head of a request has come whose response is not complete.
func (s connState) hasUnfinishedExchange() bool {
	return s == stateReadingBody || s == stateHandling || s == stateResponding
}

// awaitsResponse reports whether the request is complete and its response is not.
func (s connState) awaitsResponseEnd() bool { return s == stateHandling || s == stateResponding }

// setState is the only place where a connection's state changes. An illegal transition is a fault of this package: it is counted and the
// state stays, since ending the program would end every other connection too.
func (c *conn) setState(next connState) {
	if connTransitions[c.state]&(1<<next) == 0 {
		c.server.IllegalTransitions++
		return
	}
	c.state = next
}
