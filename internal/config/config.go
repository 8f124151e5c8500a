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
	Name          string     `json:"name"`
	Listen        string     `json:"listen"`
	Inventory     string     `json:"inventory"`
	Zone          string     `json:"zone"`
	LogLevel      string     `json:"logLevel"`
	Self          int        `json:"self"`
	Peers         int        `json:"peers"`
	Tenants       []Tenant   `json:"tenants"`
	Classes       []Class    `json:"classes"`
	DefaultClass  string     `json:"defaultClass"`
	NodeTypes     []NodeType `json:"kinds"`
	NodePolicy    NodePolicy `json:"machines"`
	Rules         Rules      `json:"rules"`
	Prices        Prices     `json:"prices"`
	Retry         Retry      `json:"owner"`
	Admission     Admission  `json:"gate"`
	Limits        Limits     `json:"limits"`
	Emulator      Emulator   `json:"standin"`
	HeardWithin   float64    `json:"heardWithin"`
	ConnectWithin float64    `json:"connectWithin"`
	StopWithin    float64    `json:"stopWithin"`
}

// Tenant is a namespace with a share.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Cores float64 `json:"cores"`
}

// Class is a class of tasks.
type Class struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"` // idempotent, deduplicated or at_most_once
	KeyScope   string  `json:"keyScope"`
	KeyTTL     float64 `json:"keyTtl"`
	Aim        float64 `json:"aim"`
	Deadline   float64 `json:"deadline"`
	Priority   int     `json:"priority"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"lateWorth"`
	StartBonus float64 `json:"startBonus"`
	NodeKind   string  `json:"nodeKind"`
	ApartBy    string  `json:"apartBy"` // none, machine, rack or zone
	Together   int     `json:"togetherMax"`
	CalmUpTo   float64 `json:"calmUpTo"`
	FadesOver  float64 `json:"fadesOver"`
	Life       float64 `json:"life"` // of stand-in tasks, on average
}

