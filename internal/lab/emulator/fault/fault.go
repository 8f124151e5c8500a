// Package fault names the faults that can be injected into emulated and simulated nodes and inventories. It is pure data, shared by those
// who order faults and those who carry them out.
package fault

import "heathshed/placer"

// Node orders faults of a node. Unless stated otherwise each field is the time in seconds, from the order, that a fault lasts; 0 leaves the
// fault as it is.
type Node struct {
	Reject      float64 `json:"refuse,omitempty"`     // rejects every request for want of cores
	Stall       float64 `json:"stall,omitempty"`      // decides and starts nothing
	LoseAnswer  float64 `json:"loseAnswer,omitempty"` // accepts, and breaks the connection in place of the answer
	Reset       float64 `json:"reset,omitempty"`      // breaks the connection before it reads the request
	Trickle     float64 `json:"trickle,omitempty"`    // sends each answer a few bytes at a time
	Error       float64 `json:"error,omitempty"`      // answers status 500
	Class       string  `json:"class,omitempty"`      // bounds Error to requests of one class
	Crash       float64 `json:"crash,omitempty"`      // loses all tasks, and comes back cold after that time
	Unreachable float64 `json:"cut,omitempty"`        // cannot be reached; its tasks run on
	Drain       *bool   `json:"drain,omitempty"`      // begins or cancels a drain
	ClockSkew   float64 `json:"clock,omitempty"`      // from now on its clock is so many seconds ahead; below 0 behind
}

// Inventory orders faults of an inventory. Times are in seconds from the order; 0 leaves the fault as it is.
type Inventory struct {
	Unreachable float64  `json:"cut,omitempty"`   // cannot be reached
	Empty       float64  `json:"empty,omitempty"` // shows no nodes
	Hide        []string `json:"hide,omitempty"`  // nodes that are not shown until the next order
}

// NodeState holds the faults that a node has now: until when, in Unix time, and how far its clock is ahead. Stall, Crash, Unreachable and
// Drain act on the node itself and are not kept here.
type NodeState struct {
	RejectUntil, LoseAnswerUntil, ResetUntil, TrickleUntil placer.Seconds
	ClockSkew                                              placer.Seconds

	errorUntil placer.Seconds
	errorClass string // "" is every class
}

// Apply takes an order at the given time.
func (s *NodeState) Apply(now placer.Seconds, fault Node) {
	extend := func(until *placer.Seconds, seconds float64) {
		if seconds != 0 {
			*until = now + placer.Seconds(seconds)
		}
	}
	extend(&s.RejectUntil, fault.Reject)
	extend(&s.LoseAnswerUntil, fault.LoseAnswer)
	extend(&s.ResetUntil, fault.Reset)
	extend(&s.TrickleUntil, fault.Trickle)
	if fault.ClockSkew != 0 {
		s.ClockSkew = placer.Seconds(fault.ClockSkew)
	}
	if fault.Error != 0 {
		s.errorUntil = now + placer.Seconds(fault.Error)
		s.errorClass = fault.Class
	}
}

// FailsClass reports whether requests of a class are answered with an error.
func (s *NodeState) FailsClass(now placer.Seconds, class string) bool {
	return now < s.errorUntil && (s.errorClass == "" || s.errorClass == class)
}
