package simulation

import (
	"fmt"

	"heathshed/internal/config"
	"heathshed/internal/lab/audit"
	"heathshed/internal/lab/labconfig"
	"heathshed/internal/lab/scenario"
	"heathshed/placer"
)

// Latencies of links on loopback, one way.
const (
	loopbackLatencyMin placer.Seconds = 0.0001
	loopbackLatencyMax placer.Seconds = 0.0006
)

const (
	// scenarioStartTime is the Unix time at which simulated scenarios begin.
	scenarioStartTime placer.Seconds = 1.8e9
	// scenarioReportInterval is the report interval of the emulator's nodes.
	scenarioReportInterval placer.Seconds = 0.5
	// schedulerSeedFactor separates the seeds of schedulers.
	schedulerSeedFactor = 31
)

// FromSettings returns the configuration of a world with the nodes, schedulers and rules that a run of a script over sockets has.
func FromSettings(settings *config.Settings, script *scenario.Script) Config {
	cfg := Config{
		Seed:       script.Seed,
		StartTime:  scenarioStartTime,
		Priorities: labconfig.Priorities(settings),
		Links: Links{
			LatencyMin:     loopbackLatencyMin,
			LatencyMax:     loopbackLatencyMax,
			ConnectTimeout: placer.Seconds(settings.ConnectTimeout),
		},
		Inventory: Inventory{
			ReportInterval:    scenarioReportInterval,
			ReportDelay:       placer.Seconds(settings.Emulator.ReportDelay),
			UnresponsiveAfter: placer.Seconds(settings.Emulator.UnresponsiveAfter),
		},
		Rules: audit.Config{
			Classes:    AuditClasses(settings),
			DrainGrace: placer.Seconds(settings.Timing.DrainGrace),
			Slack:      auditSlack,
		},
	}
	for i := range script.Nodes {
		emulated := labconfig.NodeAt(settings, i)
		identity := scenario.Node{Name: NodeName(i), Zone: emulated.Zone, Rack: emulated.Rack, Kind: emulated.NodeType}
		cfg.Nodes = append(cfg.Nodes, NodeConfig{Node: identity, Sim: emulated.Sim})
	}
	for i := range script.Schedulers {
		own := *settings
		own.Self = i
		own.Peers = script.Schedulers
		own.Name = SchedulerName(i)
		cfg.Schedulers = append(cfg.Schedulers, own.EngineConfig(script.Seed*schedulerSeedFactor+uint64(i), 0))
	}
	return cfg
}

// NodeName returns the name of the i-th node of a scenario.
func NodeName(i int) string { return fmt.Sprintf("node-%02d", i+1) }

// SchedulerName returns the name of the i-th scheduler of a scenario.
func SchedulerName(i int) string { return fmt.Sprintf("scheduler-%d", i+1) }

// ScenarioNodes returns the nodes as plans refer to them.
func (c *Config) ScenarioNodes() []scenario.Node {
	var nodes []scenario.Node
	for i := range c.Nodes {
		nodes = append(nodes, c.Nodes[i].Node)
	}
	return nodes
}

// AuditClasses returns the classes of the settings in the auditor's form.
func AuditClasses(settings *config.Settings) map[string]audit.Class {
	classes := map[string]audit.Class{}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		classes[class.Name] = audit.Class{
			AtMostOnce:   class.Idempotency == "at_most_once",
			Idempotent:   class.Idempotency == "deduplicated",
			DedupDomain:  auditDomain(class.DedupDomain),
			DedupWindow:  placer.Seconds(class.DedupWindow),
			SpreadDomain: auditDomain(class.SpreadDomain),
			MaxPerDomain: class.MaxPerDomain,
		}
	}
	return classes
}

// auditDomain converts a domain of the settings. The names are the same, except that of no domain.
func auditDomain(domain string) audit.Domain {
	if domain == config.NoDomain {
		return audit.NoDomain
	}
	return audit.Domain(domain)
}
