package placer

// runningAverage holds an exponentially weighted mean and mean absolute deviation of samples. Estimates of
// the mean may be added before the first sample. In this case, the initial mean counts as one more estimate,
// and the weight of a sample is at least 1 divided by the total number of samples and added estimates.
type runningAverage struct {
	mean, deviation    float64
	samples, estimates int
}

// add adds a sample with the given weight. The first sample sets the mean if no estimate was added before.
func (a *runningAverage) add(value, weight float64) {
	a.samples++
	if a.samples+a.estimates == 1 {
		a.mean, a.deviation = value, value/initialDeviationDivisor
		return
	}
	if a.estimates > 0 {
		weight = max(weight, 1/float64(a.samples+a.estimates))
	}
	difference := value - a.mean
	a.mean += difference * weight
	a.deviation += (max(difference, -difference) - a.deviation) * weight
}

// addEstimate adds an estimate of the mean. It has no effect after the first sample.
func (a *runningAverage) addEstimate(value, minWeight float64) {
	if a.samples > 0 {
		return
	}
	a.estimates++
	a.mean += (value - a.mean) * max(minWeight, 1/float64(a.estimates+1))
}
