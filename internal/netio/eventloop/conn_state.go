//go:build linux

package eventloop

import "fmt"

// connState is where a connection is in its life. It only moves forward: see connTransitions.
type connState uint8

const (
	// stateDialing: connect has begun and has not been answered.
	stateDialing connState = iota
	// stateDialingThenClose: CloseAfterFlush was called while dialing.
	stateDialingThenClose
	// stateOpen: established; reads and writes.
	stateOpen
	// stateClosing: CloseAfterFlush was called; queued output still goes out, received bytes are discarded.
	stateClosing
	// stateLingering: the write side is shut down; waits for the peer's end, discarding what it sends.
	stateLingering
	// stateClosed: the descriptor is closed.
	stateClosed
)

var connStateNames = [...]string{"dialing", "dialing then close", "open", "closing", "lingering", "closed"}

func (s connState) String() string { return connStateNames[s] }

// connTransitions holds, for each state, the states that may follow it.
var connTransitions = [...][]connState{
	stateDialing:          {stateDialingThenClose, stateOpen, stateClosed},
	stateDialingThenClose: {stateClosing, stateClosed},
	stateOpen:             {stateClosing, stateClosed},
	stateClosing:          {stateLingering, stateClosed},
	stateLingering:        {stateClosed},
	stateClosed:           {},
}

func (s connState) isDialing() bool { return s == stateDialing || s == stateDialingThenClose }

// acceptsOutput reports whether output may still be queued.
func (s connState) acceptsOutput() bool { return s == stateDialing || s == stateOpen }

// discardsInput reports whether received bytes are of no use any more.
func (s connState) discardsInput() bool { return s == stateClosing || s == stateLingering }

// setState is the only place where a connection's state changes. An illegal transition is a fault of this package.
func (c *Conn) setState(next connState) {
	for _, legal := range connTransitions[c.state] {
		if next == legal {
			c.state = next
			return
		}
	}
	panic(fmt.Sprintf("eventloop: connection goes from %s to %s", c.state, next))
}
