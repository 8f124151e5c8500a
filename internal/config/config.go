// Package settings reads the program's settings: JSON with comments, every field checked, errors with file, line and column.
//
// It is pure but for Load, which reads the file.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"k8s.io/apimachinery/pkg/util/validation"

	"heathshed/internal/admission"
	"heathshed/internal/engine"
	"heathshed/internal/memquota"
	"heathshed/internal/nodesim"
	"heathshed/internal/retry"
	"heathshed/internal/scenario"
	"heathshed/placer"
)

// Settings are all that a scheduler and the stand-ins are told. Times are in seconds, memory in GiB.
type Settings struct {
	Name            string     `json:"name"`
	Listen          string     `json:"listen"`
	Inventory       string     `json:"inventory"`
	Zone            string     `json:"zone"`
	LogLevel        string     `json:"logLevel"`
	Self            int        `json:"self"`
	Peers           int        `json:"peers"`
	Tenants         []Tenant   `json:"tenants"`
	Classes         []Class    `json:"classes"`
	DefaultClass    string     `json:"defaultClass"`
	NodeTypes       []NodeType `json:"kinds"`
	NodePolicy      NodePolicy `json:"machines"`
	Rules           Rules      `json:"rules"`
	Costs           Costs      `json:"prices"`
	Retry           Retry      `json:"owner"`
	Admission       Admission  `json:"gate"`
	Limits          Limits     `json:"limits"`
	Emulator        Emulator   `json:"standin"`
	NodeSyncTimeout float64    `json:"heardWithin"`
	ConnectTimeout  float64    `json:"connectWithin"`
	ShutdownTimeout float64    `json:"stopWithin"`
}

// Tenant is a namespace with a share.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Cores float64 `json:"cores"`
}

// Class is a class of tasks.
type Class struct {
	Name                string  `json:"name"`
	Idempotency         string  `json:"effect"` // idempotent, deduplicated or at_most_once
	DedupDomain         string  `json:"keyScope"`
	DedupWindow         float64 `json:"keyTtl"`
	LatencyObjective    float64 `json:"aim"`
	Deadline            float64 `json:"deadline"`
	Priority            int     `json:"priority"`
	Weight              float64 `json:"worth"`
	LateWeight          float64 `json:"lateWorth"`
	StartBonus          float64 `json:"startBonus"`
	NodeType            string  `json:"nodeKind"`
	SpreadDomain        string  `json:"apartBy"` // none, machine, rack or zone
	MaxPerDomain        int     `json:"togetherMax"`
	SaturationThreshold float64 `json:"calmUpTo"`
	DegradationRange    float64 `json:"fadesOver"`
	MeanLifetime        float64 `json:"life"` // of stand-in tasks, on average
}

