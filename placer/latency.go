package placer

// Constants of the latency model.
const (
	// learningRate is the weight of a new sample in the running averages.
	learningRate = 0.1
	// initialDeviationDivisor is the number by which the first sample is divided to get the first deviation.
	initialDeviationDivisor = 2
	// startTimeoutFraction is the timeout of an attempt as a fraction of the deadline, if nodes answer only
	// when the task starts. The timeout is long because an attempt that timed out still occupies capacity on
	// its node.
	startTimeoutFraction = 0.7
	// initialTimeoutDivisor determines the timeout of attempts before any attempt was answered, which is the
	// deadline divided by this number.
	initialTimeoutDivisor = 4
	// timeoutDeviationFactor is the number of mean absolute deviations by which the timeout exceeds the mean
	// answer time.
	timeoutDeviationFactor = 4
)

// latencyModel learns how long nodes take, in seconds, to answer attempts and to start tasks.
type latencyModel struct {
	classes             []Class
	acknowledgesOnStart bool
	answerTimes         []runningAverage // time from sending an attempt to its answer, by task class
	coldStartTimes      []runningAverage // time from sending an attempt to a cold start, by task class
}

func newLatencyModel(cfg *Config) *latencyModel {
	return &latencyModel{
		classes:             cfg.Classes,
		acknowledgesOnStart: cfg.NodeBehavior.AcknowledgesOnStart,
		answerTimes:         make([]runningAverage, len(cfg.Classes)),
		coldStartTimes:      make([]runningAverage, len(cfg.Classes)),
	}
}

// observeAnswer updates the model with the time that a node took to accept an attempt.
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

// attemptTimeout returns the time after which an unanswered attempt for a task of the given task class times
// out.
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

// coldStartsAreSlow reports whether a cold start is likely to miss the latency objective of the task class. A
// cold start is a start on a node that does not have the program of the service in its cache. If cold starts
// are slow, the selector prefers nodes that probably have the program.
func (m *latencyModel) coldStartsAreSlow(class int) bool {
	starts := &m.coldStartTimes[class]
	likely := Seconds(starts.mean + starts.deviation)
	return starts.samples == 0 || likely > m.classes[class].LatencyObjective/2
}
