package admission

import "heathshed/placer"

// retryBudget is a token bucket for retries: a retry takes one token; tokens are added over time and by placed requests, up to a burst. So
// retries stay a bounded fraction of the load while nodes fail, and grow with the number of placed requests once nodes recover.
type retryBudget struct {
	tokens     float64
	refilledAt placer.Seconds // time of the last refill
	ratio      float64        // tokens for each placed request
	rate       float64        // tokens a second
	burst      float64        // maximum number of tokens
}

func newRetryBudget(cfg *Config) retryBudget {
	return retryBudget{tokens: cfg.RetryBurst, ratio: cfg.RetryRatio, rate: cfg.RetryRate, burst: cfg.RetryBurst}
}

// refill adds the tokens for the time since the last refill.
func (b *retryBudget) refill(now placer.Seconds) {
	b.tokens = min(b.tokens+float64(max(now-b.refilledAt, 0))*b.rate, b.burst)
	b.refilledAt = max(b.refilledAt, now)
}

// allows reports whether a retry may be admitted.
func (b *retryBudget) hasToken() bool { return b.tokens >= 1 }

func (b *retryBudget) takeToken() { b.tokens-- }

func (b *retryBudget) addTokens(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// placed accounts for a placed request. A retry gets its token back as well: only a failed retry costs one.
func (b *retryBudget) recordPlaced(usedToken bool) {
	refund := b.ratio
	if usedToken {
		refund++
	}
	b.addTokens(refund)
}

// nextTokenAt returns when refilling alone makes a whole token available: infinity if one is available already or the rate is zero.
func (b *retryBudget) nextTokenAt() placer.Seconds {
	if b.hasToken() || b.rate <= 0 {
		return never
	}
	return b.refilledAt + placer.Seconds((1-b.tokens)/b.rate)
}
