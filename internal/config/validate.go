package config

import (
	"fmt"
	"net/netip"
	"slices"

	"k8s.io/apimachinery/pkg/util/validation"

	"heathshed/internal/control/memquota"
	"heathshed/placer"
)

// idempotencies are the values of Class.Idempotency.
var idempotencies = map[string]placer.Idempotency{
	"idempotent":   placer.Idempotent,
	"deduplicated": placer.IdempotentByKey,
	"at_most_once": placer.NonIdempotent,
}

// Values of Class.DedupDomain and Class.SpreadDomain. The empty text is the same as NoDomain.
const (
	NoDomain      = "none"
	NodeDomain    = "node"
	RackDomain    = "rack"
	ZoneDomain    = "zone"
	ClusterDomain = "cluster"
)

// topologyDomains are the values of Class.DedupDomain and Class.SpreadDomain.
var topologyDomains = map[string]placer.TopologyDomain{
	"":            placer.NoDomain,
	NoDomain:      placer.NoDomain,
	NodeDomain:    placer.NodeDomain,
	RackDomain:    placer.RackDomain,
	ZoneDomain:    placer.ZoneDomain,
	ClusterDomain: placer.ClusterDomain,
}

// shareTolerance is the rounding error allowed in the sum of the tenants' shares.
const shareTolerance = 0.0001

// maxClassDeadline bounds Class.Deadline.
const maxClassDeadline Duration = 3600

// Validate checks settings that were set in code or by flags. The error wraps a *FieldError.
func (s *Settings) Validate() error {
	if err := s.validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// validate returns a *FieldError for the first invalid setting.
func (s *Settings) validate() error {
	if err := s.validateScheduler(); err != nil {
		return err
	}
	if err := s.validateTenants(); err != nil {
		return err
	}
	if len(s.Classes) == 0 {
		return invalid("classes", "want one at least")
	}
	nodeTypes, err := s.validateNodeTypes()
	if err != nil {
		return err
	}
	if err := s.validateClasses(nodeTypes); err != nil {
		return err
	}
	for _, b := range slices.Concat(s.policyBounds(), s.admissionBounds(), s.limitBounds(), s.Emulator.bounds()) {
		if !b.hold() {
			return b.error()
		}
	}
	return nil
}

func (s *Settings) validateScheduler() error {
	if !isLabelValue(s.Name) {
		return invalid("name", "want a label value: letters, digits, '-', '_' and '.', 63 at most")
	}
	for _, address := range []struct{ path, value string }{{"listen", s.Listen}, {"inventory", s.Inventory}} {
		if addrPort, err := netip.ParseAddrPort(address.value); err != nil || !addrPort.Addr().IsLoopback() {
			return invalid(address.path, "%q: want a loopback address and port such as 127.0.0.1:8480", address.value)
		}
	}
	if s.Peers < 1 {
		return invalid("peers", "want 1 or more")
	}
	if s.Self < 0 || s.Self >= s.Peers {
		return invalid("self", "want 0 to %d, one of the peers", s.Peers-1)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		return invalid("logLevel", "want debug, info, warn or error")
	}
	return nil
}

// isLabelValue reports whether a text is a non-empty Kubernetes label value.
func isLabelValue(s string) bool { return s != "" && len(validation.IsValidLabelValue(s)) == 0 }

func (s *Settings) validateTenants() error {
	shares := 0.0
	names := map[string]bool{}
	for i, tenant := range s.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		if len(validation.IsDNS1123Label(tenant.Name)) > 0 || names[tenant.Name] {
			return invalid(path+".name", "want a namespace name, each once")
		}
		names[tenant.Name] = true
		if !(tenant.Share >= 0) || !(tenant.Cores >= 0) {
			return invalid(path+".share", "want 0 or more")
		}
		if shares += tenant.Share; shares > 1+shareTolerance {
			return invalid(path+".share", "shares add up to more than 1")
		}
	}
	return nil
}

