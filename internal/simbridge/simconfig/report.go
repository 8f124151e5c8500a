package simconfig

import (
	"math"

	"heathshed/placer"
)

// NoReport returns a load report in which no value is set.
func NoReport() placer.Report {
	none := math.NaN()
	return placer.Report{FreeCores: none, FreeMemory: none, Utilization: none, QueueLength: none}
}

// SetReportField sets the value of the named field of a load report. Unknown names are skipped.
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
