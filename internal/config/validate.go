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

// topologyDomains are the values of Class.DedupDomain and Class.SpreadDomain.
var topologyDomains = map[string]placer.TopologyDomain{
	"":        placer.NoDomain,
	"none":    placer.NoDomain,
	"machine": placer.NodeDomain,
	"rack":    placer.RackDomain,
	"zone":    placer.ZoneDomain,
	"all":     placer.ClusterDomain,
}

// shareTolerance is the rounding error allowed in the sum of the tenants' shares.
const shareTolerance = 0.0001

// maxClassDeadline bounds Class.Deadline, in seconds.
const maxClassDeadline = 3600

// Validate reports whether settings made in code or by flags can be used. The error wraps a *FieldError.
func (s *Settings) Validate() error {
	if err := s.validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// validate returns a *FieldError for the first setting that cannot be used.
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
	for _, b := range slices.Concat(s.policyBounds(), s.admissionBounds(), s.limitBounds(), s.emulatorBounds()) {
		if !(b.value >= b.min && b.value <= b.max) {
			return invalid(b.path, "%v: want %v to %v", b.value, b.min, b.max)
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

// isLabelValue reports whether a text is a Kubernetes label value other than the empty one.
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

// validateNodeTypes also returns the names that Class.NodeType may have, among them "" for any type.
func (s *Settings) validateNodeTypes() (names map[string]bool, err error) {
	if len(s.NodeTypes) == 0 {
		return nil, invalid("kinds", "want one at least")
	}
	names = map[string]bool{"": true}
	for i, nodeType := range s.NodeTypes {
		path := fmt.Sprintf("kinds[%d]", i)
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

// validateRequests checks how tasks of the class are requested.
func (c *Class) validateRequests(path string) error {
	if _, known := idempotencies[c.Idempotency]; !known {
		return invalid(path+".effect", "%q: want idempotent, deduplicated or at_most_once", c.Idempotency)
	}
	deduplicated := c.Idempotency == "deduplicated"
	if _, known := topologyDomains[c.DedupDomain]; !known || deduplicated && isNoDomain(c.DedupDomain) {
		return invalid(path+".keyScope", "%q: want machine, rack, zone or all", c.DedupDomain)
	}
	if deduplicated && !(c.DedupWindow > 0) {
		return invalid(path+".keyTtl", "want more than 0")
	}
	if !(c.LatencyObjective > 0) {
		return invalid(path+".aim", "want more than 0")
	}
	if !(c.Deadline > 0) || c.Deadline > maxClassDeadline {
		return invalid(path+".deadline", "want more than 0, %d at most", maxClassDeadline)
	}
	return nil
}

// validatePlacement checks where tasks of the class may run.
func (c *Class) validatePlacement(path string, nodeTypes map[string]bool) error {
	if !nodeTypes[c.NodeType] {
		return invalid(path+".nodeKind", "%q is not among kinds", c.NodeType)
	}
	if _, known := topologyDomains[c.SpreadDomain]; !known || c.SpreadDomain == "all" {
		return invalid(path+".apartBy", "%q: want none, machine, rack or zone", c.SpreadDomain)
	}
	if !isNoDomain(c.SpreadDomain) && c.MaxPerDomain < 1 {
		return invalid(path+".togetherMax", "want 1 or more beside apartBy")
	}
	if !(c.SaturationThreshold > 0) {
		return invalid(path+".calmUpTo", "want more than 0")
	}
	if !(c.DegradationRange >= 0) {
		return invalid(path+".fadesOver", "want 0 or more")
	}
	return nil
}

func isNoDomain(domain string) bool { return domain == "" || domain == "none" }

// bounds are the least and the greatest value of a setting.
type bounds struct {
	path            string
	value, min, max float64
}

func (s *Settings) policyBounds() []bounds {
	return []bounds{
		{"machines.bookCores", s.NodePolicy.OvercommitCores, 0.1, 100},
		{"machines.bookMemory", s.NodePolicy.OvercommitMemory, 0.1, 100},
		{"machines.maxAttempts", float64(s.NodePolicy.MaxAttempts), 1, 100},
		{"rules.answerSlack", s.Rules.AnswerGrace, 0.01, 10},
		{"rules.drainGrace", s.Rules.DrainGrace, 0, 60},
		{"rules.coldFrom", s.Rules.WarmupMinPace, 0, 1},
		{"rules.warmWithin", s.Rules.WarmupDuration, 0, 3600},
		{"rules.fallMultiple", s.Rules.OverloadMultiple, 0, 1e6},
		{"rules.fallWindow", s.Rules.OverloadWindow, 0, 60},
		{"rules.coldAlways", s.Rules.WarmupAttempts, 0, 1e6},
		{"prices.fleet", s.Costs.Node, 0, 100},
		{"prices.cross", s.Costs.CrossZone, 0, 100},
		{"prices.move", s.Costs.Migration, 0, 100},
		{"owner.again", s.Retry.Delay, 1, 3600},
		{"owner.soon", s.Retry.ShortDelay, 0, 3600},
		{"owner.growth", s.Retry.Multiplier, 1, 10},
		{"owner.most", s.Retry.MaxDelay, 1, 3600},
		{"owner.settle", s.Retry.UnknownOutcomeTimeout, 0, 600},
	}
}

func (s *Settings) admissionBounds() []bounds {
	a := &s.Admission
	return []bounds{
		{"gate.minInFlight", a.MinInFlight, 1, a.MaxInFlight},
		{"gate.maxInFlight", a.MaxInFlight, 1, 1e9},
		{"gate.start", a.InitialInFlight, 1, 1e9},
		{"gate.decrease", a.DecreaseFactor, 0.01, 0.99},
		{"gate.window", a.DecreaseInterval, 0, 60},
		{"gate.latePart", a.LateFraction, 0, 1},
		{"gate.maxWaiting", float64(a.MaxQueued), 1, 1e9},
		{"gate.retryRatio", a.RetryRatio, 0, 100},
		{"gate.retryRate", a.RetryRate, 0, 1e9},
		{"gate.retryBurst", a.RetryBurst, 0, 1e9},
	}
}

func (s *Settings) limitBounds() []bounds {
	l := &s.Limits
	return []bounds{
		{"limits.memory", float64(l.MemoryMiB), memquota.MinMemory >> 20, 1 << 20},
		{"limits.connections", float64(l.Connections), 1, 1e6},
		{"limits.body", float64(l.MaxBodyBytes), 1024, 1 << 30},
		{"limits.pods", float64(l.MaxPods), 1, 1e7},
		{"limits.history", float64(l.History), 1, 1e7},
		{"limits.page", float64(l.MaxPage), 0, 1e7},
		{"limits.keepFinished", l.FinishedTTL, 0, 1e9},
		{"limits.lostAfter", l.NodeLossTimeout, 0.1, 3600},
		{"heardWithin", s.NodeSyncTimeout, 0, 600},
		{"connectWithin", s.ConnectTimeout, 0.01, 60},
		{"stopWithin", s.ShutdownTimeout, 0, 3600},
	}
}

func (s *Settings) emulatorBounds() []bounds {
	e := &s.Emulator
	return []bounds{
		{"standin.nodes", float64(e.Nodes), 1, 10000},
		{"standin.racks", float64(e.Racks), 1, 10000},
		{"standin.zones", float64(e.Zones), 1, 100},
		{"standin.late", e.ReportDelay, 0, 600},
		{"standin.silentAfter", e.UnresponsiveAfter, 0.5, 600},
		{"standin.removeAfter", e.RemoveAfter, 0, 1e6},
		{"standin.lookMin", e.DecisionDelayMin, 0, 10},
		{"standin.lookMax", e.DecisionDelayMax, e.DecisionDelayMin, 10},
		{"standin.maxWaiting", float64(e.MaxQueued), 1, 1e6},
		{"standin.startsAtOnce", float64(e.MaxConcurrentStarts), 1, 1e6},
		{"standin.startWork", e.StartSeconds, 0.0001, 600},
		{"standin.freshFactor", e.UncachedStartFactor, 1, 1000},
		{"standin.keepPrograms", float64(e.ProgramCacheSize), 0, 1000},
		{"standin.useMin", e.UsageMin, 0, 10},
		{"standin.useMax", e.UsageMax, e.UsageMin, 10},
		{"standin.lifeMean", e.LifetimeMean, 0.01, 1e7},
		{"standin.grace", e.DrainGrace, -1, 3600},
	}
}
