package nodesim

import "heathshed/placer"

// minStartDuration is the shortest duration of a start from which the number of starts in a window is computed.
const minStartDuration placer.Seconds = 1e-6

// warmUpPhase is the time after a cold start in which a node starts tasks more slowly.
type warmUpPhase struct {
	config WarmUp
	start  placer.Seconds
}

// newWarmUpPhase returns the phase of a node that starts now. It is over at once if the node is warm.
func newWarmUpPhase(config WarmUp, now placer.Seconds, cold bool) warmUpPhase {
	if cold {
		return warmUpPhase{config: config, start: now}
	}
	return warmUpPhase{config: config, start: now - config.Duration}
}

// over reports whether the warm-up is over.
func (p *warmUpPhase) over(now placer.Seconds) bool {
	return p.config.Duration <= 0 || now >= p.start+p.config.Duration
}

// pace returns the fraction of its full pace at which the node starts tasks.
func (p *warmUpPhase) pace(now placer.Seconds) float64 {
	if p.over(now) {
		return 1
	}
	gained := placer.Seconds(1-p.config.InitialPace) * (now - p.start) / p.config.Duration
	return p.config.InitialPace + float64(gained)
}

// overloadDetector decides whether a node that warms up receives more requests than it can handle. It owns the times of
// the requests; only requestReceived and reset change them.
type overloadDetector struct {
	config   Overload
	received []placer.Seconds // times of the requests within the window
}

// requestReceived counts a request at a node that warms up, and reports whether the node fails. startsAtOnce is the number of
// concurrent starts at the node's pace, each of which takes startDuration.
func (d *overloadDetector) requestReceived(now placer.Seconds, startsAtOnce float64, startDuration placer.Seconds) bool {
	for len(d.received) > 0 && d.received[0] < now-d.config.Window {
		d.received = d.received[1:]
	}
	d.received = append(d.received, now)
	startable := placer.Seconds(startsAtOnce) / max(startDuration, minStartDuration) * d.config.Window
	requests := float64(len(d.received))
	return requests > d.config.MinRequests && requests > d.config.Factor*float64(startable)
}

// reset drops the recorded requests.
func (d *overloadDetector) reset() { d.received = nil }
