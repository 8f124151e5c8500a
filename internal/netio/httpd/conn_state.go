//go:build linux

package httpd

// connState is the progress of a connection with its current request. A connection receives a request,
// waits for the response of the handler, sends it, and repeats this for further requests until it is
// closed.
type connState uint8

const (
	// stateIdle means that no byte of the next request has been received.
	stateIdle connState = iota
	// stateReadingHead means that the request line or header is being received.
	stateReadingHead
	// stateReadingBody means that the head is complete and the body is being received.
	stateReadingBody
	// stateHandling means that the handler has received the request and has not called Exchange.Respond
	// yet.
	stateHandling
	// stateResponding means that the handler has called Exchange.Respond and the response is not complete.
	// This takes long only if the response body is a stream that still produces data.
	stateResponding
	// stateEnded means that the connection is closing or closed, and no further request is read.
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

// hasUnfinishedExchange reports whether the head of a request has been received and the response is not
// complete.
func (s connState) hasUnfinishedExchange() bool {
	return s == stateReadingBody || s == stateHandling || s == stateResponding
}

// awaitsResponseEnd reports whether the request has been received completely and the response is not
// complete.
func (s connState) awaitsResponseEnd() bool { return s == stateHandling || s == stateResponding }

// setState changes the state of the connection. No other code may assign it. A transition that
// connTransitions does not allow is a bug in this package. Server.IllegalTransitions counts such a
// transition, and the state stays as it is. setState does not panic, because a panic would end the
// process and close all other connections too.
func (c *conn) setState(next connState) {
	if connTransitions[c.state]&(1<<next) == 0 {
		c.server.IllegalTransitions++
		return
	}
	c.state = next
}