// validateNodeTypes also returns the permitted values of Class.NodeType, among them "" for any type.
func (s *Settings) validateNodeTypes() (names map[string]bool, err error) {
	if len(s.NodeTypes) == 0 {
		return nil, invalid("nodeTypes", "want one at least")
	}
	names = map[string]bool{"": true}
	for i, nodeType := range s.NodeTypes {
		path := fmt.Sprintf("nodeTypes[%d]", i)
		if !isLabelValue(nodeType.Name) || names[nodeType.Name] {
			return nil, invalid(path+".name", "want a label value, each once")
		}
		names[nodeType.Name] = true
		if !(nodeType.Cores > 0) {
			return nil, invalid(path+".cores", "want more than 0")
		}
		if !(nodeType.Memory > 0) {
			return nil, invalid(path+".memory", "want more than 0")
		}
	}
	return names, nil
}

func (s *Settings) validateClasses(nodeTypes map[string]bool) error {
	names := map[string]bool{}
	for i := range s.Classes {
		class := &s.Classes[i]
		path := fmt.Sprintf("classes[%d]", i)
		if !isLabelValue(class.Name) || names[class.Name] {
			return invalid(path+".name", "want a label value, each once")
		}
		names[class.Name] = true
		if err := class.validateRequests(path); err != nil {
			return err
		}
		if err := class.validatePlacement(path, nodeTypes); err != nil {
			return err
		}
	}
	if !names[s.DefaultClass] {
		return invalid("defaultClass", "%q is not among classes", s.DefaultClass)
	}
	return nil
}

// validateRequests checks the settings of a class for placement requests.
func (c *Class) validateRequests(path string) error {
	if _, known := idempotencies[c.Idempotency]; !known {
		return invalid(path+".idempotency", "%q: want idempotent, deduplicated or at_most_once", c.Idempotency)
	}
	deduplicated := c.Idempotency == "deduplicated"
	if _, known := topologyDomains[c.DedupDomain]; !known || deduplicated && isNoDomain(c.DedupDomain) {
		return invalid(path+".dedupDomain", "%q: want node, rack, zone or cluster", c.DedupDomain)
	}
	if deduplicated && !(c.DedupWindow > 0) {
		return invalid(path+".dedupWindow", "want more than 0")
	}
	if !(c.LatencyObjective > 0) {
		return invalid(path+".latencyObjective", "want more than 0")
	}
	if !(c.Deadline > 0) || c.Deadline > maxClassDeadline {
		return invalid(path+".deadline", "want more than 0, %v at most", maxClassDeadline)
	}
	return nil
}

// validatePlacement checks the settings of a class for the choice of a node.
func (c *Class) validatePlacement(path string, nodeTypes map[string]bool) error {
	if !nodeTypes[c.NodeType] {
		return invalid(path+".nodeType", "%q is not among nodeTypes", c.NodeType)
	}
	if _, known := topologyDomains[c.SpreadDomain]; !known || c.SpreadDomain == ClusterDomain {
		return invalid(path+".spreadDomain", "%q: want none, node, rack or zone", c.SpreadDomain)
	}
	if !isNoDomain(c.SpreadDomain) && c.MaxPerDomain < 1 {
		return invalid(path+".maxPerDomain", "want 1 or more beside spreadDomain")
	}
	if !(c.SaturationThreshold > 0) {
		return invalid(path+".saturationThreshold", "want more than 0")
	}
	if !(c.DegradationRange >= 0) {
		return invalid(path+".degradationRange", "want 0 or more")
	}
	return nil
}

func isNoDomain(domain string) bool { return domain == "" || domain == NoDomain }

// bounds are a value with the smallest and the largest permitted one.
type bounds struct {
	path            string
	value, min, max float64
	isDuration      bool // in seconds
}

// number returns the bounds of a number.
func number(path string, value, least, greatest float64) bounds {
	return bounds{path: path, value: value, min: least, max: greatest}
}

// duration returns the bounds of a duration. Untyped constants are in seconds.
func duration(path string, value, least, greatest Duration) bounds {
	return bounds{path: path, value: value.Seconds(), min: least.Seconds(), max: greatest.Seconds(), isDuration: true}
}

