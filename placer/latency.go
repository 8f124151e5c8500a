package placer

// Constants of the latency model.
const (
	// learningRate is the weight of a new measurement in the running averages of answer times and cold-start
	// times.
	learningRate = 0.1
	// initialDeviationDivisor is the number by which the first sample of a running average is divided. The
	// result is the initial value of the mean absolute deviation.
	initialDeviationDivisor = 2
	// startTimeoutFraction is the timeout of an attempt as a fraction of Class.Deadline, if nodes answer only
	// when the task starts. The timeout is long, because the next attempt for the request uses additional
	// capacity: an attempt that timed out still occupies capacity on its node.
	startTimeoutFraction = 0.7
	// initialTimeoutDivisor determines the timeout of attempts until the first attempt of the task class was
	// answered. The timeout is Class.Deadline divided by this number.
	initialTimeoutDivisor = 4
	// timeoutDeviationFactor is the number of mean absolute deviations by which the timeout exceeds the mean
	// answer time.
	timeoutDeviationFactor = 4
)

// latencyModel learns how long nodes take, in seconds, to answer attempts and to start tasks.
type latencyModel struct {
	classes             []Class
	acknowledgesOnStart bool
	answerTimes         []runningAverage // time from the sending of an attempt to its answer, by task class
	coldStartTimes      []runningAverage // time from the sending of an attempt to a cold start, by task class
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
func (m *latencyModel) observeAnswer(acceptedAttempt *attempt, elapsed Seconds) {
	class := acceptedAttempt.request.Class
	m.answerTimes[class].addSample(float64(elapsed), learningRate)
	if m.acknowledgesOnStart && acceptedAttempt.coldStart {
		m.coldStartTimes[class].addSample(float64(elapsed), learningRate)
	}
}

// observeStart updates the model with the time from the sending of an attempt to the start of its task.
func (m *latencyModel) observeStart(boundAttempt *attempt, now Seconds) {
	if boundAttempt.coldStart {
		m.coldStartTimes[boundAttempt.request.Class].addSample(float64(now-boundAttempt.sentAt), learningRate)
	}
}

// attemptTimeout returns the timeout of an attempt for a task of the given task class.
func (m *latencyModel) attemptTimeout(classIndex int) Seconds {
	class, answerTimes := &m.classes[classIndex], &m.answerTimes[classIndex]
	if m.acknowledgesOnStart {
		return class.Deadline * startTimeoutFraction
	}
	minTimeout := class.LatencyObjective / 2
	if class.Idempotency == NonIdempotent {
		minTimeout = 2 * class.LatencyObjective
	}
	if answerTimes.sampleCount == 0 {
		return max(minTimeout, class.Deadline/initialTimeoutDivisor)
	}
	return max(minTimeout, Seconds(answerTimes.mean+timeoutDeviationFactor*answerTimes.deviation))
}

// coldStartsAreSlow reports whether a cold start may miss the latency objective of the task class. A cold
// start is a start on a node that does not have the program of the service in its cache. If cold starts are
// slow, the selector prefers nodes that probably have the program in their cache. Cold starts are assumed to
// be slow until the time of one cold start was measured.
func (m *latencyModel) coldStartsAreSlow(classIndex int) bool {
	startTimes := &m.coldStartTimes[classIndex]
	likelyTime := Seconds(startTimes.mean + startTimes.deviation)
	return startTimes.sampleCount == 0 || likelyTime > m.classes[classIndex].LatencyObjective/2
}
