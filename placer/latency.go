package placer

// Constants of the latency model.
const (
	// learningRate is the weight of a new sample in the running averages.
	learningRate = 0.1
	// initialDeviationDivisor divides the first sample into the first deviation.
	initialDeviationDivisor = 2
	// startTimeoutFraction is the fraction of the deadline for which an attempt may stay unanswered where
	// nodes answer when the task starts: an abandoned attempt still occupies its capacity.
	startTimeoutFraction = 0.7
	// unknownTimeoutDivisor divides the deadline into the timeout of attempts before the first answer.
	unknownTimeoutDivisor = 4
	// timeoutDeviations is the distance of the timeout from the mean answer time, in deviations.
	timeoutDeviations = 4
)

// latencyModel learns the times, in seconds, in which nodes answer attempts and start tasks.
type latencyModel struct {
	classes             []Class
	acknowledgesOnStart bool
	answers             []runningAverage // from an attempt to its acceptance, by class
	coldStarts          []runningAverage // to a start without the service's program, by class
}

func newLatencyModel(cfg *Config) *latencyModel {
	return &latencyModel{
		classes:             cfg.Classes,
		acknowledgesOnStart: cfg.NodeBehavior.AcknowledgesOnStart,
		answers:             make([]runningAverage, len(cfg.Classes)),
		coldStarts:          make([]runningAverage, len(cfg.Classes)),
	}
}

// observeAnswer learns from the time in which an attempt was accepted.
func (m *latencyModel) observeAnswer(accepted *attempt, elapsed Seconds) {
	class := accepted.request.Class
	m.answers[class].add(float64(elapsed), learningRate)
	if m.acknowledgesOnStart && accepted.coldStart {
		m.coldStarts[class].add(float64(elapsed), learningRate)
	}
}

// observeStart learns from the time at which the task of an attempt started.
func (m *latencyModel) observeStart(started *attempt, now Seconds) {
	if started.coldStart {
		m.coldStarts[started.request.Class].add(float64(now-started.sentAt), learningRate)
	}
}

// attemptTimeout returns the time for which an attempt for a task of the class may stay unanswered.
func (m *latencyModel) attemptTimeout(class int) Seconds {
	limits, answers := &m.classes[class], &m.answers[class]
	if m.acknowledgesOnStart {
		return limits.Deadline * startTimeoutFraction
	}
	minimum := limits.LatencyObjective / 2
	if limits.Idempotency == NonIdempotent {
		minimum = 2 * limits.LatencyObjective
	}
	if answers.samples == 0 {
		return max(minimum, limits.Deadline/unknownTimeoutDivisor)
	}
	return max(minimum, Seconds(answers.mean+timeoutDeviations*answers.deviation))
}

// coldStartsSlow reports whether a start on a node without the service's program is likely to miss the
// latency objective of the class. Nodes without the program are then passed over like nodes beyond the
// contender limit.
func (m *latencyModel) coldStartsSlow(class int) bool {
	starts := &m.coldStarts[class]
	likely := Seconds(starts.mean + starts.deviation)
	return starts.samples == 0 || likely > m.classes[class].LatencyObjective/2
}
