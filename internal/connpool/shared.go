package connpool

// Shared bounds connections that carry many requests at a time, to one machine. Times are in seconds.
//
// A test is a message that the other end answers at once, however busy it is: it tells a slow machine, which has to be waited for, from a
// connection that stays open and carries nothing any more, on which waiting is in vain.
type Shared struct {
	MaxIdle   float64 // closed after so long without a request, where nothing is expected of the other end; 0 keeps it
	TestAfter float64 // tested after so long without a word, while something is expected
	TestFor   float64 // a test without an answer for so long: of no further use
}

// DefaultShared suits machines that answer tests at once over a network of a few milliseconds.
func DefaultShared() Shared { return Shared{TestAfter: 1, TestFor: 0.5} }

// State is that of one such connection. Times are points on one clock.
type State struct {
	Requests int     // without an answer
	Held     bool    // the machine holds something whose end it will tell
	Spare    bool    // another connection serves as well
	Used     float64 // when a request last went out
	Heard    float64 // when anything last came in
	Tested   float64 // when the test went out that is still to be answered; 0 if none is
	Cut      float64 // since when the last message has been incomplete; 0 if it is not
}

// Usable says whether requests may go out on the connection: not while a test or the rest of a message is waited for.
func (s State) Usable() bool { return s.Tested == 0 && s.Cut == 0 }

// Upkeep is what to do with a connection.
type Upkeep uint8

// The kinds of upkeep.
const (
	Leave  Upkeep = iota // nothing
	Test                 // send a test
	Retire               // close it: nothing is lost with it
	Break                // close it: it carries nothing any more, what is open on it has to be taken for lost
)

// KeepAlive decides for one connection.
func (p Shared) KeepAlive(now float64, s State) Upkeep {
	switch {
	case s.Cut > 0 && now-s.Cut > p.TestFor:
		return Break
	case s.Tested > 0:
		if now-s.Tested > p.TestFor {
			return Break
		}
	case (s.Requests > 0 || s.Held) && now-max(s.Heard, s.Used) > p.TestAfter:
		return Test
	case s.Requests == 0 && p.MaxIdle > 0 && now-s.Used > p.MaxIdle && (!s.Held || s.Spare):
		return Retire
	}
	return Leave
}

// Reach judges from connections and dials whether a machine that holds tasks is still there. A machine that has vanished or is cut off gives
// no sign: open connections stay silent and new ones never come up. One whose process has ended refuses.
type Reach struct {
	SilentFor  float64 // seconds without any word, dials failing, after which it is taken for lost
	RefusedFor float64 // and seconds of refusals

	word, refused float64
	failed        bool // a dial, since the last word
}

// Heard tells that something came from the machine, or that a connection came up.
func (r *Reach) Heard(now float64) { r.word, r.refused, r.failed = now, 0, false }

// Failed tells that a dial failed, and whether it was refused rather than left without an answer.
func (r *Reach) Failed(now float64, refused bool) {
	if r.word == 0 {
		r.word = now
	}
	r.failed = true
	switch {
	case !refused:
		r.refused = 0
	case r.refused == 0:
		r.refused = now
	}
}

// Loss is how a machine is lost.
type Loss uint8

// The kinds of loss. An Ended machine refuses connections: its process has ended, with all that ran in it. A Silent one may be cut off and run
// on.
const (
	Present Loss = iota
	Ended
	Silent
)

// Lost says whether the machine is to be taken for lost, and how. One that was not dialled has not been silent.
func (r *Reach) Lost(now float64) Loss {
	switch {
	case r.refused > 0 && now-r.refused > r.RefusedFor:
		return Ended
	case r.failed && r.refused == 0 && now-r.word > r.SilentFor:
		return Silent
	}
	return Present
}
