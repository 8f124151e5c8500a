//go:build linux

package scheduler

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
	"heathshed/internal/wellknown"
)

// BenchmarkPostToSettled submits one-task Jobs at a steady rate, whatever the answers, and tells the time from the moment each was due
// to be posted until a watch showed it settled.
func BenchmarkPostToSettled(b *testing.B) {
	for _, machines := range []int{10, 100, 500} {
		for _, rate := range []int{50, 200, 800} {
			b.Run(fmt.Sprintf("machines=%d/rate=%d", machines, rate), func(b *testing.B) {
				c := startCluster(b, func(s *config.Settings) { s.Emulator.Nodes, s.Emulator.Racks, s.NodeSyncTimeout = machines, 10, 20 })
				hist := hdrhistogram.New(1, 60_000_000, 3)
				due := sync.Map{}
				settled := make(chan struct{}, 1<<16)
				resp, err := http.Get(c.baseURL + "/api/v1/pods?watch=1")
				if err != nil {
					b.Fatal(err)
				}
				go func() {
					r := bufio.NewReaderSize(resp.Body, 1<<20)
					seen := map[string]bool{}
					for {
						line, err := r.ReadBytes('\n')
						if err != nil {
							return
						}
						var ev struct{ Object corev1.Pod }
						if json.Unmarshal(line, &ev) != nil {
							return
						}
						name := ev.Object.Labels[wellknown.JobName]
						if wellknown.SettledReason(&ev.Object) != "" && !seen[name] {
							seen[name] = true
							if at, ok := due.Load(name); ok {
								hist.RecordValue(max(1, time.Since(at.(time.Time)).Microseconds()))
							}
							settled <- struct{}{}
						}
					}
				}()
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
				n := rate * 4 // four seconds, whatever b.N
				b.ResetTimer()
				begin := time.Now()
				for i := range n {
					at := begin.Add(time.Duration(i) * time.Second / time.Duration(rate))
					time.Sleep(time.Until(at))
					name := fmt.Sprint("b", i)
					due.Store(name, at)
					go func() {
						body := []byte(jobJSON(name, 1))
						resp, err := client.Post(c.baseURL+"/apis/batch/v1/namespaces/default/jobs", "application/json", bytes.NewReader(body))
						if err == nil {
							resp.Body.Close()
						}
					}()
				}
				for range n {
					select {
					case <-settled:
					case <-time.After(20 * time.Second):
						b.Fatal("not all settled")
					}
				}
				resp.Body.Close()
				for _, q := range []float64{50, 99, 99.9} {
					b.ReportMetric(float64(hist.ValueAtQuantile(q))/1000, fmt.Sprintf("ms-p%v", q))
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkFanOut tells how many events a second reach so many watchers of all Pods.
func BenchmarkFanOut(b *testing.B) {
	for _, watchers := range []int{1, 100, 5000} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) {
			c := startCluster(b, nil)
			var wg sync.WaitGroup
			var total int64
			var mu sync.Mutex
			tasks := max(20, min(2000, 200000/watchers))
			for range watchers {
				conn, err := net.Dial("tcp", c.scheduler.Addr())
				if err != nil {
					b.Skip(err)
				}
				fmt.Fprint(conn, "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n")
				wg.Add(1)
				go func() {
					defer wg.Done()
					defer conn.Close()
					r := bufio.NewReaderSize(conn, 16<<10)
					n, placed := int64(0), 0
					for placed < tasks {
						line, err := r.ReadSlice('\n')
						if err != nil && err != bufio.ErrBufferFull {
							break
						}
						if bytes.HasPrefix(line, []byte(`{"type":`)) {
							n++
							if bytes.HasPrefix(line, []byte(`{"type":"MODIFIED"`)) && bytes.Contains(line, []byte(`"Placed"`)) && bytes.Contains(line, []byte(`"phase":"Pending"`)) {
								placed++
							}
						}
					}
					mu.Lock()
					total += n
					mu.Unlock()
				}()
			}
			c.eventually("all watch", func() bool {
				n, done := 0, make(chan struct{})
				c.loop.Post(func() { n = c.scheduler.apiServer.Watchers(); close(done) })
				<-done
				return n == watchers
			})
			b.ResetTimer()
			begin := time.Now()
			c.requireStatus(201, "POST", "/apis/batch/v1/namespaces/default/jobs", "application/json", jobJSON("fan", tasks))
			wg.Wait()
			b.ReportMetric(float64(total)/time.Since(begin).Seconds(), "events/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
