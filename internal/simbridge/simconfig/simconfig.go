// Package simconfig parses the settings of a scheduler. The simulator sends these settings when it starts a
// scheduler instance; a scheduler on the platform reads them from its configuration file. Package simadapter
// and the platform's server both call Parse, which gives the placer the same configuration in both
// environments. Package dispatch uses the parsed Settings. The package does no I/O and has no state.
package simconfig

import (
	"encoding/json"
	"fmt"

	"heathshed/placer"
)

// Settings holds the configuration of the placer and the other settings that a scheduler needs.
type Settings struct {
	Placer placer.Config
	// These lists hold the names of task classes, tenants, zones and node types. The placer uses the index of
	// a name instead of the name, and a name that is not in its list is unknown. Lists of values by task
	// class, such as extra.startBonusS, are extended instead: the last value applies to all task classes
	// beyond the end of the list.
	ClassNames, TenantNames, ZoneNames, NodeTypeNames []string
	// ReportFields holds the names of the values of a load report, in the order in which a report has them.
	ReportFields []string
	// IdleTimeout is the time after which a node closes an idle connection of the scheduler. It is 0 if the
	// settings do not contain the key permissions.connIdleS.
	IdleTimeout placer.Seconds
	// BatchInterval is the minimum time between two batches of events.
	BatchInterval placer.Seconds
}

// Three keys of the settings each choose between two modes. Each of these constants is the value of one key
// that selects the mode described beside the constant; any other value of the key selects the opposite mode.
const (
	pollingDiscovery       = "ask"     // With this value of the key discovery, node lists are sent only on request.
	acknowledgementOnStart = "running" // With this value of extra.saysYes, a node accepts a task when the task runs.
	usageInReports         = "used"    // With this value of extra.counts, load reports contain the used resources.
)

// Parse parses the JSON text of the settings. If a value is invalid, the error names its key.
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
		class, err := parsed.placerClass(i)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		result.Placer.Classes = append(result.Placer.Classes, class)
		result.ClassNames = append(result.ClassNames, parsed.Lanes[i].Name)
	}
	var err error
	if result.Placer.NodeTypes, err = parsed.placerNodeTypes(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, org := range parsed.Orgs {
		tenant := placer.Tenant{Share: org.Share, Cores: valueOrLast(parsed.Extra.QuotaCores, i, 0)}
		result.Placer.Tenants = append(result.Placer.Tenants, tenant)
		result.TenantNames = append(result.TenantNames, org.Name)
	}
	return result, nil
}

// placerConfig returns the configuration of the placer, except for its task classes, node types and tenants.
func (s *settings) placerConfig() placer.Config {
	extra, rules, permissions := &s.Extra, &s.Rules, &s.Permissions
	return placer.Config{
		Zone:            s.MyZone,
		Peers:           placer.Peers{Self: s.Me, Total: s.PeersTotal, StickyServices: extra.Bound},
		OverQuotaWeight: s.OverShareWorth,
		NodeBehavior: placer.NodeBehavior{
			AcknowledgesOnStart: extra.SaysYes == acknowledgementOnStart,
			ListShowsCapacity:   extra.FreeInList,
			ReportsUsage:        extra.Counts == usageInReports,
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
		Discovery: placer.Discovery{MustPoll: s.Discovery == pollingDiscovery, MaxPollInterval: rules.AskWithinS},
		Costs:     placer.Costs{Node: s.Tariffs.Fleet, CrossZone: s.Tariffs.Cross, Migration: s.Tariffs.Moves},
	}
}

// placerClass returns the task class with the given index. The settings call a task class a lane.
func (s *settings) placerClass(index int) (placer.Class, error) {
	lane, extra := &s.Lanes[index], &s.Extra
	class := placer.Class{
		DedupWindow:         lane.KeyTTLS,
		LatencyObjective:    lane.ObjectiveS,
		Deadline:            lane.HardLimitS,
		Weight:              lane.Worth,
		LateWeight:          lane.LateValue,
		StartBonus:          valueOrLast(extra.StartBonusS, index, 0),
		Priority:            valueOrLast(extra.Precedence, index, 0),
		NodeType:            valueOrLast(extra.ClassKind, index, -1),
		MaxPerDomain:        valueOrLast(extra.TogetherMax, index, 0),
		SaturationThreshold: valueOrLast(extra.FullUpTo, index, 0),
		DegradationRange:    valueOrLast(extra.FadesOver, index, 0),
	}
	var err error
	if class.Idempotency, err = parseIdempotency(lane.Effect); err != nil {
		return class, fmt.Errorf("lanes[%d].effect (idempotency of the task class): %w", index, err)
	}
	class.DedupDomain, err = parseTopologyDomain(lane.KeyScope)
	if err != nil && class.Idempotency == placer.IdempotentByKey {
		return class, fmt.Errorf("lanes[%d].keyScope (deduplication domain of the task class): %w", index, err)
	}
	if class.SpreadDomain, err = parseTopologyDomain(valueOrLast(extra.ApartBy, index, "none")); err != nil {
		return class, fmt.Errorf("extra.apartBy[%d] (spread domain of the task class): %w", index, err)
	}
	return class, nil
}

// placerNodeTypes returns the node types. The keys extra.coresByKind and extra.kindMemory contain the cores
// and the memory of the node types; both lists must have the same length.
func (s *settings) placerNodeTypes() ([]placer.NodeType, error) {
	cores, memory := s.Extra.CoresByKind, s.Extra.KindMemory
	if len(memory) != len(cores) {
		return nil, fmt.Errorf("extra.kindMemory has length %d, but extra.coresByKind has length %d", len(memory), len(cores))
	}
	var types []placer.NodeType
	for i := range cores {
		types = append(types, placer.NodeType{Cores: cores[i], Memory: memory[i]})
	}
	return types, nil
}

// valueOrLast returns the value with the given index. It returns the last value if the index is beyond the
// end of the list, and the fallback if the list is empty.
func valueOrLast[T any](values []T, index int, fallback T) T {
	if len(values) == 0 {
		return fallback
	}
	return values[min(index, len(values)-1)]
}

// parseIdempotency returns the idempotency that a task class has with the given value of its key effect.
func parseIdempotency(name string) (placer.Idempotency, error) {
	switch name {
	case "idempotent":
		return placer.Idempotent, nil
	case "deduplicated":
		return placer.IdempotentByKey, nil
	case "at_most_once":
		return placer.NonIdempotent, nil
	}
	return placer.Idempotent, fmt.Errorf("unknown value %q", name)
}

// parseTopologyDomain returns the topology domain that has the given name in the settings. The settings call
// a node a machine, a rack a cell and the cluster all.
func parseTopologyDomain(name string) (placer.TopologyDomain, error) {
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
	return placer.NoDomain, fmt.Errorf("unknown topology domain %q", name)
}
