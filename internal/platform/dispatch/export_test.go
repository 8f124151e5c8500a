package dispatch

// Fixtures that this package's tests share with those of package dispatch_test.
const TestSettings = testSettings

var (
	NodeUID            = nodeUID
	DiscoveryEventJSON = discoveryEventJSON
)

// IllegalTransitions returns how many transitions were not in the tables of legal ones.
func (c *Core) IllegalTransitions() int {
	return c.requests.illegalTransitions + c.attempts.illegalTransitions
}
