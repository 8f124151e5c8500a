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
	Bombs    int `json:"Bombs"`    // requests that are small to send and dear to read
	Refused  int `json:"Refused"`  // of them, answered with a 4xx
	Taken    int `json:"Taken"`    // of them, answered otherwise: there should be none
	Silent   int `json:"Silent"`   // connections opened that never read, or never end their request
	Early    int `json:"Early"`    // median resident memory of the schedulers in the second quarter of the day, MiB together
	Late     int `json:"Late"`     // the same in the last quarter
	MostHeld int `json:"MostHeld"` // the most that one scheduler had at any second, MiB
}

// bombs are requests as in the table of package api's tests, each with its way in.
func bombs() (out [][4]string) {
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
	watchesEach = 150
	halvesEach  = 100
	listsEach   = 10
)

// harm sends bombs to one scheduler, twice a second, and keeps connections open that never read or never end their request, until the
// day ends.
func (d *drill) harm(ctx context.Context, i int) {
	name := simulation.SchedulerName(i)
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	silent := func(n int, text string) {
		for range n {
			conn, err := net.DialTimeout("tcp", strings.TrimPrefix(d.addr(name), "http://"), time.Second)
			if err != nil {
				return
			}
			open = append(open, conn)
			conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			io.WriteString(conn, text)
			d.count(func(f *Figures) { f.Hostile.Silent++ })
		}
	}
	all := bombs()
	for turn := 0; ctx.Err() == nil; turn++ {
		if turn%40 == 0 {
			// The scheduler, or a kill of it, has closed many of them by now.
			for _, c := range open {
				c.Close()
			}
			open = open[:0]
			silent(watchesEach, "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n")
			silent(halvesEach/2, "POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n{")
			silent(halvesEach/2, "GET /api/v1/po")
			silent(listsEach, strings.Repeat("GET /api/v1/pods HTTP/1.1\r\nHost: a\r\n\r\n", 500))
		}
		b := all[turn%len(all)]
		req, err := http.NewRequestWithContext(ctx, b[0], d.addr(name)+b[1], strings.NewReader(b[3]))
		if err == nil {
			req.Header.Set("Content-Type", b[2])
			if resp, err := d.client.Do(req); err == nil {
				io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
				resp.Body.Close()
				d.count(func(f *Figures) {
					f.Hostile.Bombs++
					if resp.StatusCode/100 == 4 {
						f.Hostile.Refused++
					} else if resp.StatusCode != 503 {
						f.Hostile.Taken++
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

// resident is the memory of a process in MiB, as /proc tells it (VmRSS of proc(5)); 0 if it is not there.
func resident(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(b), "VmRSS:")
	line, _, _ := strings.Cut(after, "kB")
	n, _ := strconv.Atoi(strings.TrimSpace(line))
	return n >> 10
}

// weigh looks at the schedulers' memory once a second, until the day ends.
func (d *drill) weigh(ctx context.Context) {
	var sums []int
	for ctx.Err() == nil {
		sum := 0
		d.mu.Lock()
		for i := range d.o.Script.Schedulers {
			if p := d.procs[simulation.SchedulerName(i)]; p != nil && p.cmd != nil && p.cmd.Process != nil {
				m := resident(p.cmd.Process.Pid)
				sum += m
				d.fig.Hostile.MostHeld = max(d.fig.Hostile.MostHeld, m)
			}
		}
		d.mu.Unlock()
		sums = append(sums, sum)
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	n := len(sums)
	if n < 8 {
		return
	}
	median := func(s []int) int { s = slices.Sorted(slices.Values(s)); return s[len(s)/2] }
	d.count(func(f *Figures) {
		f.Hostile.Early, f.Hostile.Late = median(sums[n/4:n/2]), median(sums[n-n/4:])
	})
}
