//go:build linux

package scheduler

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/scenario"
)

// on runs f on the scheduler's loop.
func (c *cluster) on(f func()) {
	done := make(chan struct{})
	c.l.Post(func() { f(); close(done) })
	<-done
}

// crowd opens connections that send something and never read.
func (c *cluster) crowd(n int, request string) {
	for range n {
		conn, err := net.Dial("tcp", c.sch.Addr())
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() { conn.Close() })
		// A write may block once the scheduler reads no more, or fail once it has cut the connection off.
		go conn.Write([]byte(request))
	}
}

// heap is what the process holds after a collection, in bytes.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// 4,000 watches that are never read beside a Job of 1,000 tasks stay within what connections may hold, a watch that is read misses
// nothing, and the memory is free again when they are gone.
func TestUnreadWatches(t *testing.T) {
	c := start(t, nil)
	before := heap()
	c.crowd(4000, "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n")
	watches := func() (n int) {
		c.on(func() { n = c.sch.api.Watchers() })
		return n
	}
	c.eventually("all watch", func() bool { return watches() == 4000 })
	c.submit(scenario.Job{Name: "a", Class: "batch", Service: "s", Tasks: 1000, Cores: 0.01, Memory: 0.01, Life: 60, Backoff: 6})
	most := int64(0)
	c.eventually("settled", func() bool {
		c.on(func() { most = max(most, c.sch.http.Memory().Held()) })
		return settled(c.job("a")) != ""
	})
	var total int64
	c.on(func() { total = c.sch.http.Memory().Total() })
	if most > total {
		t.Errorf("connections held %d bytes of %d", most, total)
	}
	if n := heap(); n > before+300<<20 {
		t.Errorf("%d MB held, %d MB before", n>>20, before>>20)
	}
	t.Logf("connections held %d MB at most, the process %d MB, %d before", most>>20, heap()>>20, before>>20)
	c.on(func() { c.sch.http.CloseConns() })
	c.on(func() {
		if m := c.sch.http.Memory(); m.Held() > 1<<20 {
			t.Errorf("%d bytes held by %d connections after all were closed", m.Held(), m.Users())
		}
	})
}

// Requests for lists in a pipeline whose answers are never read, and bodies that never end, hold no more than their share, and others are
// served meanwhile.
func TestUnreadAnswersAndEndlessBodies(t *testing.T) {
	c := start(t, func(s *config.Settings) { s.Limits.Memory = 256 })
	c.submit(scenario.Job{Name: "a", Class: "batch", Service: "s", Tasks: 2000, Cores: 0.01, Memory: 0.01, Life: 60, Backoff: 6})
	c.eventually("settled", func() bool { return settled(c.job("a")) != "" })
	before := heap()
	c.crowd(200, strings.Repeat("GET /api/v1/pods HTTP/1.1\r\nHost: a\r\n\r\n", 2000))
	c.crowd(200, "POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n"+strings.Repeat(" ", 2900000))
	var held, total int64
	var users, cut int
	c.eventually("all are there or were cut off", func() bool {
		c.on(func() {
			m := c.sch.http.Memory()
			held, total, users, cut = max(held, m.Held()), m.Total(), m.Users(), int(m.Cut)
		})
		return users+cut >= 400
	})
	c.want(201, "POST", "/apis/batch/v1/namespaces/default/jobs", "application/json", jobText("b", 1))
	if held > total {
		t.Errorf("connections held %d bytes of %d", held, total)
	}
	if n := heap(); n > before+uint64(total)+128<<20 {
		t.Errorf("%d MB held, %d MB before, a share of %d MB", n>>20, before>>20, total>>20)
	}
	t.Logf("held %d KB of %d KB, %d cut off", held>>10, total>>10, cut)
}

// A method that nobody knows makes no series of its own.
func TestSeriesAreBounded(t *testing.T) {
	c := start(t, nil)
	for i := range 50 {
		conn, err := net.Dial("tcp", c.sch.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "X%d / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", i)
		buf := make([]byte, 512)
		conn.Read(buf)
		conn.Close()
	}
	if text := c.want(200, "GET", "/metrics", "", ""); strings.Count(string(text), "heathshed_api_requests_total{") > 10 {
		t.Error("a series for each method that a peer makes up")
	}
}
