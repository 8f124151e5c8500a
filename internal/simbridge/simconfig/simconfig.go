// Package simconfig parses the settings of a scheduler, which the simulator sends in its first message and a scheduler on
// the platform has in its configuration file. Package simadapter and the platform's dispatch and server all call Parse,
// so that the placer gets the same configuration from both. The package does no I/O and has no state.
package simconfig

import (
	"encoding/json"
	"fmt"

	"heathshed/placer"
)

// Settings is the configuration of the placer, with the other settings that a scheduler needs.
type Settings struct {
	Placer placer.Config
	// Names in the order of their numbers. Unlike with lists of values by class, the last one does not apply to further
	// numbers: any other name is unknown.
	ClassNames, TenantNames, ZoneNames, NodeTypeNames []string
	// ReportFields are the names of the values of a load report, in order.
	ReportFields []string
	// IdleTimeout is the time after which a node closes an idle connection, or 0 if it is not known.
	IdleTimeout placer.Seconds
	// BatchInterval is the shortest time between two batches of events.
	BatchInterval placer.Seconds
}

// Values of settings that select one of two modes.
const (
	discoveryByPolling  = "ask"     // discovery: node lists are sent only on request
	acknowledgedOnStart = "running" // extra.saysYes: nodes accept a task when it runs
	reportsCountUsage   = "used"    // extra.counts: load reports count what is used
)

// Parse reads the JSON text of the settings. An error names the key that cannot be used.
func Parse(text []byte) (*Settings, error) {
	var parsed settings
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	result := &Settings{
		Placer:        parsed.placerConfig(),
		ZoneNames:     parsed.Zones,
		NodeTypeNames: parsed.Flavors,
		ReportFields:  parsed.LoadReport.Fields,
		IdleTimeout:   parsed.Permissions.ConnIdleS,
		BatchInterval: parsed.RoundS,
	}
	for i := range parsed.Lanes {
		class, err := parsed.class(i)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		result.Placer.Classes = append(result.Placer.Classes, class)
		result.ClassNames = append(result.ClassNames, parsed.Lanes[i].Name)
	}
	var err error
	if result.Placer.NodeTypes, err = parsed.nodeTypes(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, org := range parsed.Orgs {
		tenant := placer.Tenant{Share: org.Share, Cores: valueOrLast(parsed.Extra.QuotaCores, i, 0)}
		result.Placer.Tenants = append(result.Placer.Tenants, tenant)
		result.TenantNames = append(result.TenantNames, org.Name)
	}
	return result, nil
}

// placerConfig returns the configuration without its classes, node types and tenants.
func (s *settings) placerConfig() placer.Config {
	extra, rules, permissions := &s.Extra, &s.Rules, &s.Permissions
	return placer.Config{
		Zone:            s.MyZone,
		Peers:           placer.Peers{Self: s.Me, Total: s.PeersTotal, StickyServices: extra.Bound},
		OverQuotaWeight: s.OverShareWorth,
		NodeBehavior: placer.NodeBehavior{
			AcknowledgesOnStart: extra.SaysYes == acknowledgedOnStart,
			ListShowsCapacity:   extra.FreeInList,
			ReportsUsage:        extra.Counts == reportsCountUsage,
			Preempts:            extra.PushesOut,
		},
		Overcommit: placer.Overcommit{Cores: extra.CPUBooking, Memory: extra.AdmitMemory},
		SlowStart: placer.SlowStart{
			MinPace:          rules.ColdFrom,
			Duration:         rules.WarmWithinS,
			OverloadMultiple: rules.OverloadFactor,
			OverloadWindow:   rules.FallS,
			MaxAttempts:      extra.YoungLimit,
		},
		Attempts: placer.Attempts{
			Max:            permissions.MostTries,
			AllowsHedging:  permissions.MayDuplicate,
			ConnectTimeout: permissions.ConnectTimeoutS,
			AnswerGrace:    rules.AnswerSlackS,
			DrainGrace:     rules.DrainGraceS,
		},
		Retry: placer.Retry{
			SendsRetryAfter:    permissions.RetryAfter,
			MaxRetryAfter:      permissions.MaxRetryAfterS,
			UnknownOutcomeWait: extra.CheckAfterS,
		},
		Discovery: placer.Discovery{MustPoll: s.Discovery == discoveryByPolling, MaxPollInterval: rules.AskWithinS},
		Costs:     placer.Costs{Node: s.Tariffs.Fleet, CrossZone: s.Tariffs.Cross, Migration: s.Tariffs.Moves},
	}
}

// class returns the i-th class, which the settings call a lane.
func (s *settings) class(i int) (placer.Class, error) {
	lane, extra := &s.Lanes[i], &s.Extra
	class := placer.Class{
		DedupWindow:         lane.KeyTTLS,
		LatencyObjective:    lane.ObjectiveS,
		Deadline:            lane.HardLimitS,
		Weight:              lane.Worth,
		LateWeight:          lane.LateValue,
		StartBonus:          valueOrLast(extra.StartBonusS, i, 0),
		Priority:            valueOrLast(extra.Precedence, i, 0),
		NodeType:            valueOrLast(extra.ClassKind, i, -1),
		MaxPerDomain:        valueOrLast(extra.TogetherMax, i, 0),
		SaturationThreshold: valueOrLast(extra.FullUpTo, i, 0),
		DegradationRange:    valueOrLast(extra.FadesOver, i, 0),
	}
	var err error
	if class.Idempotency, err = parseIdempotency(lane.Effect); err != nil {
		return class, fmt.Errorf("lanes[%d].effect: %w", i, err)
	}
	class.DedupDomain, err = parseDomain(lane.KeyScope)
	if err != nil && class.Idempotency == placer.IdempotentByKey {
		return class, fmt.Errorf("lanes[%d].keyScope: %w", i, err)
	}
	if class.SpreadDomain, err = parseDomain(valueOrLast(extra.ApartBy, i, "none")); err != nil {
		return class, fmt.Errorf("extra.apartBy[%d]: %w", i, err)
	}
	return class, nil
}

// nodeTypes returns the node types, whose cores and memory the settings give as two lists.
func (s *settings) nodeTypes() ([]placer.NodeType, error) {
	cores, memory := s.Extra.CoresByKind, s.Extra.KindMemory
	if len(memory) != len(cores) {
		return nil, fmt.Errorf("extra.kindMemory: %d kinds, extra.coresByKind has %d", len(memory), len(cores))
	}
	var types []placer.NodeType
	for i := range cores {
		types = append(types, placer.NodeType{Cores: cores[i], Memory: memory[i]})
	}
	return types, nil
}

// valueOrLast returns the i-th value of a list by class, or the last one if the list is shorter, or the fallback if it is
// empty.
func valueOrLast[T any](values []T, i int, fallback T) T {
	if len(values) == 0 {
		return fallback
	}
	return values[min(i, len(values)-1)]
}

// parseIdempotency returns the idempotency of a class, which the settings call its effect.
func parseIdempotency(name string) (placer.Idempotency, error) {
	switch name {
	case "idempotent":
		return placer.Idempotent, nil
	case "deduplicated":
		return placer.IdempotentByKey, nil
	case "at_most_once":
		return placer.NonIdempotent, nil
	}
	return placer.Idempotent, fmt.Errorf("%q is not known", name)
}

// parseDomain returns the failure domain that the settings call a place.
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
