package placer

// runningAverage holds the exponentially weighted mean of measured values, which are called samples, and
// their mean absolute deviation.
//
// An estimate is an approximate value of the mean. Estimates may be added before the first sample arrives.
// They are averaged with the initial mean, which counts as one estimate. If estimates were added, the weight
// of a sample is at least 1/n, where n is the number of samples and estimates so far. The first samples are
// thus averaged with the estimates.
type runningAverage struct {
	mean, deviation            float64
	sampleCount, estimateCount int
}

// addSample adds a measured value, the sample, with the given weight. The first sample becomes the mean if
// addEstimate was not called before.
func (a *runningAverage) addSample(value, weight float64) {
	a.sampleCount++
	if a.sampleCount+a.estimateCount == 1 {
		a.mean, a.deviation = value, value/initialDeviationDivisor
		return
	}
	if a.estimateCount > 0 {
		weight = max(weight, 1/float64(a.sampleCount+a.estimateCount))
	}
	difference := value - a.mean
	a.mean += difference * weight
	a.deviation += (max(difference, -difference) - a.deviation) * weight
}

// addEstimate adds an approximate value of the mean with at least the given weight. It has no effect after
// the first measured value was added with addSample.
func (a *runningAverage) addEstimate(value, minWeight float64) {
	if a.sampleCount > 0 {
		return
	}
	a.estimateCount++
	a.mean += (value - a.mean) * max(minWeight, 1/float64(a.estimateCount+1))
}