// NodeType is a type of machine.
type NodeType struct {
	Name   string  `json:"name"`
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// NodePolicy are the limits and habits of all machines.
type NodePolicy struct {
	OvercommitCores     float64 `json:"bookCores"`
	OvercommitMemory    float64 `json:"bookMemory"`
	AcknowledgesOnStart bool    `json:"answersWhenRunning"`
	ListShowsCapacity   bool    `json:"listShowsRoom"`
	Preempts            bool    `json:"pushesOut"`
	MaxAttempts         int     `json:"maxAttempts"`
}

// Rules are the figures of the five rules.
type Rules struct {
	AnswerGrace      float64 `json:"answerSlack"`
	DrainGrace       float64 `json:"drainGrace"`
	WarmupMinPace    float64 `json:"coldFrom"`
	WarmupDuration   float64 `json:"warmWithin"`
	OverloadMultiple float64 `json:"fallMultiple"`
	OverloadWindow   float64 `json:"fallWindow"`
	WarmupAttempts   float64 `json:"coldAlways"`
}

// Costs weigh machines in use, zones crossed and moves.
type Costs struct {
	Node      float64 `json:"fleet"`
	CrossZone float64 `json:"cross"`
	Migration float64 `json:"move"`
}

// Retry are the waits before a task is asked for again.
type Retry struct {
	Delay                 float64 `json:"again"`
	ShortDelay            float64 `json:"soon"`
	Multiplier            float64 `json:"growth"`
	MaxDelay              float64 `json:"most"`
	UnknownOutcomeTimeout float64 `json:"settle"`
}

// Admission sets up the front door: what is asked of the placer when more is asked than the fleet can start.
type Admission struct {
	Enabled          bool    `json:"on"`
	MinInFlight      float64 `json:"minInFlight"`
	MaxInFlight      float64 `json:"maxInFlight"`
	InitialInFlight  float64 `json:"start"`
	DecreaseFactor   float64 `json:"decrease"`
	DecreaseInterval float64 `json:"window"`
	LateFraction     float64 `json:"latePart"`
	MaxQueued        int     `json:"maxWaiting"`
	RetryRatio       float64 `json:"retryRatio"`
	RetryRate        float64 `json:"retryRate"`
	RetryBurst       float64 `json:"retryBurst"`
}

// controllerConfig turns the settings into the module's.
func (a *Admission) controllerConfig() admission.Config {
	return admission.Config{MinInFlight: a.MinInFlight, MaxInFlight: a.MaxInFlight, InitialInFlight: a.InitialInFlight, DecreaseFactor: a.DecreaseFactor, DecreaseInterval: a.DecreaseInterval,
		LateFraction: a.LateFraction, MaxQueued: a.MaxQueued, RetryRatio: a.RetryRatio, RetryRate: a.RetryRate, RetryBurst: a.RetryBurst, Disabled: !a.Enabled}
}

// Limits bound what the program holds.
type Limits struct {
	MemoryMiB       int     `json:"memory"` // MiB, divided by package budget
	Connections     int     `json:"connections"`
	MaxBodyBytes    int     `json:"body"`
	MaxPods         int     `json:"pods"`
	History         int     `json:"history"`
	MaxPage         int     `json:"page"`
	FinishedTTL     float64 `json:"keepFinished"`
	NodeLossTimeout float64 `json:"lostAfter"`
}

// Emulator describes the stand-in machines and inventory of up and standin.
type Emulator struct {
	Nodes               int     `json:"nodes"`
	Racks               int     `json:"racks"`
	Zones               int     `json:"zones"`
	ReportDelay         float64 `json:"late"`
	UnresponsiveAfter   float64 `json:"silentAfter"`
	RemoveAfter         float64 `json:"removeAfter"`
	DecisionDelayMin    float64 `json:"lookMin"`
	DecisionDelayMax    float64 `json:"lookMax"`
	MaxQueued           int     `json:"maxWaiting"`
	MaxConcurrentStarts int     `json:"startsAtOnce"`
	StartSeconds        float64 `json:"startWork"`
	UncachedStartFactor float64 `json:"freshFactor"`
	ProgramCacheSize    int     `json:"keepPrograms"`
	UsageMin            float64 `json:"useMin"`
	UsageMax            float64 `json:"useMax"`
	LifetimeMean        float64 `json:"lifeMean"`
	DrainGrace          float64 `json:"grace"`
	Seed                uint64  `json:"seed"`
}

// Default is what the program runs with when nothing is given.
func Default() Settings {
	retryPolicy := retry.DefaultPolicy()
	node := nodesim.DefaultConfig()
	controller := admission.DefaultConfig()
	return Settings{
		Name: "heathshed", Listen: "127.0.0.1:8480", Inventory: "127.0.0.1:8481", Zone: "zone-a", LogLevel: "info", Peers: 1, Tenants: []Tenant{},
		Classes: []Class{
			{Name: "web", Idempotency: "idempotent", LatencyObjective: 1, Deadline: 8, Priority: 1, Weight: 2, LateWeight: 0.2, StartBonus: 8, SaturationThreshold: 0.8, DegradationRange: 0.5},
			{Name: "batch", Idempotency: "idempotent", LatencyObjective: 4, Deadline: 10, Weight: 1, LateWeight: 0.2, StartBonus: 8, SaturationThreshold: 1, DegradationRange: 0.5},
			{Name: "once", Idempotency: "at_most_once", LatencyObjective: 4, Deadline: 10, Priority: 2, Weight: 2, LateWeight: 0.2, StartBonus: 8,
				SaturationThreshold: 1, DegradationRange: 0.5},
			{Name: "keyed", Idempotency: "deduplicated", DedupDomain: "rack", DedupWindow: 5, LatencyObjective: 1, Deadline: 8, Priority: 1, Weight: 3, LateWeight: 0.2,
				StartBonus: 8, SaturationThreshold: 0.9, DegradationRange: 0.5},
			{Name: "spread", Idempotency: "idempotent", LatencyObjective: 4, Deadline: 10, Weight: 1, LateWeight: 0.2, StartBonus: 8, SaturationThreshold: 1, DegradationRange: 0.5,
				SpreadDomain: "rack", MaxPerDomain: 3},
		},
		DefaultClass: "batch",
		NodeTypes:    []NodeType{{"standard", 32, 64}, {"large", 64, 128}},
		NodePolicy:   NodePolicy{OvercommitCores: node.OvercommitCores, OvercommitMemory: node.OvercommitMemory, ListShowsCapacity: true, Preempts: true, MaxAttempts: 4},
		Rules: Rules{AnswerGrace: 0.25, DrainGrace: 0.5, WarmupMinPace: node.InitialPace, WarmupDuration: node.WarmUpSeconds, OverloadMultiple: node.OverloadFactor,
			OverloadWindow: node.OverloadWindow, WarmupAttempts: node.OverloadMinRequests},
		Retry: Retry{retryPolicy.Delay, retryPolicy.ShortDelay, retryPolicy.Multiplier, retryPolicy.MaxDelay, retryPolicy.UnknownOutcomeTimeout},
		Admission: Admission{Enabled: true, MinInFlight: controller.MinInFlight, MaxInFlight: controller.MaxInFlight, InitialInFlight: controller.InitialInFlight, DecreaseFactor: controller.DecreaseFactor, DecreaseInterval: controller.DecreaseInterval,
			LateFraction: controller.LateFraction, MaxQueued: controller.MaxQueued, RetryRatio: controller.RetryRatio, RetryRate: controller.RetryRate, RetryBurst: controller.RetryBurst},
		NodeSyncTimeout: 5, ConnectTimeout: 1, ShutdownTimeout: 30,
		Limits: Limits{MemoryMiB: 2048, Connections: 16384, MaxBodyBytes: 3 << 20, MaxPods: engine.DefaultMaxPods, History: engine.DefaultHistory, FinishedTTL: 3600,
			NodeLossTimeout: engine.DefaultNodeLossTimeout},
		Emulator: Emulator{Nodes: 8, Racks: 2, Zones: 1, ReportDelay: 1, UnresponsiveAfter: 2, RemoveAfter: 60, DecisionDelayMin: node.DecisionDelayMin, DecisionDelayMax: node.DecisionDelayMax,
			MaxQueued: node.MaxQueued, MaxConcurrentStarts: node.MaxConcurrentStarts, StartSeconds: node.StartSeconds, UncachedStartFactor: node.UncachedStartFactor,
			ProgramCacheSize: node.ProgramCacheSize, UsageMin: node.UsageMin, UsageMax: node.UsageMax, LifetimeMean: node.LifetimeMean, DrainGrace: node.DrainGrace, Seed: 1},
	}
}

// Load reads a file over the defaults and checks all of it.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse is Load on text; file is only named in errors.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	dec := decoder{file: file, text: text}
	if err := dec.decode(&s); err != nil {
		return Settings{}, err
	}
	if path, msg := s.validate(); msg != "" {
		at, ok := dec.offsets[path]
		for p := path; !ok && p != ""; at, ok = dec.offsets[p] {
			p = parentPath(p)
		}
		return Settings{}, dec.errorAt(at, path, "%s", msg)
	}
	return s, nil
}

