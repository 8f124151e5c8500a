package simconfig

import (
	"math"

	"heathshed/placer"
)

// EmptyReport returns a load report in which all values are NaN, which means that they are not reported.
func EmptyReport() placer.Report {
	unset := math.NaN()
	return placer.Report{FreeCores: unset, FreeMemory: unset, Utilization: unset, QueueLength: unset}
}

// SetReportField sets one field of a load report. The settings refer to the field by the given name; an
// unknown name is ignored.
func SetReportField(report *placer.Report, fieldName string, value float64) {
	switch fieldName {
	case "x0":
		report.FreeCores = value
	case "x1":
		report.FreeMemory = value
	case "utilization":
		report.Utilization = value
	case "backlog":
		report.QueueLength = value
	}
}
