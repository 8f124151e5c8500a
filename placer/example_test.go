package placer_test

import (
	"fmt"

	"heathshed/placer"
)

// A task arrives, is offered to one of two machines, refused, and offered to the other.
func Example() {
	p, err := placer.New(placer.Config{
		Peers:     1,
		Classes:   []placer.Class{{Aim: 1, Deadline: 5, NodeKind: -1, CalmUpTo: 1, FadesOver: 1}},
		Kinds:     []placer.Kind{{Cores: 16, Memory: 64}},
		BookCores: 1, BookMemory: 1, ListShowsRoom: true, MaxAttempts: 3, AnswerSlack: 0.01,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	acts := p.Handle(10, placer.Event{Kind: placer.Listed, List: placer.FullList, Nodes: []placer.Node{
		{ID: 1, State: placer.Ready, FreeCores: 4, FreeMemory: 16},
		{ID: 2, State: placer.Ready, FreeCores: 8, FreeMemory: 32},
	}}, nil)
	acts = p.Handle(10.5, placer.Event{Kind: placer.Arrived, Task: placer.Task{
		ID: 7, Service: 3, Cores: 2, Memory: 4, Deadline: 15.5}}, acts[:0])
	for _, a := range acts {
		if a.Kind == placer.Offer {
			fmt.Println("offer task", a.Task, "to machine", a.Node)
		}
	}
	acts = p.Handle(10.6, placer.Event{Kind: placer.Ended, ID: 7, Attempt: 0, Node: 2,
		Result: placer.Refused, Reason: placer.NoMemory}, acts[:0])
	for _, a := range acts {
		if a.Kind == placer.Offer {
			fmt.Println("offer task", a.Task, "to machine", a.Node)
		}
	}
	// Output:
	// offer task 7 to machine 2
	// offer task 7 to machine 1
}
