package placer

import "testing"

func TestAttemptTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		idempotency         Idempotency
		acknowledgesOnStart bool
		answers             runningAverage
		want                Seconds
	}{
		"no attempt was answered yet":                                           {Idempotent, false, runningAverage{}, 2},
		"task class is not idempotent, no attempt was answered yet":             {NonIdempotent, false, runningAverage{}, 4},
		"nodes answer quickly":                                                  {Idempotent, false, runningAverage{mean: 0.1, deviation: 0.1, sampleCount: 1}, 1},
		"task class is not idempotent, nodes answer quickly":                    {NonIdempotent, false, runningAverage{mean: 0.1, deviation: 0.1, sampleCount: 1}, 4},
		"nodes answer slowly":                                                   {Idempotent, false, runningAverage{mean: 2, deviation: 0.5, sampleCount: 1}, 4},
		"nodes acknowledge a task when it starts":                               {Idempotent, true, runningAverage{mean: 2, deviation: 0.5, sampleCount: 1}, 5.6},
		"task class is not idempotent, nodes acknowledge a task when it starts": {NonIdempotent, true, runningAverage{}, 5.6},
	} {
		t.Run(name, func(t *testing.T) {
			model := newLatencyModel(&Config{
				Classes:      []Class{{Idempotency: test.idempotency, LatencyObjective: 2, Deadline: 8}},
				NodeBehavior: NodeBehavior{AcknowledgesOnStart: test.acknowledgesOnStart},
			})
			model.answerTimes[0] = test.answers
			if got := model.attemptTimeout(0); got != test.want {
				t.Errorf("the timeout of an attempt is %v s, want %v s", got, test.want)
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
		"cold start takes 0.9 s":                {true, true, 0.9, true},
		"cold start takes 0.1 s":                {true, true, 0.1, false},
		"start with cached program takes 0.1 s": {true, false, 0.1, true}, // the model learns only from cold starts
		"node accepts the task after 0.1 s":     {false, true, 0.1, true}, // the acceptance does not show how long the start takes
	} {
		t.Run(name, func(t *testing.T) {
			model := newLatencyModel(&Config{
				Classes:      []Class{{LatencyObjective: 2}},
				NodeBehavior: NodeBehavior{AcknowledgesOnStart: test.acknowledgesOnStart},
			})
			answeredAttempt := &attempt{request: &placementRequest{}, coldStart: test.coldStart}
			model.observeAnswer(answeredAttempt, test.elapsed)
			if got := model.coldStartsAreSlow(0); got != test.want {
				t.Errorf("coldStartsAreSlow returned %v, want %v", got, test.want)
			}
		})
	}
}
