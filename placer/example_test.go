package placer_test

import (
	"fmt"

	"heathshed/placer"
)

// In this example, a task arrives, and the Placer attempts it on the emptier of two nodes. This node rejects
// the task. The Placer then attempts the task on the other node.
func Example() {
	p, err := placer.New(placer.Config{
		Peers: placer.Peers{Total: 1},
		Classes: []placer.Class{{
			LatencyObjective:    1,
			Deadline:            5,
			NodeType:            -1,
			SaturationThreshold: 1,
			DegradationRange:    1,
		}},
		NodeTypes:    []placer.NodeType{{Cores: 16, Memory: 64}},
		NodeBehavior: placer.NodeBehavior{ListShowsCapacity: true},
		Overcommit:   placer.Overcommit{Cores: 1, Memory: 1},
		Attempts:     placer.Attempts{Max: 3, AnswerGrace: 0.01},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	handle := func(now placer.Seconds, event placer.Event) {
		for _, action := range p.Handle(now, event, nil) {
			if action.Kind == placer.StartAttempt {
				fmt.Println("attempt task", action.Task, "on node", action.Node)
			}
		}
	}
	handle(10, placer.Event{Kind: placer.NodesListed, List: placer.FullList, Nodes: []placer.Node{
		{ID: 1, State: placer.Ready, FreeCores: 4, FreeMemory: 16},
		{ID: 2, State: placer.Ready, FreeCores: 8, FreeMemory: 32},
	}})
	handle(10.5, placer.Event{Kind: placer.Arrived, Task: placer.Task{
		ID: 7, Service: 3, Cores: 2, Memory: 4, Deadline: 15.5,
	}})
	handle(10.6, placer.Event{Kind: placer.Ended, TaskID: 7, Attempt: 0, Node: 2,
		Result: placer.Rejected, Reason: placer.InsufficientMemory})
	// Output:
	// attempt task 7 on node 2
	// attempt task 7 on node 1
}
