package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// parseLoadReport returns the load report in a message of a node. It ignores report fields that are not in
// the given list of fields, and report fields whose values are not numbers. If no report field is left, it
// returns nil.
func parseLoadReport(fields []string, msg *protocol.Message) *placer.Report {
	text := msg.Get(protocol.LoadReport)
	if text == "" {
		return nil
	}
	report := simconfig.EmptyReport()
	hasField := false
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		amount, err := strconv.ParseFloat(value, 64)
		if err != nil || !slices.Contains(fields, name) {
			continue
		}
		simconfig.SetReportField(&report, name, amount)
		hasField = true
	}
	if !hasField {
		return nil
	}
	return &report
}
