//go:build linux

package scheduler

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
	"heathshed/internal/kube/wellknown"
)

// BenchmarkPostToSettled submits Jobs with one task at a constant rate, independently of the responses. It
// reports the time from when each Job was due to be posted until a watch showed its Pod as settled.
func BenchmarkPostToSettled(b *testing.B) {
	for _, nodes := range []int{10, 100, 500} {
		for _, rate := range []int{50, 200, 800} {
			b.Run(fmt.Sprintf("nodes=%d/rate=%d", nodes, rate), func(b *testing.B) {
				cluster := startCluster(b, func(settings *config.Settings) {
					settings.Emulator.Nodes, settings.Emulator.Racks, settings.NodeSyncTimeout = nodes, 10, 20
				})
				latencyHistogram := hdrhistogram.New(1, 60_000_000, 3)
				dueTimes := sync.Map{}
				settled := make(chan struct{}, 1<<16)
				resp, err := http.Get(cluster.baseURL + "/api/v1/pods?watch=1")
				if err != nil {
					b.Fatal(err)
				}
				go reportSettledJobs(resp.Body, func(name string) {
					if dueAt, ok := dueTimes.Load(name); ok {
						// The error is ignored: a latency beyond the histogram's range exceeds the time
						// that the benchmark waits.
						_ = latencyHistogram.RecordValue(max(1, time.Since(dueAt.(time.Time)).Microseconds()))
					}
					settled <- struct{}{}
				})
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
				jobs := rate * 4 // number of Jobs in 4 s; does not depend on b.N
				b.ResetTimer()
				start := time.Now()
				for i := range jobs {
					dueAt := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
					time.Sleep(time.Until(dueAt))
					name := fmt.Sprint("b", i)
					dueTimes.Store(name, dueAt)
					go func() {
						resp, err := client.Post(cluster.baseURL+jobsPath, jsonType, strings.NewReader(jobJSON(name, 1)))
						if err == nil {
							err = resp.Body.Close()
						}
						if err != nil {
							b.Log(err) // the loop below fails the benchmark if the task does not settle
						}
					}()
				}
				for range jobs {
					select {
					case <-settled:
					case <-time.After(20 * time.Second):
						b.Fatal("no further task settled within 20 s")
					}
				}
				if err := resp.Body.Close(); err != nil {
					b.Error(err)
				}
				for _, percentile := range []float64{50, 99, 99.9} {
					b.ReportMetric(float64(latencyHistogram.ValueAtQuantile(percentile))/1000, fmt.Sprintf("ms-p%v", percentile))
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// reportSettledJobs reads a watch of Pods until its end. For each Job, it calls settled when the watch
// first shows a Pod of the Job as settled.
func reportSettledJobs(watch io.Reader, settled func(name string)) {
	reader := bufio.NewReaderSize(watch, 1<<20)
	reported := map[string]bool{}
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		var event struct{ Object corev1.Pod }
		if json.Unmarshal(line, &event) != nil {
			return
		}
		name := event.Object.Labels[wellknown.JobName]
		if wellknown.SettledReason(&event.Object) != "" && !reported[name] {
			reported[name] = true
			settled(name)
		}
	}
}

// BenchmarkFanOut reports the rate of watch events that the scheduler sends to a number of watches of all
// Pods.
func BenchmarkFanOut(b *testing.B) {
	for _, watchers := range []int{1, 100, 5000} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) {
			cluster := startCluster(b, nil)
			var wg sync.WaitGroup
			var totalEvents atomic.Int64
			tasks := max(20, min(2000, 200000/watchers))
			for range watchers {
				conn, err := net.Dial("tcp", cluster.scheduler.Addr())
				if err != nil {
					b.Skip(err)
				}
				if _, err := io.WriteString(conn, "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					events := countEvents(conn, tasks)
					if err := conn.Close(); err != nil {
						b.Error(err)
					}
					totalEvents.Add(events)
				}()
			}
			cluster.eventually("all watches are open", func() bool { return cluster.watchers() == watchers })
			b.ResetTimer()
			start := time.Now()
			cluster.requireStatus(201, "POST", jobsPath, jsonType, jobJSON("fan", tasks))
			wg.Wait()
			b.ReportMetric(float64(totalEvents.Load())/time.Since(start).Seconds(), "events/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// countEvents reads a watch until it has shown the given number of Pods as placed, and returns the number
// of events read.
func countEvents(watch io.Reader, tasks int) (events int64) {
	reader := bufio.NewReaderSize(watch, 16<<10)
	for placed := 0; placed < tasks; {
		line, err := reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			break
		}
		if !bytes.HasPrefix(line, []byte(`{"type":`)) {
			continue
		}
		events++
		if isPlacement(line) {
			placed++
		}
	}
	return events
}

// isPlacement reports whether a watch event shows a Pod that has been placed but does not run yet.
func isPlacement(event []byte) bool {
	return bytes.HasPrefix(event, []byte(`{"type":"MODIFIED"`)) &&
		bytes.Contains(event, []byte(`"Placed"`)) &&
		bytes.Contains(event, []byte(`"phase":"Pending"`))
}
