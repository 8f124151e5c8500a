//go:build linux

package faultinjection

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"heathshed/internal/simulation"
)

// Hostile figures of what clients that mean harm met, and of the schedulers' memory meanwhile.
type Hostile struct {
	ExpensiveRequests  int `json:"Bombs"`    // requests that are small to send and dear to read
	Rejected           int `json:"Refused"`  // of them, answered with a 4xx
	Accepted           int `json:"Taken"`    // of them, answered otherwise: there should be none
	StalledConnections int `json:"Silent"`   // connections opened that never read, or never end their request
	MemoryEarly        int `json:"Early"`    // median resident memory of the schedulers in the second quarter of the day, MiB together
	MemoryLate         int `json:"Late"`     // the same in the last quarter
	MemoryPeak         int `json:"MostHeld"` // the most that one scheduler had at any second, MiB
}

// expensiveRequests are requests as in the table of package api's tests, each with its way in.
func expensiveRequests() (out [][4]string) {
	const jobs = "/apis/batch/v1/namespaces/default/jobs"
	node := "/api/v1/nodes/" + simulation.NodeName(0)
	job := func(cpu string) string {
		return `{"metadata":{"name":"bomb"},"spec":{"template":{"spec":{"restartPolicy":"Never","containers":[{"name":"a","image":"b","resources":` +
			`{"requests":{"cpu":"` + cpu + `"}}}]}}}}`
	}
	ops := []string{`{"op":"add","path":"/metadata/annotations","value":{"a":"b"}}`}
	for i := range 40 {
		ops = append(ops, fmt.Sprintf(`{"op":"copy","from":"/metadata","path":"/metadata/annotations/x%d"}`, i))
	}
	deep := strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000)
	return [][4]string{
		{"PATCH", node, "application/json-patch+json", "[" + strings.Join(ops, ",") + "]"},
		{"PATCH", node, "application/merge-patch+json", deep},
		{"PATCH", node, "application/strategic-merge-patch+json", deep},
		{"POST", jobs, "application/json", job("1e1000000000")},
		{"POST", jobs, "application/json", job("1e-2147483647")},
		{"POST", jobs, "application/json", `{"spec":{"template":{"spec":{"containers":[` + strings.Repeat("{},", 500000) + `{}]}}}}`},
		{"GET", "/api/v1/pods?labelSelector=" + strings.Repeat("a,", 2000) + "a", "", ""},
		{"GET", "/api/v1/namespaces/default%2Fx/pods", "", ""},
	}
}

const (
	unreadWatches         = 150
	incompleteRequests    = 100
	unreadListConnections = 10
)

// runHostileClient sends bombs to one scheduler, twice a second, and keeps connections open that never read or never end their request, until the
// day ends.
func (r *runner) runHostileClient(ctx context.Context, i int) {
	name := simulation.SchedulerName(i)
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	openStalled := func(n int, text string) {
		for range n {
			conn, err := net.DialTimeout("tcp", strings.TrimPrefix(r.baseURL(name), "http://"), time.Second)
			if err != nil {
				return
			}
			open = append(open, conn)
			conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			io.WriteString(conn, text)
			r.update(func(f *Figures) { f.Hostile.StalledConnections++ })
		}
	}
	requests := expensiveRequests()
	for round := 0; ctx.Err() == nil; round++ {
		if round%40 == 0 {
			// The scheduler, or a kill of it, has closed many of them by now.
			for _, c := range open {
				c.Close()
			}
			open = open[:0]
			openStalled(unreadWatches, "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n")
			openStalled(incompleteRequests/2, "POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n{")
			openStalled(incompleteRequests/2, "GET /api/v1/po")
			openStalled(unreadListConnections, strings.Repeat("GET /api/v1/pods HTTP/1.1\r\nHost: a\r\n\r\n", 500))
		}
		b := requests[round%len(requests)]
		req, err := http.NewRequestWithContext(ctx, b[0], r.baseURL(name)+b[1], strings.NewReader(b[3]))
		if err == nil {
			req.Header.Set("Content-Type", b[2])
			if resp, err := r.client.Do(req); err == nil {
				io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
				resp.Body.Close()
				r.update(func(f *Figures) {
					f.Hostile.ExpensiveRequests++
					if resp.StatusCode/100 == 4 {
						f.Hostile.Rejected++
					} else if resp.StatusCode != 503 {
						f.Hostile.Accepted++
					}
				})
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// residentMiB is the memory of a process in MiB, as /proc tells it (VmRSS of proc(5)); 0 if it is not there.
func residentMiB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(b), "VmRSS:")
	line, _, _ := strings.Cut(after, "kB")
	kibibytes, _ := strconv.Atoi(strings.TrimSpace(line))
	return kibibytes >> 10
}

// sampleMemory looks at the schedulers' memory once a second, until the day ends.
func (r *runner) sampleMemory(ctx context.Context) {
	var totals []int
	for ctx.Err() == nil {
		total := 0
		r.mu.Lock()
		for i := range r.options.Script.Schedulers {
			if p := r.processes[simulation.SchedulerName(i)]; p != nil && p.cmd != nil && p.cmd.Process != nil {
				m := residentMiB(p.cmd.Process.Pid)
				total += m
				r.figures.Hostile.MemoryPeak = max(r.figures.Hostile.MemoryPeak, m)
			}
		}
		r.mu.Unlock()
		totals = append(totals, total)
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	n := len(totals)
	if n < 8 {
		return
	}
	median := func(s []int) int { s = slices.Sorted(slices.Values(s)); return s[len(s)/2] }
	r.update(func(f *Figures) {
		f.Hostile.MemoryEarly, f.Hostile.MemoryLate = median(totals[n/4:n/2]), median(totals[n-n/4:])
	})
}
