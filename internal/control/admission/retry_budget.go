package admission

import "heathshed/placer"

// retryBudget is a token bucket for retries. Each admitted retry takes one token. Tokens are added at a
// constant rate, and also for each request whose task is placed, until the bucket is full. Few retries are
// thus admitted while nodes fail, and the number of admitted retries grows with the number of placed tasks
// when the nodes work again.
type retryBudget struct {
	tokens     float64
	refilledAt placer.Seconds // refilledAt is the time at which tokens were last added at the constant rate.
	ratio      float64        // ratio is the number of tokens added for each request whose task is placed.
	rate       float64        // rate is the number of tokens added per second.
	burst      float64        // burst is the largest number of tokens that the bucket holds.
}

func newRetryBudget(cfg *Config) retryBudget {
	return retryBudget{tokens: cfg.RetryBurst, ratio: cfg.RetryRatio, rate: cfg.RetryRate, burst: cfg.RetryBurst}
}

// refill adds tokens at the constant rate for the time that has passed since the last call of refill.
func (b *retryBudget) refill(now placer.Seconds) {
	b.tokens = min(b.tokens+float64(max(now-b.refilledAt, 0))*b.rate, b.burst)
	b.refilledAt = max(b.refilledAt, now)
}

// hasToken reports whether the bucket holds a token for the admission of a retry.
func (b *retryBudget) hasToken() bool { return b.tokens >= 1 }

func (b *retryBudget) takeToken() { b.tokens-- }

func (b *retryBudget) addTokens(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// recordPlaced adds tokens for one request whose task was placed. The argument usedToken is true if the request
// was a retry that took a token. Its token is then returned too, so only retries whose tasks are not placed use
// up tokens.
func (b *retryBudget) recordPlaced(usedToken bool) {
	refund := b.ratio
	if usedToken {
		refund++
	}
	b.addTokens(refund)
}

// nextTokenAt returns the time at which the bucket will hold a token again if tokens are added only at the
// constant rate. It returns infinity if the bucket already holds a token or if the rate is zero.
func (b *retryBudget) nextTokenAt() placer.Seconds {
	if b.hasToken() || b.rate <= 0 {
		return never
	}
	return b.refilledAt + placer.Seconds((1-b.tokens)/b.rate)
}
