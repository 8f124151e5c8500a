package simulation

import (
	"fmt"

	"heathshed/internal/audit"
	"heathshed/internal/config"
	"heathshed/internal/scenario"
)

// FromSettings describes the world that `heathshed badday` would start for a script: the same machines, schedulers and rules.
func FromSettings(s *config.Settings, d *scenario.Script) Config {
	c := Config{Seed: d.Seed, Priorities: s.Priorities(), LinkMin: 0.0001, LinkMax: 0.0006, ConnectWithin: s.ConnectWithin, Beat: 0.5,
		Late: s.Emulator.Late, SilentAfter: s.Emulator.SilentAfter, Start: 1.8e9, Classes: Classes(s), DrainGrace: s.Rules.DrainGrace}
	for i := range d.Nodes {
		m, kind, rack, zone := s.Machine(i)
		c.Nodes = append(c.Nodes, NodeConfig{Node: scenario.Node{Name: NodeName(i), Zone: zone, Rack: rack, Kind: kind}, Sim: m})
	}
	for i := range d.Schedulers {
		p := *s
		p.Self, p.Peers, p.Name = i, d.Schedulers, SchedulerName(i)
		c.Schedulers = append(c.Schedulers, p.Engine(d.Seed*31+uint64(i), 0))
	}
	return c
}

// NodeName and SchedulerName are the names that days use.
func NodeName(i int) string { return fmt.Sprintf("node-%02d", i+1) }

// SchedulerName is the name of the i-th scheduler of a day.
func SchedulerName(i int) string { return fmt.Sprintf("scheduler-%d", i+1) }

// NodesOf are the machines as plans speak of them.
func (c *Config) NodesOf() []scenario.Node {
	var out []scenario.Node
	for i := range c.Nodes {
		out = append(out, c.Nodes[i].Node)
	}
	return out
}

// Classes are the rules of the classes as the auditor needs them.
func Classes(s *config.Settings) map[string]audit.Class {
	out := map[string]audit.Class{}
	for _, k := range s.Classes {
		c := audit.Class{Once: k.Effect == "at_most_once", Keyed: k.Effect == "deduplicated", Group: k.KeyScope, TTL: k.KeyTTL, AtMost: k.Together}
		if k.ApartBy != "" && k.ApartBy != "none" {
			c.Apart = k.ApartBy
		}
		out[k.Name] = c
	}
	return out
}
