//go:build linux

package eventloop

import "fmt"

// connState is a state in the life cycle of a connection. connTransitions lists the allowed transitions;
// none leads back to an earlier state.
type connState uint8

const (
	// stateDialing means that the connection is being established.
	stateDialing connState = iota
	// stateDialingThenClose means that CloseAfterFlush was called while the connection is being established.
	stateDialingThenClose
	// stateOpen means that the connection is established, and data can be read and written.
	stateOpen
	// stateClosing means that CloseAfterFlush was called. Queued output is still sent, and received bytes
	// are discarded.
	stateClosing
	// stateLingering means that the write side is shut down and the connection waits for the peer to close
	// the connection. Received bytes are discarded.
	stateLingering
	// stateClosed means that the socket is closed.
	stateClosed
)

var connStateNames = [...]string{"dialing", "dialing then close", "open", "closing", "lingering", "closed"}

func (s connState) String() string { return connStateNames[s] }

// connTransitions lists the states that may follow each state.
var connTransitions = [...][]connState{
	stateDialing:          {stateDialingThenClose, stateOpen, stateClosed},
	stateDialingThenClose: {stateClosing, stateClosed},
	stateOpen:             {stateClosing, stateClosed},
	stateClosing:          {stateLingering, stateClosed},
	stateLingering:        {stateClosed},
	stateClosed:           {},
}

func (s connState) isDialing() bool { return s == stateDialing || s == stateDialingThenClose }

// acceptsOutput reports whether output may be queued in this state.
func (s connState) acceptsOutput() bool { return s == stateDialing || s == stateOpen }

// discardsInput reports whether received bytes are discarded because the connection is closing.
func (s connState) discardsInput() bool { return s == stateClosing || s == stateLingering }

// setState changes the state of the connection. No other code may assign it. A transition that
// connTransitions does not list is a bug in this package, and setState panics.
func (c *Conn) setState(next connState) {
	for _, allowed := range connTransitions[c.state] {
		if next == allowed {
			c.state = next
			return
		}
	}
	panic(fmt.Sprintf("eventloop: illegal transition of a connection from state %s to %s", c.state, next))
}
