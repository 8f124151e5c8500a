//go:build linux

package httpd

// connState is the state of a connection with regard to its current request. A connection receives a
// request, waits for the response of the handler, sends it, and repeats this for further requests until it
// is closed.
type connState uint8

const (
	// stateIdle means that no byte of the next request has been received.
	stateIdle connState = iota
	// stateReadingHead means that the request line or header is being received.
	stateReadingHead
	// stateReadingBody means that the head is complete and the body is being received.
	stateReadingBody
	// stateHandling means that the handler has received the request and has not responded yet.
	stateHandling
	// stateResponding means that the handler has responded. A stream as the response body may still be
	// producing data.
	stateResponding
	// stateEnded means that no further request is read: the connection is closing or closed.
	stateEnded
)

var connStateNames = [...]string{"idle", "reading head", "reading body", "handling", "responding", "ended"}

func (s connState) String() string { return connStateNames[s] }

// connTransitions holds, for each state, a bit set of the states that may follow it.
var connTransitions = [...]uint8{
	stateIdle:        1<<stateReadingHead | 1<<stateEnded,
	stateReadingHead: 1<<stateReadingBody | 1<<stateEnded,
	stateReadingBody: 1<<stateHandling | 1<<stateEnded,
	stateHandling:    1<<stateResponding | 1<<stateEnded,
	stateResponding:  1<<stateIdle | 1<<stateEnded,
	stateEnded:       0,
}

// acceptsRequestBytes reports whether received bytes continue the current request or begin a new one.
func (s connState) acceptsRequestBytes() bool { return s <= stateReadingBody }

// isReceivingRequest reports whether a request has begun and is not complete.
func (s connState) isReceivingRequest() bool { return s == stateReadingHead || s == stateReadingBody }

// hasUnfinishedExchange reports whether the head of a request is complete and its response is not.
func (s connState) hasUnfinishedExchange() bool {
	return s == stateReadingBody || s == stateHandling || s == stateResponding
}

// awaitsResponseEnd reports whether the request is complete and its response is not.
func (s connState) awaitsResponseEnd() bool { return s == stateHandling || s == stateResponding }

// setState changes the state of the connection; no other code does. A transition that connTransitions does
// not allow is a bug in this package. It is counted and has no effect: a panic would close all other
// connections too.
func (c *conn) setState(next connState) {
	if connTransitions[c.state]&(1<<next) == 0 {
		c.server.IllegalTransitions++
		return
	}
	c.state = next
}
