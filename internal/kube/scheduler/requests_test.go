//go:build linux

package scheduler

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"heathshed/internal/config"
)

// TestRejectedRequests checks the status code and the message of responses to invalid requests.
func TestRejectedRequests(t *testing.T) {
	cluster := startCluster(t, func(settings *config.Settings) {
		settings.Limits.MaxBodyBytes, settings.Limits.MaxPods = 4096, 50
	})
	body := jobJSON("fit", 1)
	paddedBody := func(size int) string { return body + strings.Repeat(" ", size-len(body)) }
	cluster.requireStatus(201, "POST", jobsPath, jsonType, paddedBody(4096))
	cluster.requireStatus(413, "POST", jobsPath, jsonType, paddedBody(4097))
	for _, test := range []struct {
		code                                         int
		method, path, contentType, body, wantMessage string
	}{
		{400, "POST", jobsPath, jsonType, "{", "unexpected end"},
		{400, "POST", jobsPath + "?fieldValidation=Strict", "application/json", strings.Replace(jobJSON("x", 1), `"spec":{"par`, `"spek":1,"spec":{"par`, 1), "spek"},
		{400, "POST", jobsPath, jsonType, strings.Replace(jobJSON("x", 1), `"Job"`, `"Pod"`, 1), "want a Job"},
		{404, "POST", "/apis/batch/v1/namespaces/none/jobs", "application/json", jobJSON("x", 1), "none"},
		{404, "GET", "/apis/apps/v1/deployments", "", "", "could not find"},
		{405, "POST", "/api/v1/nodes", "application/json", "{}", "not supported"},
		{405, "DELETE", "/api/v1/nodes/node-01", "", "", "not supported"},
		{409, "POST", jobsPath, jsonType, body, "already exists"},
		{415, "POST", jobsPath, "application/yaml", "a: b", "accepted media types"},
		{415, "PATCH", "/api/v1/nodes/node-01", "application/apply-patch+yaml", "{}", "content-type"},
		{422, "POST", jobsPath, jsonType, strings.Replace(jobJSON("x", 1), "Never", "Always", 1), "restartPolicy"},
		{422, "POST", jobsPath, jsonType, jobJSON("X!", 1), "metadata.name"},
		{422, "POST", jobsPath, jsonType, strings.Replace(jobJSON("x", 1), `"10m"`, `"-1"`, 1), "requests"},
		{422, "PATCH", "/api/v1/nodes/node-01", "application/merge-patch+json", `{"metadata":{"labels":{"heathshed.io/rack":"z"}}}`, "inventory"},
		{429, "POST", jobsPath, jsonType, jobJSON("many", 50), "too many"},
		{400, "GET", "/api/v1/pods?fieldSelector=spec.x=1", "", "", "not supported"},
		{400, "GET", "/api/v1/pods?resourceVersion=x", "", "", "resource version"},
		{400, "GET", "/api/v1/pods?continue=x", "", "", "continue"},
		{504, "GET", "/api/v1/pods?resourceVersion=9999999999999999", "", "", "Too large"},
	} {
		responseBody := cluster.requireStatus(test.code, test.method, test.path, test.contentType, test.body)
		var status struct{ Kind, Message string }
		if json.Unmarshal(responseBody, &status) != nil || status.Kind != "Status" || !strings.Contains(status.Message, test.wantMessage) {
			t.Errorf("response with status %d to %s %s: %.300s, want a Status whose message contains %q", test.code, test.method, test.path, responseBody, test.wantMessage)
		}
	}
}

// TestResponseHeaders checks that an unsupported media type in Accept gives status 406, and that an unknown
// field in a request gives a Warning header.
func TestResponseHeaders(t *testing.T) {
	cluster := startCluster(t, nil)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, cluster.baseURL+"/api/v1/pods", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Accept", "text/html")
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != 406 {
		t.Errorf("GET with Accept: text/html: response %v, error %v, want status 406", resp, err)
	}
	bodyWithUnknownField := strings.Replace(jobJSON("warned", 1), `"spec":{"par`, `"spek":1,"spec":{"par`, 1)
	resp, err = http.Post(cluster.baseURL+jobsPath, jsonType, strings.NewReader(bodyWithUnknownField))
	if err != nil || resp.StatusCode != 201 || !strings.Contains(resp.Header.Get("Warning"), "spek") {
		t.Errorf("POST with an unknown field: response %v, error %v, want status 201 and a Warning header", resp, err)
	}
}

// TestPipelinedRequestsAndHalfOpenConnections checks that 10,000 pipelined requests on one connection are
// answered in order while 50 other connections have sent only part of a request. The scheduler must close
// those connections when their clients do.
func TestPipelinedRequestsAndHalfOpenConnections(t *testing.T) {
	cluster := startCluster(t, nil)
	var halfOpenConns []net.Conn
	for range 50 {
		halfOpenConns = append(halfOpenConns, cluster.connect("GET /livez HT")) // an incomplete request
	}
	conn := cluster.connect("")
	const requests = 10000
	go func() {
		var pipeline strings.Builder
		for i := range requests {
			fmt.Fprintf(&pipeline, "GET /api/v1/nodes/x%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
		if _, err := io.WriteString(conn, pipeline.String()); err != nil {
			t.Errorf("sending the pipelined requests: %v", err)
		}
	}()
	reader := bufio.NewReader(conn)
	for i := range requests {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("reading response %d: %v", i, err)
		}
		responseBody, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatalf("reading response %d: %v", i, err)
		}
		if resp.StatusCode != 404 || !strings.Contains(string(responseBody), strconv.Quote(fmt.Sprint("x", i))[1:]) {
			t.Fatalf("response %d: status %d, body %.200s", i, resp.StatusCode, responseBody)
		}
	}
	for _, halfOpenConn := range halfOpenConns {
		if err := halfOpenConn.Close(); err != nil {
			t.Error(err)
		}
	}
	cluster.eventually("half-open connections are closed", func() bool {
		var conns int
		cluster.runOnLoop(func() { conns = cluster.scheduler.httpServer.Conns() })
		return conns <= 2
	})
}
