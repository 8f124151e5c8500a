//go:build linux

package scheduler

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"heathshed/internal/config"
)

// openUnreadConnections opens connections that send something and never read.
func (cluster *testCluster) openUnreadConnections(count int, request string) {
	cluster.t.Helper()
	for range count {
		conn := cluster.connect("")
		go func() {
			// It may block once the scheduler reads no more, and fails once it has closed the connection.
			_, _ = io.WriteString(conn, request)
		}()
	}
}

// heapBytes is what the process holds after a collection, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// 4,000 watches that are never read beside a Job of 1,000 tasks stay within the memory quota of connections, and the memory
// is free again when they are closed.
func TestUnreadWatches(t *testing.T) {
	cluster := startCluster(t, nil)
	before := heapBytes()
	cluster.openUnreadConnections(4000, "GET /api/v1/pods?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n")
	cluster.eventually("all watch", func() bool { return cluster.watchers() == 4000 })
	cluster.submitJob(sized(longJob("a", "batch", 1000, 6), 0.01))
	most := int64(0)
	cluster.eventually("settled", func() bool {
		cluster.runOnLoop(func() { most = max(most, cluster.scheduler.httpServer.MemoryQuota().Used()) })
		return settledReason(cluster.job("a")) != ""
	})
	var total int64
	cluster.runOnLoop(func() { total = cluster.scheduler.httpServer.MemoryQuota().Total() })
	if most > total {
		t.Errorf("connections held %d bytes of %d", most, total)
	}
	if after := heapBytes(); after > before+300<<20 {
		t.Errorf("%d MB held, %d MB before", after>>20, before>>20)
	}
	t.Logf("connections held %d MB at most, the process %d MB, %d before", most>>20, heapBytes()>>20, before>>20)
	cluster.runOnLoop(func() { cluster.scheduler.httpServer.CloseConns() })
	cluster.runOnLoop(func() {
		if memory := cluster.scheduler.httpServer.MemoryQuota(); memory.Used() > 1<<20 {
			t.Errorf("%d bytes held by %d connections after all were closed", memory.Used(), memory.Users())
		}
	})
}

// Pipelined requests for lists whose responses are never read, and bodies that never end, stay within the memory quota, and
// others are served meanwhile.
func TestUnreadResponsesAndEndlessBodies(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) { settings.Limits.MemoryMiB = 256 })
	cluster.submitJob(sized(longJob("a", "batch", 2000, 6), 0.01))
	cluster.waitUntilSettled("a")
	before := heapBytes()
	cluster.openUnreadConnections(200, strings.Repeat("GET /api/v1/pods HTTP/1.1\r\nHost: a\r\n\r\n", 2000))
	cluster.openUnreadConnections(200, "POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n"+strings.Repeat(" ", 2900000))
	var held, total int64
	var users, evicted int
	cluster.eventually("all are connected or were evicted", func() bool {
		cluster.runOnLoop(func() {
			memory := cluster.scheduler.httpServer.MemoryQuota()
			held, total, users, evicted = max(held, memory.Used()), memory.Total(), memory.Users(), int(memory.Evicted)
		})
		return users+evicted >= 400
	})
	cluster.requireStatus(201, "POST", jobsPath, jsonType, jobJSON("b", 1))
	if held > total {
		t.Errorf("connections held %d bytes of %d", held, total)
	}
	// While the loop collects, it creates no garbage: what it allocates during a collection would count as held.
	var after uint64
	cluster.runOnLoop(func() { after = heapBytes() })
	if after > before+uint64(total)+128<<20 {
		t.Errorf("%d MB held, %d MB before, a share of %d MB", after>>20, before>>20, total>>20)
	}
	t.Logf("held %d KB of %d KB, %d evicted", held>>10, total>>10, evicted)
}

// Unknown methods get no series of their own.
func TestSeriesAreBounded(t *testing.T) {
	cluster := startCluster(t, nil)
	for i := range 50 {
		conn := cluster.connect(fmt.Sprintf("X%d / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", i))
		if _, err := io.ReadAll(conn); err != nil {
			t.Fatal(err)
		}
	}
	if text := cluster.requireStatus(200, "GET", "/metrics", "", ""); strings.Count(string(text), "heathshed_api_requests_total{") > 10 {
		t.Error("a series for each unknown method")
	}
}