func parentPath(p string) string {
	for i := len(p) - 1; i >= 0; i-- {
		if p[i] == '.' || p[i] == '[' {
			return p[:i]
		}
	}
	return ""
}

// Text writes settings in the form that Parse reads.
func (s *Settings) Text() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }

var idempotencies = map[string]placer.Idempotency{"idempotent": placer.Idempotent, "deduplicated": placer.IdempotentByKey, "at_most_once": placer.NonIdempotent}
var topologyDomains = map[string]placer.TopologyDomain{"": placer.NoDomain, "none": placer.NoDomain, "machine": placer.NodeDomain, "rack": placer.RackDomain,
	"zone": placer.ZoneDomain, "all": placer.ClusterDomain}

// validate returns the path of the first setting that cannot be used and why.
func (s *Settings) validate() (path, msg string) {
	if s.Name == "" || len(validation.IsValidLabelValue(s.Name)) > 0 {
		return "name", "want a label value: letters, digits, '-', '_' and '.', 63 at most"
	}
	for _, address := range []struct{ path, v string }{{"listen", s.Listen}, {"inventory", s.Inventory}} {
		if addrPort, err := netip.ParseAddrPort(address.v); err != nil || !addrPort.Addr().IsLoopback() {
			return address.path, fmt.Sprintf("%q: want a loopback address and port such as 127.0.0.1:8480", address.v)
		}
	}
	if s.Peers < 1 {
		return "peers", "want 1 or more"
	}
	if s.Self < 0 || s.Self >= s.Peers {
		return "self", fmt.Sprintf("want 0 to %d, one of the peers", s.Peers-1)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		return "logLevel", "want debug, info, warn or error"
	}
	share := 0.0
	tenantNames := map[string]bool{}
	for i, tenant := range s.Tenants {
		p := fmt.Sprintf("tenants[%d]", i)
		if len(validation.IsDNS1123Label(tenant.Name)) > 0 || tenantNames[tenant.Name] {
			return p + ".name", "want a namespace name, each once"
		}
		tenantNames[tenant.Name] = true
		if !(tenant.Share >= 0) || !(tenant.Cores >= 0) {
			return p + ".share", "want 0 or more"
		}
		if share += tenant.Share; share > 1.0001 {
			return p + ".share", "shares add up to more than 1"
		}
	}
	if len(s.Classes) == 0 {
		return "classes", "want one at least"
	}
	nodeTypes := map[string]bool{"": true}
	if len(s.NodeTypes) == 0 {
		return "kinds", "want one at least"
	}
	for i, nodeType := range s.NodeTypes {
		p := fmt.Sprintf("kinds[%d]", i)
		if nodeType.Name == "" || len(validation.IsValidLabelValue(nodeType.Name)) > 0 || nodeTypes[nodeType.Name] {
			return p + ".name", "want a label value, each once"
		}
		nodeTypes[nodeType.Name] = true
		if !(nodeType.Cores > 0) {
			return p + ".cores", "want more than 0"
		}
		if !(nodeType.Memory > 0) {
			return p + ".memory", "want more than 0"
		}
	}
	classNames := map[string]bool{}
	for i, class := range s.Classes {
		p := fmt.Sprintf("classes[%d]", i)
		_, idempotencyKnown := idempotencies[class.Idempotency]
		_, dedupKnown := topologyDomains[class.DedupDomain]
		_, spreadKnown := topologyDomains[class.SpreadDomain]
		switch {
		case class.Name == "" || len(validation.IsValidLabelValue(class.Name)) > 0 || classNames[class.Name]:
			return p + ".name", "want a label value, each once"
		case !idempotencyKnown:
			return p + ".effect", fmt.Sprintf("%q: want idempotent, deduplicated or at_most_once", class.Idempotency)
		case !dedupKnown || class.Idempotency == "deduplicated" && (class.DedupDomain == "" || class.DedupDomain == "none"):
			return p + ".keyScope", fmt.Sprintf("%q: want machine, rack, zone or all", class.DedupDomain)
		case class.Idempotency == "deduplicated" && !(class.DedupWindow > 0):
			return p + ".keyTtl", "want more than 0"
		case !(class.LatencyObjective > 0):
			return p + ".aim", "want more than 0"
		case !(class.Deadline > 0) || class.Deadline > 3600:
			return p + ".deadline", "want more than 0, 3600 at most"
		case !nodeTypes[class.NodeType]:
			return p + ".nodeKind", fmt.Sprintf("%q is not among kinds", class.NodeType)
		case !spreadKnown || class.SpreadDomain == "all":
			return p + ".apartBy", fmt.Sprintf("%q: want none, machine, rack or zone", class.SpreadDomain)
		case class.SpreadDomain != "" && class.SpreadDomain != "none" && class.MaxPerDomain < 1:
			return p + ".togetherMax", "want 1 or more beside apartBy"
		case !(class.SaturationThreshold > 0):
			return p + ".calmUpTo", "want more than 0"
		case !(class.DegradationRange >= 0):
			return p + ".fadesOver", "want 0 or more"
		}
		classNames[class.Name] = true
	}
	if !classNames[s.DefaultClass] {
		return "defaultClass", fmt.Sprintf("%q is not among classes", s.DefaultClass)
	}
	for _, bounds := range []struct {
		path      string
		v, lo, hi float64
	}{
		{path: "machines.bookCores", v: s.NodePolicy.OvercommitCores, lo: 0.1, hi: 100}, {path: "machines.bookMemory", v: s.NodePolicy.OvercommitMemory, lo: 0.1, hi: 100},
		{path: "machines.maxAttempts", v: float64(s.NodePolicy.MaxAttempts), lo: 1, hi: 100},
		{path: "rules.answerSlack", v: s.Rules.AnswerGrace, lo: 0.01, hi: 10}, {path: "rules.drainGrace", v: s.Rules.DrainGrace, lo: 0, hi: 60},
		{path: "rules.coldFrom", v: s.Rules.WarmupMinPace, lo: 0, hi: 1}, {path: "rules.warmWithin", v: s.Rules.WarmupDuration, lo: 0, hi: 3600},
		{path: "rules.fallMultiple", v: s.Rules.OverloadMultiple, lo: 0, hi: 1e6}, {path: "rules.fallWindow", v: s.Rules.OverloadWindow, lo: 0, hi: 60},
		{path: "rules.coldAlways", v: s.Rules.WarmupAttempts, lo: 0, hi: 1e6},
		{path: "prices.fleet", v: s.Costs.Node, lo: 0, hi: 100}, {path: "prices.cross", v: s.Costs.CrossZone, lo: 0, hi: 100},
		{path: "prices.move", v: s.Costs.Migration, lo: 0, hi: 100},
		{path: "owner.again", v: s.Retry.Delay, lo: 1, hi: 3600}, {path: "owner.soon", v: s.Retry.ShortDelay, lo: 0, hi: 3600},
		{path: "owner.growth", v: s.Retry.Multiplier, lo: 1, hi: 10}, {path: "owner.most", v: s.Retry.MaxDelay, lo: 1, hi: 3600},
		{path: "owner.settle", v: s.Retry.UnknownOutcomeTimeout, lo: 0, hi: 600},
		{path: "gate.minInFlight", v: s.Admission.MinInFlight, lo: 1, hi: s.Admission.MaxInFlight}, {path: "gate.maxInFlight", v: s.Admission.MaxInFlight, lo: 1, hi: 1e9},
		{path: "gate.start", v: s.Admission.InitialInFlight, lo: 1, hi: 1e9}, {path: "gate.decrease", v: s.Admission.DecreaseFactor, lo: 0.01, hi: 0.99},
		{path: "gate.window", v: s.Admission.DecreaseInterval, lo: 0, hi: 60}, {path: "gate.latePart", v: s.Admission.LateFraction, lo: 0, hi: 1},
		{path: "gate.maxWaiting", v: float64(s.Admission.MaxQueued), lo: 1, hi: 1e9}, {path: "gate.retryRatio", v: s.Admission.RetryRatio, lo: 0, hi: 100},
		{path: "gate.retryRate", v: s.Admission.RetryRate, lo: 0, hi: 1e9}, {path: "gate.retryBurst", v: s.Admission.RetryBurst, lo: 0, hi: 1e9},
		{path: "limits.memory", v: float64(s.Limits.MemoryMiB), lo: memquota.MinMemory >> 20, hi: 1 << 20},
		{path: "limits.connections", v: float64(s.Limits.Connections), lo: 1, hi: 1e6}, {path: "limits.body", v: float64(s.Limits.MaxBodyBytes), lo: 1024, hi: 1 << 30},
		{path: "limits.pods", v: float64(s.Limits.MaxPods), lo: 1, hi: 1e7}, {path: "limits.history", v: float64(s.Limits.History), lo: 1, hi: 1e7},
		{path: "limits.page", v: float64(s.Limits.MaxPage), lo: 0, hi: 1e7}, {path: "limits.keepFinished", v: s.Limits.FinishedTTL, lo: 0, hi: 1e9},
		{path: "limits.lostAfter", v: s.Limits.NodeLossTimeout, lo: 0.1, hi: 3600},
		{path: "heardWithin", v: s.NodeSyncTimeout, lo: 0, hi: 600}, {path: "connectWithin", v: s.ConnectTimeout, lo: 0.01, hi: 60},
		{path: "stopWithin", v: s.ShutdownTimeout, lo: 0, hi: 3600},
		{path: "standin.nodes", v: float64(s.Emulator.Nodes), lo: 1, hi: 10000}, {path: "standin.racks", v: float64(s.Emulator.Racks), lo: 1, hi: 10000},
		{path: "standin.zones", v: float64(s.Emulator.Zones), lo: 1, hi: 100}, {path: "standin.late", v: s.Emulator.ReportDelay, lo: 0, hi: 600},
		{path: "standin.silentAfter", v: s.Emulator.UnresponsiveAfter, lo: 0.5, hi: 600}, {path: "standin.removeAfter", v: s.Emulator.RemoveAfter, lo: 0, hi: 1e6},
		{path: "standin.lookMin", v: s.Emulator.DecisionDelayMin, lo: 0, hi: 10}, {path: "standin.lookMax", v: s.Emulator.DecisionDelayMax, lo: s.Emulator.DecisionDelayMin, hi: 10},
		{path: "standin.maxWaiting", v: float64(s.Emulator.MaxQueued), lo: 1, hi: 1e6}, {path: "standin.startsAtOnce", v: float64(s.Emulator.MaxConcurrentStarts), lo: 1, hi: 1e6},
		{path: "standin.startWork", v: s.Emulator.StartSeconds, lo: 0.0001, hi: 600}, {path: "standin.freshFactor", v: s.Emulator.UncachedStartFactor, lo: 1, hi: 1000},
		{path: "standin.keepPrograms", v: float64(s.Emulator.ProgramCacheSize), lo: 0, hi: 1000},
		{path: "standin.useMin", v: s.Emulator.UsageMin, lo: 0, hi: 10}, {path: "standin.useMax", v: s.Emulator.UsageMax, lo: s.Emulator.UsageMin, hi: 10},
		{path: "standin.lifeMean", v: s.Emulator.LifetimeMean, lo: 0.01, hi: 1e7}, {path: "standin.grace", v: s.Emulator.DrainGrace, lo: -1, hi: 3600},
	} {
		if !(bounds.v >= bounds.lo && bounds.v <= bounds.hi) {
			return bounds.path, fmt.Sprintf("%v: want %v to %v", bounds.v, bounds.lo, bounds.hi)
		}
	}
	return "", ""
}

