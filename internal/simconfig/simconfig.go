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
	// ConnIdle is after how many seconds a machine closes an idle connection; 0 if not told.
	ConnIdle float64
	// Round is how often events are handed over at most, in seconds.
	Round float64
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

// at returns the i-th value; as the wire has it for class lists, the last serves for the rest.
func at[T any](of []T, i int, absent T) T {
	if len(of) == 0 {
		return absent
	}
	return of[min(i, len(of)-1)]
}

// Parse reads the JSON text of the settings. An error names the key that cannot be used.
func Parse(text []byte) (*Settings, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	x, r, p := &s.Extra, &s.Rules, &s.Permissions
	c := placer.Config{
		Self: s.Me, Peers: s.PeersTotal, Zone: s.MyZone,
		OvercommitCores: x.CPUBooking, OvercommitMemory: x.AdmitMemory, AcknowledgesOnStart: x.SaysYes == "running",
		ListShowsCapacity: x.FreeInList, ReportsUsage: x.Counts == "used", Preempts: x.PushesOut, StickyServices: x.Bound,
		MaxAttempts: p.MostTries, AllowsHedging: p.MayDuplicate, ConnectTimeout: p.ConnectTimeoutS,
		AnswerGrace: r.AnswerSlackS, DrainGrace: r.DrainGraceS, WarmupMinPace: r.ColdFrom, WarmupDuration: r.WarmWithinS,
		OverloadMultiple: r.OverloadFactor, OverloadWindow: r.FallS, WarmupAttempts: x.YoungLimit,
		MustPollNodes: s.Discovery == "ask", MaxPollInterval: r.AskWithinS, SendsRetryAfter: p.RetryAfter,
		MaxRetryAfter: p.MaxRetryAfterS, UnknownOutcomeWait: x.CheckAfterS, OverQuotaWeight: s.OverShareWorth, NodeCost: s.Tariffs.Fleet, CrossZoneCost: s.Tariffs.Cross, MigrationCost: s.Tariffs.Moves,
	}
	for i, l := range s.Lanes {
		k := placer.Class{
			DedupWindow: l.KeyTTLS, LatencyObjective: l.ObjectiveS, Deadline: l.HardLimitS, Weight: l.Worth, LateWeight: l.LateValue,
			StartBonus: at(x.StartBonusS, i, 0), Priority: at(x.Precedence, i, 0), NodeType: at(x.ClassKind, i, -1),
			MaxPerDomain: at(x.TogetherMax, i, 0), SaturationThreshold: at(x.FullUpTo, i, 0), DegradationRange: at(x.FadesOver, i, 0),
		}
		switch l.Effect {
		case "idempotent":
			k.Idempotency = placer.Idempotent
		case "deduplicated":
			k.Idempotency = placer.IdempotentByKey
		case "at_most_once":
			k.Idempotency = placer.NonIdempotent
		default:
			return nil, fmt.Errorf("settings: lanes[%d].effect: %q is not known", i, l.Effect)
		}
		var err error
		if k.DedupDomain, err = place(l.KeyScope); err != nil && k.Idempotency == placer.IdempotentByKey {
			return nil, fmt.Errorf("settings: lanes[%d].keyScope: %w", i, err)
		}
		if k.SpreadDomain, err = place(at(x.ApartBy, i, "none")); err != nil {
			return nil, fmt.Errorf("settings: extra.apartBy[%d]: %w", i, err)
		}
		c.Classes = append(c.Classes, k)
	}
	if len(x.KindMemory) != len(x.CoresByKind) {
		return nil, fmt.Errorf("settings: extra.kindMemory: %d kinds, extra.coresByKind has %d",
			len(x.KindMemory), len(x.CoresByKind))
	}
	for i := range x.CoresByKind {
		c.NodeTypes = append(c.NodeTypes, placer.NodeType{Cores: x.CoresByKind[i], Memory: x.KindMemory[i]})
	}
	for i, o := range s.Orgs {
		c.Tenants = append(c.Tenants, placer.Tenant{Share: o.Share, Cores: at(x.QuotaCores, i, 0)})
	}
	out := &Settings{Placer: c, Zones: s.Zones, NodeTypes: s.Flavors, ReportFields: s.LoadReport.Fields,
		ConnIdle: p.ConnIdleS, Round: s.RoundS}
	for _, l := range s.Lanes {
		out.Classes = append(out.Classes, l.Name)
	}
	for _, o := range s.Orgs {
		out.Tenants = append(out.Tenants, o.Name)
	}
	return out, nil
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

func place(name string) (placer.TopologyDomain, error) {
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
