// Package simsettings reads the settings of the simulator's first message, which a scheduler in service gets in its configuration file:
// one reader for both, so that the module is told the same in both places. It is pure: no I/O, clock, goroutine or global.
package simconfig

import (
	"encoding/json"
	"fmt"
	"math"

	"heathshed/placer"
)

// Settings are what the program needs beside the module's configuration, with that configuration.
type Settings struct {
	Placer placer.Config
	// Names, in the order of their numbers. The last serves for no other: a name that is not here is not known.
	Classes, Tenants, Zones, NodeTypes []string
	// ReportFields are the names of the values of a load report, in order.
	ReportFields []string
	// IdleTimeout is after how many seconds a machine closes an idle connection; 0 if not told.
	IdleTimeout float64
	// BatchInterval is how often events are handed over at most, in seconds.
	BatchInterval float64
}

// settings are the keys of the first message that have a use here; unknown keys are skipped.
type settings struct {
	Discovery string `json:"discovery"`
	Extra     struct {
		AdmitMemory float64   `json:"admitMemory"`
		ApartBy     []string  `json:"apartBy"`
		Bound       bool      `json:"bound"`
		ClassKind   []int     `json:"classKind"`
		CoresByKind []float64 `json:"coresByKind"`
		Counts      string    `json:"counts"`
		CPUBooking  float64   `json:"cpuBooking"`
		FadesOver   []float64 `json:"fadesOver"`
		FreeInList  bool      `json:"freeInList"`
		FullUpTo    []float64 `json:"fullUpTo"`
		KindMemory  []float64 `json:"kindMemory"`
		Precedence  []int     `json:"precedence"`
		PushesOut   bool      `json:"pushesOut"`
		QuotaCores  []float64 `json:"quotaCores"`
		SaysYes     string    `json:"saysYes"`
		StartBonusS []float64 `json:"startBonusS"`
		TogetherMax []int     `json:"togetherMax"`
		YoungLimit  float64   `json:"youngLimit"`
		CheckAfterS float64   `json:"checkAfterS"`
	} `json:"extra"`
	Flavors []string `json:"flavors"`
	RoundS  float64  `json:"roundS"`
	Zones   []string `json:"zones"`
	Lanes   []struct {
		Effect     string  `json:"effect"`
		HardLimitS float64 `json:"hardLimitS"`
		KeyScope   string  `json:"keyScope"`
		KeyTTLS    float64 `json:"keyTtlS"`
		LateValue  float64 `json:"lateValue"`
		ObjectiveS float64 `json:"objectiveS"`
		Worth      float64 `json:"worth"`
		Name       string  `json:"name"`
	} `json:"lanes"`
	LoadReport struct {
		Fields []string `json:"fields"`
	} `json:"loadReport"`
	Me     int `json:"me"`
	MyZone int `json:"myZone"`
	Orgs   []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"orgs"`
	OverShareWorth float64 `json:"overShareWorth"`
	PeersTotal     int     `json:"peersTotal"`
	Permissions    struct {
		ConnIdleS       float64 `json:"connIdleS"`
		ConnectTimeoutS float64 `json:"connectTimeoutS"`
		MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
		MayDuplicate    bool    `json:"mayDuplicate"`
		MostTries       int     `json:"mostTries"`
		RetryAfter      bool    `json:"retryAfter"`
	} `json:"permissions"`
	Tariffs struct {
		Cross float64 `json:"crossZone"`
		Fleet float64 `json:"fleet"`
		Moves float64 `json:"moves"`
	} `json:"tariffs"`
	Rules struct {
		AnswerSlackS   float64 `json:"answerSlackS"`
		AskWithinS     float64 `json:"askWithinS"`
		ColdFrom       float64 `json:"coldFrom"`
		DrainGraceS    float64 `json:"drainGraceS"`
		FallS          float64 `json:"fallS"`
		OverloadFactor float64 `json:"overloadFactor"`
		WarmWithinS    float64 `json:"warmWithinS"`
	} `json:"rules"`
}

// valueOrLast returns the i-th value; as the wire has it for class lists, the last serves for the rest.
func valueOrLast[T any](values []T, i int, fallback T) T {
	if len(values) == 0 {
		return fallback
	}
	return values[min(i, len(values)-1)]
}

// Parse reads the JSON text of the settings. An error names the key that cannot be used.
func Parse(text []byte) (*Settings, error) {
	var parsed settings
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	extra, rules, permissions := &parsed.Extra, &parsed.Rules, &parsed.Permissions
	config := placer.Config{
		Self: parsed.Me, Peers: parsed.PeersTotal, Zone: parsed.MyZone,
		OvercommitCores: extra.CPUBooking, OvercommitMemory: extra.AdmitMemory, AcknowledgesOnStart: extra.SaysYes == "running",
		ListShowsCapacity: extra.FreeInList, ReportsUsage: extra.Counts == "used", Preempts: extra.PushesOut, StickyServices: extra.Bound,
		MaxAttempts: permissions.MostTries, AllowsHedging: permissions.MayDuplicate, ConnectTimeout: permissions.ConnectTimeoutS,
		AnswerGrace: rules.AnswerSlackS, DrainGrace: rules.DrainGraceS, WarmupMinPace: rules.ColdFrom, WarmupDuration: rules.WarmWithinS,
		OverloadMultiple: rules.OverloadFactor, OverloadWindow: rules.FallS, WarmupAttempts: extra.YoungLimit,
		MustPollNodes: parsed.Discovery == "ask", MaxPollInterval: rules.AskWithinS, SendsRetryAfter: permissions.RetryAfter,
		MaxRetryAfter: permissions.MaxRetryAfterS, UnknownOutcomeWait: extra.CheckAfterS, OverQuotaWeight: parsed.OverShareWorth, NodeCost: parsed.Tariffs.Fleet, CrossZoneCost: parsed.Tariffs.Cross, MigrationCost: parsed.Tariffs.Moves,
	}
	for i, lane := range parsed.Lanes {
		class := placer.Class{
			DedupWindow: lane.KeyTTLS, LatencyObjective: lane.ObjectiveS, Deadline: lane.HardLimitS, Weight: lane.Worth, LateWeight: lane.LateValue,
			StartBonus: valueOrLast(extra.StartBonusS, i, 0), Priority: valueOrLast(extra.Precedence, i, 0), NodeType: valueOrLast(extra.ClassKind, i, -1),
			MaxPerDomain: valueOrLast(extra.TogetherMax, i, 0), SaturationThreshold: valueOrLast(extra.FullUpTo, i, 0), DegradationRange: valueOrLast(extra.FadesOver, i, 0),
		}
		switch lane.Effect {
		case "idempotent":
			class.Idempotency = placer.Idempotent
		case "deduplicated":
			class.Idempotency = placer.IdempotentByKey
		case "at_most_once":
			class.Idempotency = placer.NonIdempotent
		default:
			return nil, fmt.Errorf("settings: lanes[%d].effect: %q is not known", i, lane.Effect)
		}
		var err error
		if class.DedupDomain, err = parseDomain(lane.KeyScope); err != nil && class.Idempotency == placer.IdempotentByKey {
			return nil, fmt.Errorf("settings: lanes[%d].keyScope: %w", i, err)
		}
		if class.SpreadDomain, err = parseDomain(valueOrLast(extra.ApartBy, i, "none")); err != nil {
			return nil, fmt.Errorf("settings: extra.apartBy[%d]: %w", i, err)
		}
		config.Classes = append(config.Classes, class)
	}
	if len(extra.KindMemory) != len(extra.CoresByKind) {
		return nil, fmt.Errorf("settings: extra.kindMemory: %d kinds, extra.coresByKind has %d",
			len(extra.KindMemory), len(extra.CoresByKind))
	}
	for i := range extra.CoresByKind {
		config.NodeTypes = append(config.NodeTypes, placer.NodeType{Cores: extra.CoresByKind[i], Memory: extra.KindMemory[i]})
	}
	for i, tenant := range parsed.Orgs {
		config.Tenants = append(config.Tenants, placer.Tenant{Share: tenant.Share, Cores: valueOrLast(extra.QuotaCores, i, 0)})
	}
	settings := &Settings{Placer: config, Zones: parsed.Zones, NodeTypes: parsed.Flavors, ReportFields: parsed.LoadReport.Fields,
		IdleTimeout: permissions.ConnIdleS, BatchInterval: parsed.RoundS}
	for _, lane := range parsed.Lanes {
		settings.Classes = append(settings.Classes, lane.Name)
	}
	for _, tenant := range parsed.Orgs {
		settings.Tenants = append(settings.Tenants, tenant.Name)
	}
	return settings, nil
}

// NoReport is a load report of which nothing was told.
func NoReport() placer.Report {
	none := math.NaN()
	return placer.Report{FreeCores: none, FreeMemory: none, Utilization: none, QueueLength: none}
}

// SetReportField enters the value of one field of a load report; names that have no use here are skipped.
func SetReportField(r *placer.Report, field string, value float64) {
	switch field {
	case "x0":
		r.FreeCores = value
	case "x1":
		r.FreeMemory = value
	case "utilization":
		r.Utilization = value
	case "backlog":
		r.QueueLength = value
	}
}

func parseDomain(name string) (placer.TopologyDomain, error) {
	switch name {
	case "none", "":
		return placer.NoDomain, nil
	case "machine":
		return placer.NodeDomain, nil
	case "cell":
		return placer.RackDomain, nil
	case "zone":
		return placer.ZoneDomain, nil
	case "all":
		return placer.ClusterDomain, nil
	}
	return placer.NoDomain, fmt.Errorf("%q is no place", name)
}
