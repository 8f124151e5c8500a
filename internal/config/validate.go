package config

import (
	"fmt"
	"net/netip"
	"slices"

	"k8s.io/apimachinery/pkg/util/validation"

	"heathshed/internal/control/memquota"
	"heathshed/placer"
)

// idempotencies maps the permitted values of Class.Idempotency to the constants of package placer.
var idempotencies = map[string]placer.Idempotency{
	"idempotent":   placer.Idempotent,
	"deduplicated": placer.IdempotentByKey,
	"at_most_once": placer.NonIdempotent,
}

// These constants are the values of Class.DedupDomain and Class.SpreadDomain. An empty string has the same
// meaning as NoDomain.
const (
	NoDomain      = "none"
	NodeDomain    = "node"
	RackDomain    = "rack"
	ZoneDomain    = "zone"
	ClusterDomain = "cluster"
)

// topologyDomains maps the values of Class.DedupDomain and Class.SpreadDomain to the constants of package
// placer.
var topologyDomains = map[string]placer.TopologyDomain{
	"":            placer.NoDomain,
	NoDomain:      placer.NoDomain,
	NodeDomain:    placer.NodeDomain,
	RackDomain:    placer.RackDomain,
	ZoneDomain:    placer.ZoneDomain,
	ClusterDomain: placer.ClusterDomain,
}

// shareTolerance is the permitted rounding error of the sum of all Tenant.Share values.
const shareTolerance = 0.0001

// maxClassDeadline is the largest permitted value of Class.Deadline, in seconds.
const maxClassDeadline Duration = 3600

// Validate checks settings that were set by Go code or by command-line flags. If a setting is invalid, Validate
// returns an error that wraps the *FieldError for the first invalid setting.
func (s *Settings) Validate() error {
	if err := s.validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// validate returns a *FieldError for the first invalid setting. If all settings are valid, it returns nil.
func (s *Settings) validate() error {
	if err := s.validateScheduler(); err != nil {
		return err
	}
	if err := s.validateTenants(); err != nil {
		return err
	}
	if len(s.Classes) == 0 {
		return newFieldError("classes", "want one at least")
	}
	nodeTypes, err := s.validateNodeTypes()
	if err != nil {
		return err
	}
	if err := s.validateClasses(nodeTypes); err != nil {
		return err
	}
	for _, b := range slices.Concat(s.boundedPolicySettings(), s.boundedAdmissionSettings(), s.boundedLimits(), s.Emulator.boundedSettings()) {
		if !b.isWithinBounds() {
			return b.error()
		}
	}
	return nil
}

// validateScheduler checks the name, the addresses, the peers and the log level of the scheduler.
func (s *Settings) validateScheduler() error {
	if !isLabelValue(s.Name) {
		return newFieldError("name", "want a Kubernetes label value of at most 63 letters, digits, '-', '_' and '.'")
	}
	for _, address := range []struct{ path, value string }{{"listen", s.Listen}, {"inventory", s.Inventory}} {
		if addrPort, err := netip.ParseAddrPort(address.value); err != nil || !addrPort.Addr().IsLoopback() {
			return newFieldError(address.path, "%q: want a loopback address and port such as 127.0.0.1:8480", address.value)
		}
	}
	if s.Peers < 1 {
		return newFieldError("peers", "want 1 or more")
	}
	if s.Self < 0 || s.Self >= s.Peers {
		return newFieldError("self", "want 0 to %d, one of the peers", s.Peers-1)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		return newFieldError("logLevel", "want debug, info, warn or error")
	}
	return nil
}

// isLabelValue reports whether the string s is a valid and nonempty Kubernetes label value.
func isLabelValue(s string) bool { return s != "" && len(validation.IsValidLabelValue(s)) == 0 }

// validateTenants checks the tenants and the sum of their shares.
func (s *Settings) validateTenants() error {
	shares := 0.0
	names := map[string]bool{}
	for i, tenant := range s.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		if len(validation.IsDNS1123Label(tenant.Name)) > 0 || names[tenant.Name] {
			return newFieldError(path+".name", "want a namespace name, each once")
		}
		names[tenant.Name] = true
		if !(tenant.Share >= 0) || !(tenant.Cores >= 0) {
			return newFieldError(path+".share", "want 0 or more")
		}
		if shares += tenant.Share; shares > 1+shareTolerance {
			return newFieldError(path+".share", "shares add up to more than 1")
		}
	}
	return nil
}