// Validate says whether settings made in code or by flags can be used.
func (s *Settings) Validate() error {
	if path, msg := s.validate(); msg != "" {
		return fmt.Errorf("settings: %s: %s", path, msg)
	}
	return nil
}

// Engine turns settings into an engine's configuration.
func (s *Settings) Engine(seed uint64, baseRev int64) engine.Config {
	memory := memquota.Divide(int64(s.Limits.MemoryMiB) << 20)
	engineConfig := engine.Config{MaxHistory: memory.History, MaxObjects: memory.Objects, Name: s.Name, Zone: s.Zone, Seed: seed, BaseRevision: baseRev, History: s.Limits.History, MaxPods: s.Limits.MaxPods,
		FinishedTTL: s.Limits.FinishedTTL, NodeLossTimeout: s.Limits.NodeLossTimeout, Admission: s.Admission.controllerConfig(),
		Retry: retry.Policy{Delay: s.Retry.Delay, ShortDelay: s.Retry.ShortDelay, Multiplier: s.Retry.Multiplier, MaxDelay: s.Retry.MaxDelay, UnknownOutcomeTimeout: s.Retry.UnknownOutcomeTimeout}}
	policy := placer.Config{Self: s.Self, Peers: s.Peers, OvercommitCores: s.NodePolicy.OvercommitCores, OvercommitMemory: s.NodePolicy.OvercommitMemory,
		AcknowledgesOnStart: s.NodePolicy.AcknowledgesOnStart, ListShowsCapacity: s.NodePolicy.ListShowsCapacity, ReportsUsage: true,
		Preempts: s.NodePolicy.Preempts, MaxAttempts: s.NodePolicy.MaxAttempts, ConnectTimeout: s.ConnectTimeout, AnswerGrace: s.Rules.AnswerGrace,
		DrainGrace: s.Rules.DrainGrace, WarmupMinPace: s.Rules.WarmupMinPace, WarmupDuration: s.Rules.WarmupDuration, OverloadMultiple: s.Rules.OverloadMultiple,
		OverloadWindow: s.Rules.OverloadWindow, WarmupAttempts: s.Rules.WarmupAttempts, UnknownOutcomeWait: s.Retry.UnknownOutcomeTimeout, NodeCost: s.Costs.Node,
		CrossZoneCost: s.Costs.CrossZone, MigrationCost: s.Costs.Migration, OverQuotaWeight: 0.2}
	for i, class := range s.Classes {
		engineConfig.Classes = append(engineConfig.Classes, class.Name)
		if class.Name == s.DefaultClass {
			engineConfig.DefaultClass = i
		}
		policy.Classes = append(policy.Classes, placer.Class{Idempotency: idempotencies[class.Idempotency], DedupDomain: topologyDomains[class.DedupDomain], DedupWindow: class.DedupWindow, LatencyObjective: class.LatencyObjective,
			Deadline: class.Deadline, Weight: class.Weight, LateWeight: class.LateWeight, StartBonus: class.StartBonus, Priority: class.Priority,
			NodeType: slices.IndexFunc(s.NodeTypes, func(nodeType NodeType) bool { return nodeType.Name == class.NodeType }), SpreadDomain: topologyDomains[class.SpreadDomain], MaxPerDomain: class.MaxPerDomain,
			SaturationThreshold: class.SaturationThreshold, DegradationRange: class.DegradationRange})
	}
	for _, class := range s.NodeTypes {
		engineConfig.NodeTypes = append(engineConfig.NodeTypes, class.Name)
		policy.NodeTypes = append(policy.NodeTypes, placer.NodeType{Cores: class.Cores, Memory: class.Memory})
	}
	for _, tenant := range s.Tenants {
		engineConfig.Tenants = append(engineConfig.Tenants, tenant.Name)
		policy.Tenants = append(policy.Tenants, placer.Tenant{Share: tenant.Share, Cores: tenant.Cores})
	}
	engineConfig.Placer = policy
	return engineConfig
}

