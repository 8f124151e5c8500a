// Package fault names what stand-ins can be made to do wrong. It is pure data, shared by those who order faults and those who
// carry them out.
package fault

// Node is what a machine can be made to do wrong, each for so many seconds from the order. Class bounds Error to one class.
type Node struct {
	Reject      float64 `json:"refuse,omitempty"`     // refuses as full
	Stall       float64 `json:"stall,omitempty"`      // decides and starts nothing
	LoseAnswer  float64 `json:"loseAnswer,omitempty"` // accepts, and breaks the connection in place of the answer
	Reset       float64 `json:"reset,omitempty"`      // breaks the connection before looking at the offer
	Trickle     float64 `json:"trickle,omitempty"`    // lets each answer trickle, a few bytes at a time
	Error       float64 `json:"error,omitempty"`      // answers 500
	Class       string  `json:"class,omitempty"`
	Crash       float64 `json:"crash,omitempty"` // dies with all it holds and comes back cold after that long
	Unreachable float64 `json:"cut,omitempty"`   // cannot be reached; its tasks run on
	Drain       *bool   `json:"drain,omitempty"` // a state
	ClockSkew   float64 `json:"clock,omitempty"` // its clock is so many seconds ahead from now on; below 0 behind
}

// Inventory is what an inventory can be made to do wrong, in seconds from the order.
type Inventory struct {
	Unreachable float64  `json:"cut,omitempty"`   // out of reach
	Empty       float64  `json:"empty,omitempty"` // shows no machines
	Hide        []string `json:"hide,omitempty"`  // machines taken out until the next order
}

// NodeState is what a machine does wrong now: until when, in Unix seconds, and how far its clock is ahead. Stall, Crash, Cut and Drain act on
// the machine itself and are not kept here.
type NodeState struct {
	RejectUntil, LoseAnswerUntil, ResetUntil, TrickleUntil float64
	errorUntil                                             float64
	errorClass                                             string
	ClockSkew                                              float64
}

// Apply takes an order at the given time.
func (s *NodeState) Apply(now float64, fault Node) {
	set := func(until *float64, seconds float64) {
		if seconds != 0 {
			*until = now + seconds
		}
	}
	set(&s.RejectUntil, fault.Reject)
	set(&s.LoseAnswerUntil, fault.LoseAnswer)
	set(&s.ResetUntil, fault.Reset)
	set(&s.TrickleUntil, fault.Trickle)
	if fault.ClockSkew != 0 {
		s.ClockSkew = fault.ClockSkew
	}
	if fault.Error != 0 {
		s.errorUntil, s.errorClass = now+fault.Error, fault.Class
	}
}

// FailsClass says whether offers of a class are answered with an error.
func (s *NodeState) FailsClass(now float64, class string) bool {
	return now < s.errorUntil && (s.errorClass == "" || s.errorClass == class)
}
