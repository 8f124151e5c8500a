package placer

import "testing"

func TestAttemptTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		idempotency         Idempotency
		acknowledgesOnStart bool
		answers             runningAverage
		want                Seconds
	}{
		"before the first answer":                 {Idempotent, false, runningAverage{}, 2},
		"not idempotent, before the first answer": {NonIdempotent, false, runningAverage{}, 4},
		"quick answers":                           {Idempotent, false, runningAverage{mean: 0.1, deviation: 0.1, samples: 1}, 1},
		"not idempotent, quick answers":           {NonIdempotent, false, runningAverage{mean: 0.1, deviation: 0.1, samples: 1}, 4},
		"slow answers":                            {Idempotent, false, runningAverage{mean: 2, deviation: 0.5, samples: 1}, 4},
		"acknowledged on start":                   {Idempotent, true, runningAverage{mean: 2, deviation: 0.5, samples: 1}, 5.6},
		"not idempotent, acknowledged on start":   {NonIdempotent, true, runningAverage{}, 5.6},
	} {
		t.Run(name, func(t *testing.T) {
			model := newLatencyModel(&Config{
				Classes:      []Class{{Idempotency: test.idempotency, LatencyObjective: 2, Deadline: 8}},
				NodeBehavior: NodeBehavior{AcknowledgesOnStart: test.acknowledgesOnStart},
			})
			model.answerTimes[0] = test.answers
			if got := model.attemptTimeout(0); got != test.want {
				t.Errorf("got %v s, want %v s", got, test.want)
			}
		})
	}
}

func TestColdStartsAreSlow(t *testing.T) {
	for name, test := range map[string]struct {
		acknowledgesOnStart bool
		coldStart           bool
		elapsed             Seconds
		want                bool
	}{
		"slow":                  {true, true, 0.9, true},
		"quick":                 {true, true, 0.1, false},
		"quick, program cached": {true, false, 0.1, true}, // the model learns only from cold starts
		"quick, accepted only":  {false, true, 0.1, true}, // acceptance before the start says nothing about the start
	} {
		t.Run(name, func(t *testing.T) {
			model := newLatencyModel(&Config{
				Classes:      []Class{{LatencyObjective: 2}},
				NodeBehavior: NodeBehavior{AcknowledgesOnStart: test.acknowledgesOnStart},
			})
			answered := &attempt{request: &placementRequest{}, coldStart: test.coldStart}
			model.observeAnswer(answered, test.elapsed)
			if got := model.coldStartsAreSlow(0); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
