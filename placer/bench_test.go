package placer

import (
	"fmt"
	"testing"
)

// BenchmarkDecision measures how long a Placer takes to process all events of one task, from its arrival to
// its end. It runs with several numbers of nodes.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			placer, err := New(Config{
				Peers:        Peers{Total: 1},
				Classes:      []Class{{LatencyObjective: 1, Deadline: 8, NodeType: -1, SaturationThreshold: 1, DegradationRange: 1}},
				NodeTypes:    []NodeType{{Cores: 32, Memory: 64}},
				NodeBehavior: NodeBehavior{ListShowsCapacity: true},
				Overcommit:   Overcommit{Cores: 2, Memory: 2},
				Attempts:     Attempts{Max: 3, AnswerGrace: 0.01},
				Discovery:    Discovery{MaxPollInterval: 10},
			}, 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []Node
			for i := range n {
				list = append(list, Node{ID: NodeID(i + 1), State: Ready, FreeCores: 32, FreeMemory: 64})
			}
			actions := placer.Handle(1, Event{Kind: NodesListed, List: FullList, Nodes: list}, nil)
			b.ReportAllocs()
			b.ResetTimer()
			now := Seconds(10)
			for i := range b.N {
				now += 0.01
				id := TaskID(i + 1)
				task := Task{ID: id, Service: ServiceID(i % 50), Cores: 0.1, Memory: 0.1, Deadline: now + 8}
				actions = placer.Handle(now, Event{Kind: Arrived, Task: task}, actions[:0])
				for _, action := range actions {
					if action.Kind == StartAttempt {
						placer.Handle(now, Event{Kind: Bound, TaskID: id, Attempt: action.Attempt, Node: action.Node, Elapsed: 0.005}, nil)
						placer.Handle(now+0.005, Event{Kind: Ended, TaskID: id, Attempt: action.Attempt, Node: action.Node, Result: Finished, Final: true}, nil)
					}
				}
			}
		})
	}
}
