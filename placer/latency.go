package placer

// Constants of the latency model.
const (
	// learningRate is the weight of a new sample in the running averages.
	learningRate = 0.1
	// initialDeviationDivisor sets the deviation after the first sample: the sample divided by this number.
	initialDeviationDivisor = 2
	// startTimeoutFraction sets the timeout of an attempt, as a fraction of the deadline, if nodes answer
	// only when the task starts. The timeout is long because an abandoned attempt still occupies capacity on
	// its node.
	startTimeoutFraction = 0.7
	// initialTimeoutDivisor sets the timeout of attempts until the first answer: the deadline divided by this
	// number.
	initialTimeoutDivisor = 4
	// timeoutDeviationFactor is the number of deviations by which the timeout exceeds the mean answer time.
	timeoutDeviationFactor = 4
)

// latencyModel learns how long nodes take, in seconds, to answer attempts and to start tasks.
type latencyModel struct {
	classes             []Class
	acknowledgesOnStart bool
	answerTimes         []runningAverage // time from sending an attempt to its acceptance, by class
	coldStartTimes      []runningAverage // time from sending an attempt to a cold start of the task, by class
}

func newLatencyModel(cfg *Config) *latencyModel {
	return &latencyModel{
		classes:             cfg.Classes,
		acknowledgesOnStart: cfg.NodeBehavior.AcknowledgesOnStart,
		answerTimes:         make([]runningAverage, len(cfg.Classes)),
		coldStartTimes:      make([]runningAverage, len(cfg.Classes)),
	}
}

// observeAnswer updates the model with the time after which an attempt was accepted.
func (m *latencyModel) observeAnswer(accepted *attempt, elapsed Seconds) {
	class := accepted.request.Class
	m.answerTimes[class].add(float64(elapsed), learningRate)
	if m.acknowledgesOnStart && accepted.coldStart {
		m.coldStartTimes[class].add(float64(elapsed), learningRate)
	}
}

// observeStart updates the model with the time at which the task of an attempt started.
func (m *latencyModel) observeStart(started *attempt, now Seconds) {
	if started.coldStart {
		m.coldStartTimes[started.request.Class].add(float64(now-started.sentAt), learningRate)
	}
}

// attemptTimeout returns the time after which an unanswered attempt for a task of the class times out.
func (m *latencyModel) attemptTimeout(class int) Seconds {
	limits, answers := &m.classes[class], &m.answerTimes[class]
	if m.acknowledgesOnStart {
		return limits.Deadline * startTimeoutFraction
	}
	minimum := limits.LatencyObjective / 2
	if limits.Idempotency == NonIdempotent {
		minimum = 2 * limits.LatencyObjective
	}
	if answers.samples == 0 {
		return max(minimum, limits.Deadline/initialTimeoutDivisor)
	}
	return max(minimum, Seconds(answers.mean+timeoutDeviationFactor*answers.deviation))
}

// coldStartsAreSlow reports whether a cold start, that is, a start on a node without a cached program of the
// service, is likely to miss the latency objective of the class. If so, nodes that probably have the program
// are preferred.
func (m *latencyModel) coldStartsAreSlow(class int) bool {
	starts := &m.coldStartTimes[class]
	likely := Seconds(starts.mean + starts.deviation)
	return starts.samples == 0 || likely > m.classes[class].LatencyObjective/2
}
