package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// figureNoise is how far a figure of a node may exceed what is possible for the node. Load reports are noisy.
const figureNoise = 2

// figureRange is the range of the values that a figure of a node may have.
type figureRange struct{ lowest, highest float64 }

// contains reports whether a value is in the range. It returns false for NaN.
func (r figureRange) contains(value float64) bool { return value >= r.lowest && value <= r.highest }

// amountRange is the range of amounts of which only the sign is known.
var amountRange = figureRange{0, maxResourceAmount}

// nodeFigures contains the figures in one message of a node. Figures that are not numbers or out of range are
// left out, so that a single node cannot spoil averages over all nodes.
type nodeFigures struct {
	report   *placer.Report // report is nil if the message contains no load report.
	usage    float64        // usage is the value in an Update message.
	hasUsage bool
	// invalid is the first figure that was left out, with its name, or "".
	invalid string
}

// parseNodeFigures returns the figures in a message of a node. The parameter node is nil if the node registry
// does not contain the node.
func (s *sharedState) parseNodeFigures(node *Node, msg *protocol.Message) nodeFigures {
	var figures nodeFigures
	switch msg.Kind {
	case protocol.Stop:
		figures.parseLoadReport(s.settings, node, msg.Get(protocol.LoadReport))
	case protocol.Update:
		text := msg.Get(protocol.Value)
		figures.usage, figures.hasUsage = figures.parse(protocol.Value.String(), text, amountRange)
	}
	return figures
}

// parse returns the value of a figure. It returns false, and records the figure as invalid, if the text is not
// a number in the given range.
func (f *nodeFigures) parse(name, text string, valid figureRange) (value float64, ok bool) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !valid.contains(value) {
		if f.invalid == "" {
			f.invalid = name + ":" + text
		}
		return 0, false
	}
	return value, true
}

// parseLoadReport parses a load report. It ignores report fields that the settings do not name.
func (f *nodeFigures) parseLoadReport(settings *simconfig.Settings, node *Node, text string) {
	if text == "" {
		return
	}
	report := simconfig.EmptyReport()
	hasField := false
	for part := range strings.SplitSeq(text, ";") {
		name, valueText, _ := strings.Cut(part, ":")
		if !slices.Contains(settings.ReportFields, name) {
			continue
		}
		value, ok := f.parse(name, valueText, reportRange(&settings.Placer, node, name))
		if !ok {
			continue
		}
		simconfig.SetReportField(&report, name, value)
		hasField = true
	}
	if hasField {
		f.report = &report
	}
}

// reportRange returns the range of a field of a load report. A node has at most its own capacity free, and
// tasks request at most the overcommitted capacity of it.
func reportRange(cfg *placer.Config, node *Node, field string) figureRange {
	switch field {
	case "utilization":
		return figureRange{0, figureNoise}
	case "x0", "x1":
	default:
		return amountRange
	}
	if node == nil || node.placerNode.NodeType < 0 || node.placerNode.NodeType >= len(cfg.NodeTypes) {
		return figureRange{-maxResourceAmount, maxResourceAmount}
	}
	nodeType := cfg.NodeTypes[node.placerNode.NodeType]
	capacity, overcommit := nodeType.Cores, cfg.Overcommit.Cores
	if field == "x1" {
		capacity, overcommit = nodeType.Memory, cfg.Overcommit.Memory
	}
	return figureRange{-figureNoise * max(overcommit, 1) * capacity, figureNoise * capacity}
}
