package dispatch

// IllegalTransitions returns how many transitions were not in the tables of legal ones.
func (c *Core) IllegalTransitions() int {
	return c.requests.illegalTransitions + c.attempts.illegalTransitions
}
