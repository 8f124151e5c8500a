//go:build linux

package httpd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"heathshed/internal/netio/http1"
	"heathshed/internal/testsupport/looptest"
)

var responseBody = []byte(`{"kind":"Status","status":"Success"}`)

// startHeathshed starts this package's server; it and startNetHTTP send the same response.
func startHeathshed(tb testing.TB) (addr string, stop func()) {
	tb.Helper()
	loop := looptest.New(tb)
	server, err := Listen(loop, "127.0.0.1:0", DefaultOptions(), func(e *Exchange) {
		e.Respond(http1.Response{Status: 200, Header: []http1.Field{{Name: "Content-Type", Value: "application/json"}}, Body: responseBody})
	})
	if err != nil {
		tb.Fatal(err)
	}
	return server.Addr(), looptest.Run(tb, loop)
}

// startNetHTTP starts the server of the standard library.
func startNetHTTP(tb testing.TB) (addr string, stop func()) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the client has ended the connection
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(responseBody) // fails only when the client has ended the connection
	})}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	stop = sync.OnceFunc(func() {
		if err := server.Close(); err != nil {
			tb.Error(err)
		}
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			tb.Error(err)
		}
	})
	return listener.Addr().String(), stop
}

// BenchmarkRequests sends requests over 16 connections, one at a time on each or 16 in a pipeline, to both servers with the same
// client.
func BenchmarkRequests(b *testing.B) {
	for _, depth := range []int{1, 16} {
		for name, start := range map[string]func(testing.TB) (string, func()){"heathshed": startHeathshed, "net-http": startNetHTTP} {
			b.Run(fmt.Sprintf("pipeline=%d/%s", depth, name), func(b *testing.B) {
				addr, stop := start(b)
				defer stop()
				const conns = 16
				request := []byte(strings.Repeat("POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nUser-Agent: bench\r\nAccept: application/json\r\n"+
					"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", depth))
				b.ReportAllocs()
				b.ResetTimer()
				done := make(chan error, conns)
				for i := range conns {
					count := (b.N/depth + conns - 1 - i) / conns
					go func() { done <- sendPipelinedRequests(addr, request, count, depth) }()
				}
				for range conns {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// exchangeRequests opens a connection, sends the request so many times and reads depth responses to each.
func sendPipelinedRequests(addr string, request []byte, count, depth int) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	for range count {
		if _, err := conn.Write(request); err != nil {
			return errors.Join(err, conn.Close())
		}
		for range depth {
			if err := discardResponse(reader); err != nil {
				return errors.Join(err, conn.Close())
			}
		}
	}
	return conn.Close()
}

// skipResponse reads one answer without allocating, so that the client weighs the same on both.
func discardResponse(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 {
			_, err = reader.Discard(len(responseBody))
			return err
		}
	}
}

// BenchmarkIdleConnections tells the memory that an idle connection holds, after one request on it.
func BenchmarkIdleConnections(b *testing.B) {
	for name, start := range map[string]func(testing.TB) (string, func()){"heathshed": startHeathshed, "net-http": startNetHTTP} {
		b.Run(name, func(b *testing.B) {
			addr, stop := start(b)
			defer stop()
			const n = 2000
			heap := func() uint64 {
				runtime.GC()
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				return stats.HeapInuse + stats.StackInuse
			}
			var conns []net.Conn
			for range n {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					b.Fatal(err)
				}
				conns = append(conns, conn)
			}
			buf := make([]byte, 1024)
			for _, conn := range conns {
				if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(buf); err != nil {
					b.Fatal(err)
				}
			}
			after := heap()
			for _, conn := range conns {
				if err := conn.Close(); err != nil {
					b.Fatal(err)
				}
			}
			clear(conns) // their memory does not count as the server's
			stop()
			empty := heap()
			b.ReportMetric(float64(int64(after)-int64(empty))/n, "B/conn")
			b.ReportMetric(0, "ns/op")
		})
	}
}