// hold reports whether the value is within the bounds. NaN never is.
func (b *bounds) hold() bool { return b.value >= b.min && b.value <= b.max }

// error returns the *FieldError of a value out of bounds.
func (b *bounds) error() error {
	if b.isDuration {
		return invalid(b.path, "%v: want %v to %v", Duration(b.value), Duration(b.min), Duration(b.max))
	}
	return invalid(b.path, "%v: want %v to %v", b.value, b.min, b.max)
}

func (s *Settings) policyBounds() []bounds {
	return []bounds{
		number("nodePolicy.overcommitCores", s.NodePolicy.OvercommitCores, 0.1, 100),
		number("nodePolicy.overcommitMemory", s.NodePolicy.OvercommitMemory, 0.1, 100),
		number("nodePolicy.maxAttempts", float64(s.NodePolicy.MaxAttempts), 1, 100),
		duration("timing.answerGrace", s.Timing.AnswerGrace, 0.01, 10),
		duration("timing.drainGrace", s.Timing.DrainGrace, 0, 60),
		number("timing.warmupMinPace", s.Timing.WarmupMinPace, 0, 1),
		duration("timing.warmupDuration", s.Timing.WarmupDuration, 0, 3600),
		number("timing.overloadMultiple", s.Timing.OverloadMultiple, 0, 1e6),
		duration("timing.overloadWindow", s.Timing.OverloadWindow, 0, 60),
		number("timing.warmupAttempts", s.Timing.WarmupAttempts, 0, 1e6),
		number("costs.node", s.Costs.Node, 0, 100),
		number("costs.crossZone", s.Costs.CrossZone, 0, 100),
		number("costs.migration", s.Costs.Migration, 0, 100),
		duration("retry.delay", s.Retry.Delay, 1, 3600),
		duration("retry.shortDelay", s.Retry.ShortDelay, 0, 3600),
		number("retry.multiplier", s.Retry.Multiplier, 1, 10),
		duration("retry.maxDelay", s.Retry.MaxDelay, 1, 3600),
		duration("retry.unknownOutcomeTimeout", s.Retry.UnknownOutcomeTimeout, 0, 600),
	}
}

func (s *Settings) admissionBounds() []bounds {
	a := &s.Admission
	return []bounds{
		number("admission.minInFlight", a.MinInFlight, 1, a.MaxInFlight),
		number("admission.maxInFlight", a.MaxInFlight, 1, 1e9),
		number("admission.initialInFlight", a.InitialInFlight, 1, 1e9),
		number("admission.decreaseFactor", a.DecreaseFactor, 0.01, 0.99),
		duration("admission.decreaseInterval", a.DecreaseInterval, 0, 60),
		number("admission.lateFraction", a.LateFraction, 0, 1),
		number("admission.maxQueued", float64(a.MaxQueued), 1, 1e9),
		number("admission.retryRatio", a.RetryRatio, 0, 100),
		number("admission.retryRate", a.RetryRate, 0, 1e9),
		number("admission.retryBurst", a.RetryBurst, 0, 1e9),
	}
}

func (s *Settings) limitBounds() []bounds {
	l := &s.Limits
	return []bounds{
		number("limits.memoryMiB", float64(l.MemoryMiB), memquota.MinMemory>>20, 1<<20),
		number("limits.connections", float64(l.Connections), 1, 1e6),
		number("limits.maxBodyBytes", float64(l.MaxBodyBytes), 1024, 1<<30),
		number("limits.maxPods", float64(l.MaxPods), 1, 1e7),
		number("limits.history", float64(l.History), 1, 1e7),
		number("limits.maxPage", float64(l.MaxPage), 0, 1e7),
		duration("limits.finishedTTL", l.FinishedTTL, 0, 1e9),
		duration("limits.nodeLossTimeout", l.NodeLossTimeout, 0.1, 3600),
		duration("nodeSyncTimeout", s.NodeSyncTimeout, 0, 600),
		duration("connectTimeout", s.ConnectTimeout, 0.01, 60),
		duration("shutdownTimeout", s.ShutdownTimeout, 0, 3600),
	}
}
