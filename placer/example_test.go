package placer_test

import (
	"fmt"

	"heathshed/placer"
)

// A task arrives, is offered to one of two machines, refused, and offered to the other.
func Example() {
	p, err := placer.New(placer.Config{
		Peers:           1,
		Classes:         []placer.Class{{LatencyObjective: 1, Deadline: 5, NodeType: -1, SaturationThreshold: 1, DegradationRange: 1}},
		NodeTypes:       []placer.NodeType{{Cores: 16, Memory: 64}},
		OvercommitCores: 1, OvercommitMemory: 1, ListShowsCapacity: true, MaxAttempts: 3, AnswerGrace: 0.01,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	acts := p.Handle(10, placer.Event{Kind: placer.NodesListed, List: placer.FullList, Nodes: []placer.Node{
		{ID: 1, State: placer.Ready, FreeCores: 4, FreeMemory: 16},
		{ID: 2, State: placer.Ready, FreeCores: 8, FreeMemory: 32},
	}}, nil)
	acts = p.Handle(10.5, placer.Event{Kind: placer.Arrived, Task: placer.Task{
		ID: 7, Service: 3, Cores: 2, Memory: 4, Deadline: 15.5}}, acts[:0])
	for _, a := range acts {
		if a.Kind == placer.StartAttempt {
			fmt.Println("offer task", a.Task, "to machine", a.Node)
		}
	}
	acts = p.Handle(10.6, placer.Event{Kind: placer.Ended, TaskID: 7, Attempt: 0, Node: 2,
		Result: placer.Rejected, Reason: placer.InsufficientMemory}, acts[:0])
	for _, a := range acts {
		if a.Kind == placer.StartAttempt {
			fmt.Println("offer task", a.Task, "to machine", a.Node)
		}
	}
	// Output:
	// offer task 7 to machine 2
	// offer task 7 to machine 1
}
