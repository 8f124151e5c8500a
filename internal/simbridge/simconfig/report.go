package simconfig

import (
	"math"

	"heathshed/placer"
)

// EmptyReport returns a load report in which no value is set.
func EmptyReport() placer.Report {
	none := math.NaN()
	return placer.Report{FreeCores: none, FreeMemory: none, Utilization: none, QueueLength: none}
}

// SetReportField sets the value of the named field of a load report. Unknown names are skipped.
func SetReportField(report *placer.Report, field string, value float64) {
	switch field {
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