// NodeType is a type of machine.
type NodeType struct {
	Name   string  `json:"name"`
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// NodePolicy are the limits and habits of all machines.
type NodePolicy struct {
	BookCores          float64 `json:"bookCores"`
	BookMemory         float64 `json:"bookMemory"`
	AnswersWhenRunning bool    `json:"answersWhenRunning"`
	ListShowsRoom      bool    `json:"listShowsRoom"`
	PushesOut          bool    `json:"pushesOut"`
	MaxAttempts        int     `json:"maxAttempts"`
}

// Rules are the figures of the five rules.
type Rules struct {
	AnswerSlack  float64 `json:"answerSlack"`
	DrainGrace   float64 `json:"drainGrace"`
	ColdFrom     float64 `json:"coldFrom"`
	WarmWithin   float64 `json:"warmWithin"`
	FallMultiple float64 `json:"fallMultiple"`
	FallWindow   float64 `json:"fallWindow"`
	ColdAlways   float64 `json:"coldAlways"`
}

// Prices weigh machines in use, zones crossed and moves.
type Prices struct {
	Fleet float64 `json:"fleet"`
	Cross float64 `json:"cross"`
	Move  float64 `json:"move"`
}

// Retry are the waits before a task is asked for again.
type Retry struct {
	Again  float64 `json:"again"`
	Soon   float64 `json:"soon"`
	Growth float64 `json:"growth"`
	Most   float64 `json:"most"`
	Settle float64 `json:"settle"`
}

// Admission sets up the front door: what is asked of the placer when more is asked than the fleet can start.
type Admission struct {
	On          bool    `json:"on"`
	MinInFlight float64 `json:"minInFlight"`
	MaxInFlight float64 `json:"maxInFlight"`
	Start       float64 `json:"start"`
	Decrease    float64 `json:"decrease"`
	Window      float64 `json:"window"`
	LatePart    float64 `json:"latePart"`
	MaxWaiting  int     `json:"maxWaiting"`
	RetryRatio  float64 `json:"retryRatio"`
	RetryRate   float64 `json:"retryRate"`
	RetryBurst  float64 `json:"retryBurst"`
}

// config turns the settings into the module's.
func (g *Admission) config() admission.Config {
	return admission.Config{MinInFlight: g.MinInFlight, MaxInFlight: g.MaxInFlight, Start: g.Start, Decrease: g.Decrease, Window: g.Window,
		LateFraction: g.LatePart, MaxWaiting: g.MaxWaiting, RetryRatio: g.RetryRatio, RetryRate: g.RetryRate, RetryBurst: g.RetryBurst, Disabled: !g.On}
}

// Limits bound what the program holds.
type Limits struct {
	Memory       int     `json:"memory"` // MiB, divided by package budget
	Connections  int     `json:"connections"`
	Body         int     `json:"body"`
	Pods         int     `json:"pods"`
	History      int     `json:"history"`
	Page         int     `json:"page"`
	KeepFinished float64 `json:"keepFinished"`
	LostAfter    float64 `json:"lostAfter"`
}

// Emulator describes the stand-in machines and inventory of up and standin.
type Emulator struct {
	Nodes        int     `json:"nodes"`
	Racks        int     `json:"racks"`
	Zones        int     `json:"zones"`
	Late         float64 `json:"late"`
	SilentAfter  float64 `json:"silentAfter"`
	RemoveAfter  float64 `json:"removeAfter"`
	LookMin      float64 `json:"lookMin"`
	LookMax      float64 `json:"lookMax"`
	MaxWaiting   int     `json:"maxWaiting"`
	StartsAtOnce int     `json:"startsAtOnce"`
	StartWork    float64 `json:"startWork"`
	FreshFactor  float64 `json:"freshFactor"`
	KeepPrograms int     `json:"keepPrograms"`
	UseMin       float64 `json:"useMin"`
	UseMax       float64 `json:"useMax"`
	LifeMean     float64 `json:"lifeMean"`
	Grace        float64 `json:"grace"`
	Seed         uint64  `json:"seed"`
}

// Default is what the program runs with when nothing is given.
func Default() Settings {
	own := retry.DefaultPolicy()
	m := nodesim.DefaultConfig()
	g := admission.DefaultConfig()
	return Settings{
		Name: "heathshed", Listen: "127.0.0.1:8480", Inventory: "127.0.0.1:8481", Zone: "zone-a", LogLevel: "info", Peers: 1, Tenants: []Tenant{},
		Classes: []Class{
			{Name: "web", Effect: "idempotent", Aim: 1, Deadline: 8, Priority: 1, Worth: 2, LateWorth: 0.2, StartBonus: 8, CalmUpTo: 0.8, FadesOver: 0.5},
			{Name: "batch", Effect: "idempotent", Aim: 4, Deadline: 10, Worth: 1, LateWorth: 0.2, StartBonus: 8, CalmUpTo: 1, FadesOver: 0.5},
			{Name: "once", Effect: "at_most_once", Aim: 4, Deadline: 10, Priority: 2, Worth: 2, LateWorth: 0.2, StartBonus: 8,
				CalmUpTo: 1, FadesOver: 0.5},
			{Name: "keyed", Effect: "deduplicated", KeyScope: "rack", KeyTTL: 5, Aim: 1, Deadline: 8, Priority: 1, Worth: 3, LateWorth: 0.2,
				StartBonus: 8, CalmUpTo: 0.9, FadesOver: 0.5},
			{Name: "spread", Effect: "idempotent", Aim: 4, Deadline: 10, Worth: 1, LateWorth: 0.2, StartBonus: 8, CalmUpTo: 1, FadesOver: 0.5,
				ApartBy: "rack", Together: 3},
		},
		DefaultClass: "batch",
		NodeTypes:    []NodeType{{"standard", 32, 64}, {"large", 64, 128}},
		NodePolicy:   NodePolicy{BookCores: m.BookCores, BookMemory: m.BookMemory, ListShowsRoom: true, PushesOut: true, MaxAttempts: 4},
		Rules: Rules{AnswerSlack: 0.25, DrainGrace: 0.5, ColdFrom: m.ColdFrom, WarmWithin: m.WarmWithin, FallMultiple: m.FallMultiple,
			FallWindow: m.FallWindow, ColdAlways: m.ColdAlways},
		Retry: Retry{own.Delay, own.ShortDelay, own.Multiplier, own.MaxDelay, own.UnknownOutcomeTimeout},
		Admission: Admission{On: true, MinInFlight: g.MinInFlight, MaxInFlight: g.MaxInFlight, Start: g.Start, Decrease: g.Decrease, Window: g.Window,
			LatePart: g.LateFraction, MaxWaiting: g.MaxWaiting, RetryRatio: g.RetryRatio, RetryRate: g.RetryRate, RetryBurst: g.RetryBurst},
		HeardWithin: 5, ConnectWithin: 1, StopWithin: 30,
		Limits: Limits{Memory: 2048, Connections: 16384, Body: 3 << 20, Pods: engine.DefaultMaxPods, History: engine.DefaultHistory, KeepFinished: 3600,
			LostAfter: engine.DefaultLostAfter},
		Emulator: Emulator{Nodes: 8, Racks: 2, Zones: 1, Late: 1, SilentAfter: 2, RemoveAfter: 60, LookMin: m.LookMin, LookMax: m.LookMax,
			MaxWaiting: m.MaxWaiting, StartsAtOnce: m.StartsAtOnce, StartWork: m.StartWork, FreshFactor: m.FreshFactor,
			KeepPrograms: m.KeepPrograms, UseMin: m.UseMin, UseMax: m.UseMax, LifeMean: m.LifeMean, Grace: m.Grace, Seed: 1},
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
	d := decoder{file: file, text: text}
	if err := d.decode(&s); err != nil {
		return Settings{}, err
	}
	if path, msg := s.check(); msg != "" {
		at, ok := d.at[path]
		for p := path; !ok && p != ""; at, ok = d.at[p] {
			p = parent(p)
		}
		return Settings{}, d.fail(at, path, "%s", msg)
	}
	return s, nil
}

func parent(p string) string {
	for i := len(p) - 1; i >= 0; i-- {
		if p[i] == '.' || p[i] == '[' {
			return p[:i]
		}
	}
	return ""
}

// Text writes settings in the form that Parse reads.
func (s *Settings) Text() ([]byte, error) { return json.MarshalIndent(s, "", "  ") }

var effects = map[string]placer.Idempotency{"idempotent": placer.Idempotent, "deduplicated": placer.IdempotentByKey, "at_most_once": placer.NonIdempotent}
var places = map[string]placer.TopologyDomain{"": placer.NoDomain, "none": placer.NoDomain, "machine": placer.NodeDomain, "rack": placer.RackDomain,
	"zone": placer.ZoneDomain, "all": placer.ClusterDomain}

// check returns the path of the first setting that cannot be used and why.
func (s *Settings) check() (path, msg string) {
	if s.Name == "" || len(validation.IsValidLabelValue(s.Name)) > 0 {
		return "name", "want a label value: letters, digits, '-', '_' and '.', 63 at most"
	}
	for _, a := range []struct{ path, v string }{{"listen", s.Listen}, {"inventory", s.Inventory}} {
		if ap, err := netip.ParseAddrPort(a.v); err != nil || !ap.Addr().IsLoopback() {
			return a.path, fmt.Sprintf("%q: want a loopback address and port such as 127.0.0.1:8480", a.v)
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
	seen := map[string]bool{}
	for i, t := range s.Tenants {
		p := fmt.Sprintf("tenants[%d]", i)
		if len(validation.IsDNS1123Label(t.Name)) > 0 || seen[t.Name] {
			return p + ".name", "want a namespace name, each once"
		}
		seen[t.Name] = true
		if !(t.Share >= 0) || !(t.Cores >= 0) {
			return p + ".share", "want 0 or more"
		}
		if share += t.Share; share > 1.0001 {
			return p + ".share", "shares add up to more than 1"
		}
	}
	if len(s.Classes) == 0 {
		return "classes", "want one at least"
	}
	kinds := map[string]bool{"": true}
	if len(s.NodeTypes) == 0 {
		return "kinds", "want one at least"
	}
	for i, k := range s.NodeTypes {
		p := fmt.Sprintf("kinds[%d]", i)
		if k.Name == "" || len(validation.IsValidLabelValue(k.Name)) > 0 || kinds[k.Name] {
			return p + ".name", "want a label value, each once"
		}
		kinds[k.Name] = true
		if !(k.Cores > 0) {
			return p + ".cores", "want more than 0"
		}
		if !(k.Memory > 0) {
			return p + ".memory", "want more than 0"
		}
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		p := fmt.Sprintf("classes[%d]", i)
		_, effect := effects[c.Effect]
		_, scope := places[c.KeyScope]
		_, apart := places[c.ApartBy]
		switch {
		case c.Name == "" || len(validation.IsValidLabelValue(c.Name)) > 0 || names[c.Name]:
			return p + ".name", "want a label value, each once"
		case !effect:
			return p + ".effect", fmt.Sprintf("%q: want idempotent, deduplicated or at_most_once", c.Effect)
		case !scope || c.Effect == "deduplicated" && (c.KeyScope == "" || c.KeyScope == "none"):
			return p + ".keyScope", fmt.Sprintf("%q: want machine, rack, zone or all", c.KeyScope)
		case c.Effect == "deduplicated" && !(c.KeyTTL > 0):
			return p + ".keyTtl", "want more than 0"
		case !(c.Aim > 0):
			return p + ".aim", "want more than 0"
		case !(c.Deadline > 0) || c.Deadline > 3600:
			return p + ".deadline", "want more than 0, 3600 at most"
		case !kinds[c.NodeKind]:
			return p + ".nodeKind", fmt.Sprintf("%q is not among kinds", c.NodeKind)
		case !apart || c.ApartBy == "all":
			return p + ".apartBy", fmt.Sprintf("%q: want none, machine, rack or zone", c.ApartBy)
		case c.ApartBy != "" && c.ApartBy != "none" && c.Together < 1:
			return p + ".togetherMax", "want 1 or more beside apartBy"
		case !(c.CalmUpTo > 0):
			return p + ".calmUpTo", "want more than 0"
		case !(c.FadesOver >= 0):
			return p + ".fadesOver", "want 0 or more"
		}
		names[c.Name] = true
	}
	if !names[s.DefaultClass] {
		return "defaultClass", fmt.Sprintf("%q is not among classes", s.DefaultClass)
	}
	for _, f := range []struct {
		path      string
		v, lo, hi float64
	}{
		{path: "machines.bookCores", v: s.NodePolicy.BookCores, lo: 0.1, hi: 100}, {path: "machines.bookMemory", v: s.NodePolicy.BookMemory, lo: 0.1, hi: 100},
		{path: "machines.maxAttempts", v: float64(s.NodePolicy.MaxAttempts), lo: 1, hi: 100},
		{path: "rules.answerSlack", v: s.Rules.AnswerSlack, lo: 0.01, hi: 10}, {path: "rules.drainGrace", v: s.Rules.DrainGrace, lo: 0, hi: 60},
		{path: "rules.coldFrom", v: s.Rules.ColdFrom, lo: 0, hi: 1}, {path: "rules.warmWithin", v: s.Rules.WarmWithin, lo: 0, hi: 3600},
		{path: "rules.fallMultiple", v: s.Rules.FallMultiple, lo: 0, hi: 1e6}, {path: "rules.fallWindow", v: s.Rules.FallWindow, lo: 0, hi: 60},
		{path: "rules.coldAlways", v: s.Rules.ColdAlways, lo: 0, hi: 1e6},
		{path: "prices.fleet", v: s.Prices.Fleet, lo: 0, hi: 100}, {path: "prices.cross", v: s.Prices.Cross, lo: 0, hi: 100},
		{path: "prices.move", v: s.Prices.Move, lo: 0, hi: 100},
		{path: "owner.again", v: s.Retry.Again, lo: 1, hi: 3600}, {path: "owner.soon", v: s.Retry.Soon, lo: 0, hi: 3600},
		{path: "owner.growth", v: s.Retry.Growth, lo: 1, hi: 10}, {path: "owner.most", v: s.Retry.Most, lo: 1, hi: 3600},
		{path: "owner.settle", v: s.Retry.Settle, lo: 0, hi: 600},
		{path: "gate.minInFlight", v: s.Admission.MinInFlight, lo: 1, hi: s.Admission.MaxInFlight}, {path: "gate.maxInFlight", v: s.Admission.MaxInFlight, lo: 1, hi: 1e9},
		{path: "gate.start", v: s.Admission.Start, lo: 1, hi: 1e9}, {path: "gate.decrease", v: s.Admission.Decrease, lo: 0.01, hi: 0.99},
		{path: "gate.window", v: s.Admission.Window, lo: 0, hi: 60}, {path: "gate.latePart", v: s.Admission.LatePart, lo: 0, hi: 1},
		{path: "gate.maxWaiting", v: float64(s.Admission.MaxWaiting), lo: 1, hi: 1e9}, {path: "gate.retryRatio", v: s.Admission.RetryRatio, lo: 0, hi: 100},
		{path: "gate.retryRate", v: s.Admission.RetryRate, lo: 0, hi: 1e9}, {path: "gate.retryBurst", v: s.Admission.RetryBurst, lo: 0, hi: 1e9},
		{path: "limits.memory", v: float64(s.Limits.Memory), lo: memquota.Least >> 20, hi: 1 << 20},
		{path: "limits.connections", v: float64(s.Limits.Connections), lo: 1, hi: 1e6}, {path: "limits.body", v: float64(s.Limits.Body), lo: 1024, hi: 1 << 30},
		{path: "limits.pods", v: float64(s.Limits.Pods), lo: 1, hi: 1e7}, {path: "limits.history", v: float64(s.Limits.History), lo: 1, hi: 1e7},
		{path: "limits.page", v: float64(s.Limits.Page), lo: 0, hi: 1e7}, {path: "limits.keepFinished", v: s.Limits.KeepFinished, lo: 0, hi: 1e9},
		{path: "limits.lostAfter", v: s.Limits.LostAfter, lo: 0.1, hi: 3600},
		{path: "heardWithin", v: s.HeardWithin, lo: 0, hi: 600}, {path: "connectWithin", v: s.ConnectWithin, lo: 0.01, hi: 60},
		{path: "stopWithin", v: s.StopWithin, lo: 0, hi: 3600},
		{path: "standin.nodes", v: float64(s.Emulator.Nodes), lo: 1, hi: 10000}, {path: "standin.racks", v: float64(s.Emulator.Racks), lo: 1, hi: 10000},
		{path: "standin.zones", v: float64(s.Emulator.Zones), lo: 1, hi: 100}, {path: "standin.late", v: s.Emulator.Late, lo: 0, hi: 600},
		{path: "standin.silentAfter", v: s.Emulator.SilentAfter, lo: 0.5, hi: 600}, {path: "standin.removeAfter", v: s.Emulator.RemoveAfter, lo: 0, hi: 1e6},
		{path: "standin.lookMin", v: s.Emulator.LookMin, lo: 0, hi: 10}, {path: "standin.lookMax", v: s.Emulator.LookMax, lo: s.Emulator.LookMin, hi: 10},
		{path: "standin.maxWaiting", v: float64(s.Emulator.MaxWaiting), lo: 1, hi: 1e6}, {path: "standin.startsAtOnce", v: float64(s.Emulator.StartsAtOnce), lo: 1, hi: 1e6},
		{path: "standin.startWork", v: s.Emulator.StartWork, lo: 0.0001, hi: 600}, {path: "standin.freshFactor", v: s.Emulator.FreshFactor, lo: 1, hi: 1000},
		{path: "standin.keepPrograms", v: float64(s.Emulator.KeepPrograms), lo: 0, hi: 1000},
		{path: "standin.useMin", v: s.Emulator.UseMin, lo: 0, hi: 10}, {path: "standin.useMax", v: s.Emulator.UseMax, lo: s.Emulator.UseMin, hi: 10},
		{path: "standin.lifeMean", v: s.Emulator.LifeMean, lo: 0.01, hi: 1e7}, {path: "standin.grace", v: s.Emulator.Grace, lo: -1, hi: 3600},
	} {
		if !(f.v >= f.lo && f.v <= f.hi) {
			return f.path, fmt.Sprintf("%v: want %v to %v", f.v, f.lo, f.hi)
		}
	}
	return "", ""
}

// Check says whether settings made in code or by flags can be used.
func (s *Settings) Check() error {
	if path, msg := s.check(); msg != "" {
		return fmt.Errorf("settings: %s: %s", path, msg)
	}
	return nil
}

// Engine turns settings into an engine's configuration.
func (s *Settings) Engine(seed uint64, baseRev int64) engine.Config {
	m := memquota.Divide(int64(s.Limits.Memory) << 20)
	c := engine.Config{MaxHistory: m.History, MaxObjects: m.Objects, Name: s.Name, Zone: s.Zone, Seed: seed, BaseRev: baseRev, History: s.Limits.History, MaxPods: s.Limits.Pods,
		FinishedTTL: s.Limits.KeepFinished, LostAfter: s.Limits.LostAfter, Admission: s.Admission.config(),
		Retry: retry.Policy{Delay: s.Retry.Again, ShortDelay: s.Retry.Soon, Multiplier: s.Retry.Growth, MaxDelay: s.Retry.Most, UnknownOutcomeTimeout: s.Retry.Settle}}
	p := placer.Config{Self: s.Self, Peers: s.Peers, OvercommitCores: s.NodePolicy.BookCores, OvercommitMemory: s.NodePolicy.BookMemory,
		AcknowledgesOnStart: s.NodePolicy.AnswersWhenRunning, ListShowsCapacity: s.NodePolicy.ListShowsRoom, ReportsUsage: true,
		Preempts: s.NodePolicy.PushesOut, MaxAttempts: s.NodePolicy.MaxAttempts, ConnectTimeout: s.ConnectWithin, AnswerGrace: s.Rules.AnswerSlack,
		DrainGrace: s.Rules.DrainGrace, WarmupMinPace: s.Rules.ColdFrom, WarmupDuration: s.Rules.WarmWithin, OverloadMultiple: s.Rules.FallMultiple,
		OverloadWindow: s.Rules.FallWindow, WarmupAttempts: s.Rules.ColdAlways, UnknownOutcomeWait: s.Retry.Settle, NodeCost: s.Prices.Fleet,
		CrossZoneCost: s.Prices.Cross, MigrationCost: s.Prices.Move, OverQuotaWeight: 0.2}
	for i, k := range s.Classes {
		c.Classes = append(c.Classes, k.Name)
		if k.Name == s.DefaultClass {
			c.DefaultClass = i
		}
		p.Classes = append(p.Classes, placer.Class{Idempotency: effects[k.Effect], DedupDomain: places[k.KeyScope], DedupWindow: k.KeyTTL, LatencyObjective: k.Aim,
			Deadline: k.Deadline, Weight: k.Worth, LateWeight: k.LateWorth, StartBonus: k.StartBonus, Priority: k.Priority,
			NodeType: slices.IndexFunc(s.NodeTypes, func(x NodeType) bool { return x.Name == k.NodeKind }), SpreadDomain: places[k.ApartBy], MaxPerDomain: k.Together,
			SaturationThreshold: k.CalmUpTo, DegradationRange: k.FadesOver})
	}
	for _, k := range s.NodeTypes {
		c.NodeTypes = append(c.NodeTypes, k.Name)
		p.NodeTypes = append(p.NodeTypes, placer.NodeType{Cores: k.Cores, Memory: k.Memory})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, t.Name)
		p.Tenants = append(p.Tenants, placer.Tenant{Share: t.Share, Cores: t.Cores})
	}
	c.Placer = p
	return c
}

// Machine turns settings into the model of the i-th stand-in machine, with its kind, rack and zone.
func (s *Settings) Machine(i int) (cfg nodesim.Config, kind, rack, zone string) {
	k := s.NodeTypes[i%len(s.NodeTypes)]
	x := &s.Emulator
	cfg = nodesim.Config{Cores: k.Cores, Memory: k.Memory, BookCores: s.NodePolicy.BookCores, BookMemory: s.NodePolicy.BookMemory,
		LookMin: x.LookMin, LookMax: x.LookMax, MaxWaiting: x.MaxWaiting, StartsAtOnce: x.StartsAtOnce, StartWork: x.StartWork,
		FreshFactor: x.FreshFactor, KeepPrograms: x.KeepPrograms, ColdFrom: s.Rules.ColdFrom, WarmWithin: s.Rules.WarmWithin,
		FallMultiple: s.Rules.FallMultiple, FallWindow: s.Rules.FallWindow, ColdAlways: s.Rules.ColdAlways,
		AnswersWhenRunning: s.NodePolicy.AnswersWhenRunning, PushesOut: s.NodePolicy.PushesOut, LifeMean: x.LifeMean, UseMin: x.UseMin,
		UseMax: x.UseMax, Grace: x.Grace, KeepEnded: 60, Seed: x.Seed + uint64(i)*104729}
	r := (i / len(s.NodeTypes)) % max(x.Racks, 1)
	z := r % max(x.Zones, 1)
	zone = s.Zone
	if z > 0 {
		zone = fmt.Sprintf("zone-%c", 'a'+z)
	}
	return cfg, k.Name, fmt.Sprintf("rack-%d", r+1), zone
}

// Priorities and Lives are per class, for stand-ins.
func (s *Settings) Priorities() map[string]int {
	out := map[string]int{}
	for _, c := range s.Classes {
		out[c.Name] = c.Priority
	}
	return out
}

// Lives is how long tasks of each class run on average, where a class says so.
func (s *Settings) Lives() map[string]float64 {
	out := map[string]float64{}
	for _, c := range s.Classes {
		if c.Life > 0 {
			out[c.Name] = c.Life
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
	s := scenario.Default()
	s.Trouble = nil
	d := decoder{file: file, text: text}
	if err := d.decode(&s); err != nil {
		return scenario.Script{}, err
	}
	if path, msg := s.Check(); msg != "" {
		at, ok := d.at[path]
		for p := path; !ok && p != ""; at, ok = d.at[p] {
			p = parent(p)
		}
		return scenario.Script{}, d.fail(at, path, "%s", msg)
	}
	return s, nil
}