// validateNodeTypes checks the node types and returns the permitted values of Class.NodeType. The permitted
// values are the names of the node types, and "" for any node type.
func (s *Settings) validateNodeTypes() (names map[string]bool, err error) {
	if len(s.NodeTypes) == 0 {
		return nil, newFieldError("nodeTypes", "want one at least")
	}
	names = map[string]bool{"": true}
	for i, nodeType := range s.NodeTypes {
		path := fmt.Sprintf("nodeTypes[%d]", i)
		if !isLabelValue(nodeType.Name) || names[nodeType.Name] {
			return nil, newFieldError(path+".name", "want a label value, each once")
		}
		names[nodeType.Name] = true
		if !(nodeType.Cores > 0) {
			return nil, newFieldError(path+".cores", "want more than 0")
		}
		if !(nodeType.Memory > 0) {
			return nil, newFieldError(path+".memory", "want more than 0")
		}
	}
	return names, nil
}

// validateClasses checks the task classes and the name of the default task class. The map nodeTypes contains
// the permitted values of Class.NodeType.
func (s *Settings) validateClasses(nodeTypes map[string]bool) error {
	names := map[string]bool{}
	for i := range s.Classes {
		class := &s.Classes[i]
		path := fmt.Sprintf("classes[%d]", i)
		if !isLabelValue(class.Name) || names[class.Name] {
			return newFieldError(path+".name", "want a label value, each once")
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
		return newFieldError("defaultClass", "%q is not among classes", s.DefaultClass)
	}
	return nil
}

// validateRequests checks the settings of a task class that apply to its placement requests: idempotency,
// deduplication, latency objective and deadline. The parameter "path" is the path of the task class.
func (c *Class) validateRequests(path string) error {
	if _, known := idempotencies[c.Idempotency]; !known {
		return newFieldError(path+".idempotency", "%q: want idempotent, deduplicated or at_most_once", c.Idempotency)
	}
	deduplicated := c.Idempotency == "deduplicated"
	if _, known := topologyDomains[c.DedupDomain]; !known || deduplicated && isNoDomain(c.DedupDomain) {
		return newFieldError(path+".dedupDomain", "%q: want node, rack, zone or cluster", c.DedupDomain)
	}
	if deduplicated && !(c.DedupWindow > 0) {
		return newFieldError(path+".dedupWindow", "want more than 0")
	}
	if !(c.LatencyObjective > 0) {
		return newFieldError(path+".latencyObjective", "want more than 0")
	}
	if !(c.Deadline > 0) || c.Deadline > maxClassDeadline {
		return newFieldError(path+".deadline", "want more than 0, %v at most", maxClassDeadline)
	}
	return nil
}

// validatePlacement checks the settings of a task class that apply to the selection of a node. The parameter
// "path" is the path of the task class, and nodeTypes contains the permitted values of Class.NodeType.
func (c *Class) validatePlacement(path string, nodeTypes map[string]bool) error {
	if !nodeTypes[c.NodeType] {
		return newFieldError(path+".nodeType", "%q is not among nodeTypes", c.NodeType)
	}
	if _, known := topologyDomains[c.SpreadDomain]; !known || c.SpreadDomain == ClusterDomain {
		return newFieldError(path+".spreadDomain", "%q: want none, node, rack or zone", c.SpreadDomain)
	}
	if !isNoDomain(c.SpreadDomain) && c.MaxPerDomain < 1 {
		return newFieldError(path+".maxPerDomain", "want 1 or more beside spreadDomain")
	}
	if !(c.SaturationThreshold > 0) {
		return newFieldError(path+".saturationThreshold", "want more than 0")
	}
	if !(c.DegradationRange >= 0) {
		return newFieldError(path+".degradationRange", "want 0 or more")
	}
	return nil
}

// isNoDomain reports whether the value of Class.DedupDomain or Class.SpreadDomain means no topology domain.
func isNoDomain(domain string) bool { return domain == "" || domain == NoDomain }

// boundedSetting contains the value of a setting, and the smallest and the largest permitted value.
type boundedSetting struct {
	path            string // path of the setting
	value, min, max float64
	isDuration      bool // if true, the fields value, min and max are durations in seconds
}

// boundedNumber returns the boundedSetting for a setting whose value is a number.
func boundedNumber(path string, value, least, greatest float64) boundedSetting {
	return boundedSetting{path: path, value: value, min: least, max: greatest}
}

// boundedDuration returns the boundedSetting for a setting whose value is a duration. A bound without a unit,
// such as 0.01, is a number of seconds, because Duration is a number of seconds.
func boundedDuration(path string, value, least, greatest Duration) boundedSetting {
	return boundedSetting{path: path, value: value.Seconds(), min: least.Seconds(), max: greatest.Seconds(), isDuration: true}
}

// isWithinBounds reports whether the value of the setting is within its bounds. The result for NaN is false.
func (b *boundedSetting) isWithinBounds() bool { return b.value >= b.min && b.value <= b.max }

// error returns the *FieldError for a setting whose value is not within its bounds.
func (b *boundedSetting) error() error {
	if b.isDuration {
		return newFieldError(b.path, "%v: want %v to %v", Duration(b.value), Duration(b.min), Duration(b.max))
	}
	return newFieldError(b.path, "%v: want %v to %v", b.value, b.min, b.max)
}

// boundedPolicySettings returns the settings of NodePolicy, Timing, Costs and Retry with their smallest and
// largest permitted values.
func (s *Settings) boundedPolicySettings() []boundedSetting {
	return []boundedSetting{
		boundedNumber("nodePolicy.overcommitCores", s.NodePolicy.OvercommitCores, 0.1, 100),
		boundedNumber("nodePolicy.overcommitMemory", s.NodePolicy.OvercommitMemory, 0.1, 100),
		boundedNumber("nodePolicy.maxAttempts", float64(s.NodePolicy.MaxAttempts), 1, 100),
		boundedDuration("timing.answerGrace", s.Timing.AnswerGrace, 0.01, 10),
		boundedDuration("timing.drainGrace", s.Timing.DrainGrace, 0, 60),
		boundedNumber("timing.warmupMinPace", s.Timing.WarmupMinPace, 0, 1),
		boundedDuration("timing.warmupDuration", s.Timing.WarmupDuration, 0, 3600),
		boundedNumber("timing.overloadMultiple", s.Timing.OverloadMultiple, 0, 1e6),
		boundedDuration("timing.overloadWindow", s.Timing.OverloadWindow, 0, 60),
		boundedNumber("timing.warmupAttempts", s.Timing.WarmupAttempts, 0, 1e6),
		boundedNumber("costs.node", s.Costs.Node, 0, 100),
		boundedNumber("costs.crossZone", s.Costs.CrossZone, 0, 100),
		boundedNumber("costs.migration", s.Costs.Migration, 0, 100),
		boundedDuration("retry.delay", s.Retry.Delay, 1, 3600),
		boundedDuration("retry.shortDelay", s.Retry.ShortDelay, 0, 3600),
		boundedNumber("retry.multiplier", s.Retry.Multiplier, 1, 10),
		boundedDuration("retry.maxDelay", s.Retry.MaxDelay, 1, 3600),
		boundedDuration("retry.unknownOutcomeTimeout", s.Retry.UnknownOutcomeTimeout, 0, 600),
	}
}

// boundedAdmissionSettings returns the settings of Admission with their smallest and largest permitted values.
func (s *Settings) boundedAdmissionSettings() []boundedSetting {
	a := &s.Admission
	return []boundedSetting{
		boundedNumber("admission.minInFlight", a.MinInFlight, 1, a.MaxInFlight),
		boundedNumber("admission.maxInFlight", a.MaxInFlight, 1, 1e9),
		boundedNumber("admission.initialInFlight", a.InitialInFlight, 1, 1e9),
		boundedNumber("admission.decreaseFactor", a.DecreaseFactor, 0.01, 0.99),
		boundedDuration("admission.decreaseInterval", a.DecreaseInterval, 0, 60),
		boundedNumber("admission.lateFraction", a.LateFraction, 0, 1),
		boundedNumber("admission.maxQueued", float64(a.MaxQueued), 1, 1e9),
		boundedNumber("admission.retryRatio", a.RetryRatio, 0, 100),
		boundedNumber("admission.retryRate", a.RetryRate, 0, 1e9),
		boundedNumber("admission.retryBurst", a.RetryBurst, 0, 1e9),
	}
}

// boundedLimits returns the settings of Limits and the top-level timeouts of Settings with their smallest and
// largest permitted values.
func (s *Settings) boundedLimits() []boundedSetting {
	l := &s.Limits
	return []boundedSetting{
		boundedNumber("limits.memoryMiB", float64(l.MemoryMiB), memquota.MinMemory>>20, 1<<20),
		boundedNumber("limits.connections", float64(l.Connections), 1, 1e6),
		boundedNumber("limits.maxBodyBytes", float64(l.MaxBodyBytes), 1024, 1<<30),
		boundedNumber("limits.maxPods", float64(l.MaxPods), 1, 1e7),
		boundedNumber("limits.history", float64(l.History), 1, 1e7),
		boundedNumber("limits.maxPage", float64(l.MaxPage), 0, 1e7),
		boundedDuration("limits.finishedTTL", l.FinishedTTL, 0, 1e9),
		boundedDuration("limits.nodeLossTimeout", l.NodeLossTimeout, 0.1, 3600),
		boundedDuration("nodeSyncTimeout", s.NodeSyncTimeout, 0, 600),
		boundedDuration("connectTimeout", s.ConnectTimeout, 0.01, 60),
		boundedDuration("shutdownTimeout", s.ShutdownTimeout, 0, 3600),
	}
}
