//go:build linux

package scheduler

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"heathshed/internal/config"
	"heathshed/internal/lab/scenario"
)

// openUnreadConnections opens connections that send something and never read.
func (c *cluster) openUnreadConnections(n int, request string) {
	c.t.Helper()
	for range n {
		conn := c.connect("")
		go func() {
			// It may block once the scheduler reads no more, and fails once it has closed the connection.
			_, _ = io.WriteString(conn, request)
		}()
	}
}

// heapBytes is what the process holds after a collection, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// 4,000 watches that are never read beside a Job of 1,000 tasks stay within the memory quota of connections, and the memory
// is free again when they are closed.
func TestUnreadWatches(t *testing.T) {
	c := startCluster(t, nil)
	before := heapBytes()
	c.openUnreadConnections(4000, "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n")
	c.eventually("all watch", func() bool { return c.watchers() == 4000 })
	c.submitJob(scenario.Job{Name: "a", Class: "batch", Service: "s", Tasks: 1000, Cores: 0.01, Memory: 0.01, Lifetime: 60, BackoffLimit: 6})
	most := int64(0)
	c.eventually("settled", func() bool {
		c.runOnLoop(func() { most = max(most, c.scheduler.httpServer.Memory().Used()) })
		return settledReason(c.job("a")) != ""
	})
	var total int64
	c.runOnLoop(func() { total = c.scheduler.httpServer.Memory().Total() })
	if most > total {
		t.Errorf("connections held %d bytes of %d", most, total)
	}
	if n := heapBytes(); n > before+300<<20 {
		t.Errorf("%d MB held, %d MB before", n>>20, before>>20)
	}
	t.Logf("connections held %d MB at most, the process %d MB, %d before", most>>20, heapBytes()>>20, before>>20)
	c.runOnLoop(func() { c.scheduler.httpServer.CloseConns() })
	c.runOnLoop(func() {
		if m := c.scheduler.httpServer.Memory(); m.Used() > 1<<20 {
			t.Errorf("%d bytes held by %d connections after all were closed", m.Used(), m.Users())
		}
	})
}

// Pipelined requests for lists whose responses are never read, and bodies that never end, stay within the memory quota, and
// others are served meanwhile.
func TestUnreadResponsesAndEndlessBodies(t *testing.T) {
	c := startCluster(t, func(s *config.Settings) { s.Limits.MemoryMiB = 256 })
	c.submitJob(scenario.Job{Name: "a", Class: "batch", Service: "s", Tasks: 2000, Cores: 0.01, Memory: 0.01, Lifetime: 60, BackoffLimit: 6})
	c.eventually("settled", func() bool { return settledReason(c.job("a")) != "" })
	before := heapBytes()
	c.openUnreadConnections(200, strings.Repeat("GET /api/v1/pods HTTP/1.1\r\nHost: a\r\n\r\n", 2000))
	c.openUnreadConnections(200, "POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n"+strings.Repeat(" ", 2900000))
	var held, total int64
	var users, evicted int
	c.eventually("all are connected or were evicted", func() bool {
		c.runOnLoop(func() {
			m := c.scheduler.httpServer.Memory()
			held, total, users, evicted = max(held, m.Used()), m.Total(), m.Users(), int(m.Evicted)
		})
		return users+evicted >= 400
	})
	c.requireStatus(201, "POST", jobsPath, jsonType, jobJSON("b", 1))
	if held > total {
		t.Errorf("connections held %d bytes of %d", held, total)
	}
	if n := heapBytes(); n > before+uint64(total)+128<<20 {
		t.Errorf("%d MB held, %d MB before, a share of %d MB", n>>20, before>>20, total>>20)
	}
	t.Logf("held %d KB of %d KB, %d evicted", held>>10, total>>10, evicted)
}

// Unknown methods get no series of their own.
func TestSeriesAreBounded(t *testing.T) {
	c := startCluster(t, nil)
	for i := range 50 {
		conn := c.connect(fmt.Sprintf("X%d / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", i))
		if _, err := io.ReadAll(conn); err != nil {
			t.Fatal(err)
		}
	}
	if text := c.requireStatus(200, "GET", "/metrics", "", ""); strings.Count(string(text), "heathshed_api_requests_total{") > 10 {
		t.Error("a series for each unknown method")
	}
}
