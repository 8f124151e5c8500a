package dispatch

// TestSettings makes testSettings available to the tests in package dispatch_test.
const TestSettings = testSettings

var (
	NodeUID            = nodeUID
	DiscoveryEventJSON = discoveryEventJSON
)

// IllegalTransitions returns how many state transitions were made although the state tables do not allow them.
func (c *Core) IllegalTransitions() int {
	return c.requests.illegalTransitions + c.attempts.illegalTransitions
}
