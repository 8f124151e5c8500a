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

func TestRejectedRequests(t *testing.T) {
	c := startCluster(t, func(s *config.Settings) { s.Limits.MaxBodyBytes, s.Limits.MaxPods = 4096, 50 })
	body := jobJSON("fit", 1)
	pad := func(n int) string { return body + strings.Repeat(" ", n-len(body)) }
	c.requireStatus(201, "POST", jobsPath, jsonType, pad(4096))
	c.requireStatus(413, "POST", jobsPath, jsonType, pad(4097))
	for _, x := range []struct {
		code                         int
		method, path, ct, body, says string
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
		b := c.requireStatus(x.code, x.method, x.path, x.ct, x.body)
		var status struct{ Kind, Message string }
		if json.Unmarshal(b, &status) != nil || status.Kind != "Status" || !strings.Contains(status.Message, x.says) {
			t.Errorf("%d %s %s: %.300s, want a Status with %q", x.code, x.method, x.path, b, x.says)
		}
	}
	req, _ := http.NewRequest("GET", c.baseURL+"/api/v1/pods", nil)
	req.Header.Set("Accept", "text/html")
	if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != 406 {
		t.Errorf("accept: %v, %v", resp, err)
	}
	unknown := strings.Replace(jobJSON("warned", 1), `"spec":{"par`, `"spek":1,"spec":{"par`, 1)
	resp, err := http.Post(c.baseURL+jobsPath, jsonType, strings.NewReader(unknown))
	if err != nil || resp.StatusCode != 201 || !strings.Contains(resp.Header.Get("Warning"), "spek") {
		t.Errorf("unknown field: %v, %v", resp, err)
	}
}

// Ten thousand requests in one pipeline get their responses in order; half-open connections delay nobody.
func TestPipelineAndHalfOpen(t *testing.T) {
	c := startCluster(t, nil)
	var silent []net.Conn
	for range 50 {
		silent = append(silent, c.connect("GET /livez HT")) // and nothing more
	}
	conn := c.connect("")
	const n = 10000
	go func() {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "GET /api/v1/nodes/x%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
		if _, err := io.WriteString(conn, b.String()); err != nil {
			t.Errorf("sending the pipeline: %v", err)
		}
	}()
	r := bufio.NewReader(conn)
	for i := range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if resp.StatusCode != 404 || !strings.Contains(string(b), strconv.Quote(fmt.Sprint("x", i))[1:]) {
			t.Fatalf("answer %d: %d %.200s", i, resp.StatusCode, b)
		}
	}
	for _, half := range silent {
		if err := half.Close(); err != nil {
			t.Error(err)
		}
	}
	c.eventually("half-open connections are closed", func() bool {
		var n int
		c.runOnLoop(func() { n = c.scheduler.httpServer.Conns() })
		return n <= 2
	})
}
