package simulation

import (
	"fmt"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/scenario"
)

// FromSettings describes the world that `heathshed badday` would start for a script: the same machines, schedulers and rules.
func FromSettings(settings *config.Settings, script *scenario.Script) Config {
	cfg := Config{Seed: script.Seed, Priorities: settings.Priorities(), LatencyMin: 0.0001, LatencyMax: 0.0006, ConnectTimeout: settings.ConnectTimeout, ReportInterval: 0.5,
		ReportDelay: settings.Emulator.ReportDelay, UnresponsiveAfter: settings.Emulator.UnresponsiveAfter, StartTime: 1.8e9, Classes: AuditClasses(settings), DrainGrace: settings.Rules.DrainGrace}
	for i := range script.Nodes {
		emulated := settings.EmulatedNode(i)
		identity := scenario.Node{Name: NodeName(i), Zone: emulated.Zone, Rack: emulated.Rack, Kind: emulated.NodeType}
		cfg.Nodes = append(cfg.Nodes, NodeConfig{Node: identity, Sim: emulated.Sim})
	}
	for i := range script.Schedulers {
		own := *settings
		own.Self, own.Peers, own.Name = i, script.Schedulers, SchedulerName(i)
		cfg.Schedulers = append(cfg.Schedulers, own.Engine(script.Seed*31+uint64(i), 0))
	}
	return cfg
}

// NodeName and SchedulerName are the names that days use.
func NodeName(i int) string { return fmt.Sprintf("node-%02d", i+1) }

// SchedulerName is the name of the i-th scheduler of a day.
func SchedulerName(i int) string { return fmt.Sprintf("scheduler-%d", i+1) }

// ScenarioNodes are the machines as plans speak of them.
func (c *Config) ScenarioNodes() []scenario.Node {
	var out []scenario.Node
	for i := range c.Nodes {
		out = append(out, c.Nodes[i].Node)
	}
	return out
}

// AuditClasses are the rules of the classes as the auditor needs them.
func AuditClasses(s *config.Settings) map[string]audit.Class {
	classes := map[string]audit.Class{}
	for _, class := range s.Classes {
		rules := audit.Class{AtMostOnce: class.Idempotency == "at_most_once", Idempotent: class.Idempotency == "deduplicated", KeyScope: class.DedupDomain, KeyTTL: class.DedupWindow, MaxPerDomain: class.MaxPerDomain}
		if class.SpreadDomain != "" && class.SpreadDomain != "none" {
			rules.SpreadBy = class.SpreadDomain
		}
		classes[class.Name] = rules
	}
	return classes
}
