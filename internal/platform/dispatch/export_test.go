package dispatch

// TestSettings makes testSettings available to the tests in package dispatch_test.
const TestSettings = testSettings

var (
	NodeUID            = nodeUID
	DiscoveryEventJSON = discoveryEventJSON
)

// IllegalTransitions returns the number of state transitions that the state tables do not allow.
func (c *Core) IllegalTransitions() int {
	return c.requests.illegalTransitions + c.attempts.illegalTransitions
}