// EmulatedNode turns settings into the model of the i-th stand-in machine, with its kind, rack and zone.
func (s *Settings) EmulatedNode(i int) (cfg nodesim.Config, kind, rack, zone string) {
	nodeType := s.NodeTypes[i%len(s.NodeTypes)]
	emulation := &s.Emulator
	cfg = nodesim.Config{Cores: nodeType.Cores, Memory: nodeType.Memory, OvercommitCores: s.NodePolicy.OvercommitCores, OvercommitMemory: s.NodePolicy.OvercommitMemory,
		DecisionDelayMin: emulation.DecisionDelayMin, DecisionDelayMax: emulation.DecisionDelayMax, MaxQueued: emulation.MaxQueued, MaxConcurrentStarts: emulation.MaxConcurrentStarts, StartSeconds: emulation.StartSeconds,
		UncachedStartFactor: emulation.UncachedStartFactor, ProgramCacheSize: emulation.ProgramCacheSize, InitialPace: s.Rules.WarmupMinPace, WarmUpSeconds: s.Rules.WarmupDuration,
		OverloadFactor: s.Rules.OverloadMultiple, OverloadWindow: s.Rules.OverloadWindow, OverloadMinRequests: s.Rules.WarmupAttempts,
		AnswerWhenRunning: s.NodePolicy.AcknowledgesOnStart, Preempts: s.NodePolicy.Preempts, LifetimeMean: emulation.LifetimeMean, UsageMin: emulation.UsageMin,
		UsageMax: emulation.UsageMax, DrainGrace: emulation.DrainGrace, TerminatedRetention: 60, Seed: emulation.Seed + uint64(i)*104729}
	rackIndex := (i / len(s.NodeTypes)) % max(emulation.Racks, 1)
	zoneIndex := rackIndex % max(emulation.Zones, 1)
	zone = s.Zone
	if zoneIndex > 0 {
		zone = fmt.Sprintf("zone-%c", 'a'+zoneIndex)
	}
	return cfg, nodeType.Name, fmt.Sprintf("rack-%d", rackIndex+1), zone
}

// Priorities and Lives are per class, for stand-ins.
func (s *Settings) Priorities() map[string]int {
	out := map[string]int{}
	for _, c := range s.Classes {
		out[c.Name] = c.Priority
	}
	return out
}

// Lifetimes is how long tasks of each class run on average, where a class says so.
func (s *Settings) Lifetimes() map[string]float64 {
	out := map[string]float64{}
	for _, c := range s.Classes {
		if c.MeanLifetime > 0 {
			out[c.Name] = c.MeanLifetime
		}
	}
	return out
}

// LoadScript reads the script of a day over the built-in one's load and figures.
func LoadScript(file string) (scenario.Script, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return scenario.Script{}, fmt.Errorf("script: %w", err)
	}
	script := scenario.Default()
	script.Faults = nil
	dec := decoder{file: file, text: text}
	if err := dec.decode(&script); err != nil {
		return scenario.Script{}, err
	}
	if path, msg := script.Validate(); msg != "" {
		at, ok := dec.offsets[path]
		for p := path; !ok && p != ""; at, ok = dec.offsets[p] {
			p = parentPath(p)
		}
		return scenario.Script{}, dec.errorAt(at, path, "%s", msg)
	}
	return script, nil
}
