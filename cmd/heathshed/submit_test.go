package main

import (
	"testing"
	"time"
)

// TestJobFromFlags pins the bytes of the Job that is sent.
func TestJobFromFlags(t *testing.T) {
	for _, test := range []struct {
		name  string
		flags submitFlags
		want  string
	}{
		{
			name:  "all",
			flags: submitFlags{name: "a", class: "web", service: "s", cpu: "1", memory: "1Gi", tasks: 2, lifetime: 1500 * time.Millisecond},
			want: `{"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"a"},"spec":{"completions":2,"parallelism":2,"template":{"metadata":` +
				`{"annotations":{"heathshed.io/lifetime":"1.5"},"labels":{"heathshed.io/class":"web","heathshed.io/service":"s"}},` +
				`"spec":{"containers":[{"image":"stand-in","name":"main","resources":{"requests":{"cpu":"1","memory":"1Gi"}}}],"restartPolicy":"Never"}}}}`,
		},
		{
			name:  "least",
			flags: submitFlags{cpu: "500m", memory: "512Mi", tasks: 1},
			want: `{"apiVersion":"batch/v1","kind":"Job","metadata":{"generateName":"job-"},"spec":{"completions":1,"parallelism":1,"template":{"metadata":` +
				`{"annotations":{},"labels":{}},"spec":{"containers":[{"image":"stand-in","name":"main","resources":{"requests":{"cpu":"500m",` +
				`"memory":"512Mi"}}}],"restartPolicy":"Never"}}}}`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkJSON(t, test.flags.jobFromFlags(), test.want)
		})
	}
}
