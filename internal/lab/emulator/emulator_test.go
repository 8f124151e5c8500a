//go:build linux

package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/nodesim"
	"heathshed/internal/testsupport/looptest"
)

const testTimeout = 20 * time.Second

// startEmulators starts an inventory and a node that reports to it, and returns their URLs.
func startEmulators(t *testing.T) (inventoryURL, nodeURL string) {
	t.Helper()
	loop := looptest.New(t)
	inventory, err := StartInventory(loop, InventoryOptions{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	sim := nodesim.DefaultConfig()
	sim.LifetimeMean = 1000
	node, err := StartNode(loop, NodeOptions{
		Name:           "node-1",
		Zone:           "zone-1",
		Rack:           "rack-1",
		Listen:         "127.0.0.1:0",
		Inventory:      inventory.Addr(),
		ReportInterval: 100 * time.Millisecond,
		Sim:            sim,
	})
	if err != nil {
		t.Fatal(err)
	}
	looptest.Run(t, loop)
	return "http://" + inventory.Addr(), "http://" + node.Addr()
}

// call sends a request and returns the status and the body of the answer.
func call(t *testing.T, method, url, attempt, body string) (int, []byte) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if attempt != "" {
		request.Header.Set(wellknown.AttemptHeader, attempt)
	}
	client := http.Client{Timeout: testTimeout}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := response.Body.Close(); err != nil {
			t.Error(err)
		}
	}()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, answer
}

// awaitNode polls the inventory until its first node is as expected.
func awaitNode(t *testing.T, inventoryURL, expected string, isExpected func(*corev1.Node) bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		code, body := call(t, http.MethodGet, inventoryURL+"/api/v1/nodes", "", "")
		var nodes corev1.NodeList
		if err := json.Unmarshal(body, &nodes); err != nil || code != http.StatusOK {
			t.Fatalf("status %d, %v: %.300s", code, err, body)
		}
		if len(nodes.Items) == 1 && isExpected(&nodes.Items[0]) {
			return
		}
	}
	t.Fatalf("the inventory does not show the node as %s", expected)
}

// TestInventoryShowsNode checks that a node is shown as ready, and as unschedulable after it was made to drain.
func TestInventoryShowsNode(t *testing.T) {
	inventoryURL, nodeURL := startEmulators(t)
	awaitNode(t, inventoryURL, "ready", func(node *corev1.Node) bool {
		return node.Name == "node-1" && !node.Spec.Unschedulable && shownReady(node) && node.Labels[corev1.LabelHostname] == "node-1" &&
			"http://"+node.Status.Addresses[0].Address+":"+portOf(node) == nodeURL
	})
	if code, body := call(t, http.MethodPut, nodeURL+faultsPath, "", `{"drain":true}`); code != http.StatusNoContent {
		t.Fatalf("status %d: %s", code, body)
	}
	awaitNode(t, inventoryURL, "draining", func(node *corev1.Node) bool { return node.Spec.Unschedulable })
}

func portOf(node *corev1.Node) string {
	port, err := json.Marshal(node.Status.DaemonEndpoints.KubeletEndpoint.Port)
	if err != nil {
		return err.Error()
	}
	return string(port)
}

// TestNodeAnswers checks the answers of one node to a sequence of requests.
func TestNodeAnswers(t *testing.T) {
	const (
		pods = "/api/v1/namespaces/default/pods"
		pod  = `{"metadata":{"name":"p","namespace":"default","uid":"uid-1"}}`
	)
	_, nodeURL := startEmulators(t)
	for _, step := range []struct {
		name, method, path, attempt, body string
		code                              int
		contains                          string
	}{
		{"no attempt number", http.MethodPost, pods, "", pod, http.StatusBadRequest, wellknown.AttemptHeader},
		{"no UID", http.MethodPost, pods, "1", `{"metadata":{"name":"p","namespace":"default"}}`, http.StatusBadRequest, "uid"},
		{"accepted", http.MethodPost, pods, "1", pod, http.StatusCreated, `"heathshed.io/attempt":"1"`},
		{"repeated", http.MethodPost, pods, "2", pod, http.StatusCreated, `"heathshed.io/attempt":"1"`},
		{"stop without a UID", http.MethodDelete, pods + "/p", "2", `{}`, http.StatusBadRequest, "preconditions"},
		{"stopped", http.MethodDelete, pods + "/p", "2", `{"preconditions":{"uid":"uid-1"}}`, http.StatusOK, `"phase":"Failed"`},
		{"repeated after its end", http.MethodPost, pods, "1", pod, http.StatusCreated, `"phase":"Failed"`},
		{"fenced", http.MethodPost, pods, "2", pod, http.StatusConflict, wellknown.WrongNode},
		{"unknown task", http.MethodDelete, pods + "/q", "1", `{"preconditions":{"uid":"uid-2"}}`, http.StatusNotFound, "NotFound"},
		{"fence of an unknown task", http.MethodPost, pods, "1", strings.ReplaceAll(pod, "uid-1", "uid-2"), http.StatusConflict, wellknown.WrongNode},
		{"malformed faults", http.MethodPut, faultsPath, "", `{"refuse":"x"}`, http.StatusBadRequest, "faults"},
		{"faults", http.MethodPut, faultsPath, "", `{"refuse":100}`, http.StatusNoContent, ""},
		{"rejected by a fault", http.MethodPost, pods, "1", strings.ReplaceAll(pod, "uid-1", "uid-3"), http.StatusConflict, wellknown.OutOfCPU},
		{"more faults", http.MethodPut, faultsPath, "", `{"error":100,"trickle":100}`, http.StatusNoContent, ""},
		{"error, a few bytes at a time", http.MethodPost, pods, "1", strings.ReplaceAll(pod, "uid-1", "uid-4"), http.StatusInternalServerError, "InternalError"},
	} {
		t.Run(step.name, func(t *testing.T) {
			code, body := call(t, step.method, nodeURL+step.path, step.attempt, step.body)
			if code != step.code || !strings.Contains(string(body), step.contains) {
				t.Errorf("status %d, want %d with %q: %.400s", code, step.code, step.contains, body)
			}
		})
	}
}
