package api

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/netio/http1"
)

// TestCostlyBodiesAreRejected guards against small requests that would take excessive memory or time to
// decode, such as deeply nested JSON or a quantity with a huge exponent. The server must reject such a
// request before it decodes the body, and the status of the response must state the reason. The test also
// covers long selectors, invalid path segments and a valid request that the server must accept.
func TestCostlyBodiesAreRejected(t *testing.T) {
	nestedJSON := func(levels int) string { return strings.Repeat(`{"a":`, levels) + "1" + strings.Repeat("}", levels) }
	protobufField := func(content []byte) []byte {
		return protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), content)
	}
	protobufQuantity := protobufObject("v1", "Job", protobufField(protobufField([]byte("1e1000000000"))))
	manyContainers := `{"spec":{"template":{"spec":{"containers":[` + strings.Repeat("{},", 900000) + "{}]}}}}"
	testOperation := `{"op":"test","path":"/kind","value":"Node"}`
	for _, test := range []struct {
		name, method, path, mediaType, body string
		wantStatus                          int
	}{
		{"JSON patch that copies the metadata into its own annotations 40 times", "PATCH", nodePath, jsonPatchType, copyPatch(40), 413},
		{"JSON patch with 1,501 operations", "PATCH", nodePath, jsonPatchType, "[" + strings.Repeat(testOperation+",", 1500) + testOperation + "]", 413},
		{"merge patch with 9,000 nested objects", "PATCH", nodePath, mergePatchType, nestedJSON(9000), 400},
		{"strategic merge patch with 9,000 nested objects", "PATCH", nodePath, strategicPatchType, nestedJSON(9000), 400},
		{"request body with 9,000 nested objects instead of a Job", "POST", jobsPath, jsonType, nestedJSON(9000), 400},
		{"request body with 100,000 nested arrays instead of a Job", "POST", jobsPath, jsonType, strings.Repeat("[", 100000), 400},
		{"Job whose CPU quantity is a JSON string with a huge exponent", "POST", jobsPath, jsonType, jobWithCPU(`"1e1000000000"`), 400},
		{"Job whose CPU quantity is a JSON number with a huge exponent", "POST", jobsPath, jsonType, jobWithCPU(`1e1000000000`), 400},
		{"Job whose CPU quantity has a huge negative exponent", "POST", jobsPath, jsonType, jobWithCPU(`"1e-2147483647"`), 400},
		{"Job whose CPU quantity has a huge exponent after an escaped letter e", "POST", jobsPath, jsonType, jobWithCPU(`"1\u00651000000000"`), 400},
		{"Job whose CPU quantity has an escaped first digit and a huge exponent", "POST", jobsPath, jsonType, jobWithCPU(`"\u0031e1000000000"`), 400},
		{"Job whose CPU quantity has 1,048,576 digits", "POST", jobsPath, jsonType, jobWithCPU(`"` + strings.Repeat("9", 1<<20) + `"`), 400},
		{"merge patch that sets a CPU capacity with a huge exponent", "PATCH", nodePath, mergePatchType, `{"status":{"capacity":{"cpu":"1e1000000000"}}}`, 400},
		{"protobuf message that contains a quantity with a huge exponent", "POST", jobsPath, protobufType, protobufQuantity, 400},
		{"Job with 900,001 empty containers", "POST", jobsPath, jsonType, manyContainers, 413},
		{"merge patch with a label value of 1 MiB", "PATCH", nodePath, mergePatchType, `{"metadata":{"labels":{"a":"` + strings.Repeat("x", 1<<20) + `"}}}`, 413},
		{"list request with a label selector of 2,001 terms", "GET", "/api/v1/pods?labelSelector=" + strings.Repeat("a,", 2000) + "a", "", "", 413},
		{"list request with a field selector of 2,000 terms", "GET", "/api/v1/pods?fieldSelector=" + strings.Repeat("metadata.name%21%3Da,", 2000), "", "", 413},
		{"path with an escaped slash in the namespace", "GET", "/api/v1/namespaces/default%2Fx/pods", "", "", 400},
		{"path with two escaped dots as the namespace", "GET", "/api/v1/namespaces/%2e%2e/pods", "", "", 400},
		{"path with an escaped NUL in the object name", "GET", "/api/v1/nodes/a%00b", "", "", 400},
		{"valid merge patch whose annotation value looks like a quantity with a huge exponent", "PATCH", nodePath, mergePatchType, `{"metadata":{"annotations":{"a":"1e1000000000"}}}`, 200},
		// The Node that results from this patch is small but invalid: the value of a new annotation is an
		// object instead of a string.
		{"JSON patch that copies the metadata into its own annotations twice", "PATCH", nodePath, jsonPatchType, copyPatch(2), 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newEngineServer(t)
			var response http1.Response
			checkAllocations(t, len(test.body), func() { response = server.send(test.method, test.path, test.mediaType, test.body) })
			if response.Status != test.wantStatus {
				t.Errorf("response has status %d, want %d; body: %.200s", response.Status, test.wantStatus, response.Body)
			}
			if len(response.Body) > 64<<10 {
				t.Errorf("response body has %d bytes, want at most 65536", len(response.Body))
			}
		})
	}
}

// TestCompressedBodyIsRejected checks that the server rejects a request with a compressed body.
func TestCompressedBodyIsRejected(t *testing.T) {
	server := newEngineServer(t)
	response := server.Serve(1000, newRequest("POST", jobsPath, "", "Content-Type", jsonType, "Content-Encoding", "gzip"))
	if response.Status != 415 {
		t.Errorf("response to a request with a compressed body has status %d, want 415", response.Status)
	}
}

// FuzzBody checks that an arbitrary request body causes no internal server error. It also checks that the
// server allocates no more memory for the request than checkAllocations allows.
func FuzzBody(f *testing.F) {
	endpoints := []struct{ method, path, mediaType string }{
		{"POST", jobsPath, jsonType},
		{"PATCH", nodePath, jsonPatchType},
		{"PATCH", nodePath, mergePatchType},
		{"PATCH", nodePath, strategicPatchType},
		{"PUT", nodePath, jsonType},
		{"POST", jobsPath, protobufType},
		{"DELETE", podsPath, jsonType},
	}
	for _, body := range []string{
		jobWithCPU(`"1"`),
		jobWithCPU(`"1e1000000000"`),
		copyPatch(40),
		`{"metadata":{"labels":{"a":"b"}}}`,
		`{"spec":{"unschedulable":true}}`,
		"k8s\x00\x0a\x09\x0a\x02v1\x12\x03Job\x12\x02\x0a\x00",
		`{"kind":"DeleteOptions","dryRun":["All"]}`,
	} {
		for endpoint := range endpoints {
			f.Add(byte(endpoint), body)
		}
	}
	server := newEngineServer(f)
	f.Fuzz(func(t *testing.T, endpointIndex byte, body string) {
		if len(body) > 1<<16 {
			return
		}
		endpoint := endpoints[int(endpointIndex)%len(endpoints)]
		var response http1.Response
		checkAllocations(t, len(body), func() { response = server.send(endpoint.method, endpoint.path+"?dryRun=All", endpoint.mediaType, body) })
		if response.Status == 500 {
			t.Fatalf("response has status 500 (Internal Server Error); body: %s", response.Body)
		}
	})
}

// FuzzSelector checks that the server allocates no more memory than checkAllocations allows while it parses
// an arbitrary label selector and field selector and compares them with objects.
func FuzzSelector(f *testing.F) {
	for _, selector := range []string{"a=b", "a in (b,c),!d", "a notin (b)", "a>1", strings.Repeat("a,", 200), "(((", "a in (", "\x00"} {
		f.Add(selector, selector)
	}
	f.Fuzz(func(t *testing.T, labelSelector, fieldSelector string) {
		selectorBytes := len(labelSelector) + len(fieldSelector)
		if selectorBytes > 1<<13 {
			return
		}
		server := newPodServer(5)
		listRequest := &request{
			Request:      &http1.Request{Head: &http1.Head{}},
			resourceType: findResourceType("pods", true),
			query:        url.Values{"labelSelector": {labelSelector}, "fieldSelector": {fieldSelector}},
		}
		checkAllocations(t, selectorBytes, func() {
			selector, err := listRequest.parseSelector()
			if err != nil {
				return
			}
			for _, name := range []string{"pa", "pb", "pc"} {
				selector.matches(server.Store.Get(store.Pods, "default", name))
			}
		})
	})
}

// TestGeneratedNames checks that the engine generates a different name for each Job. If a generated name is
// already in use, the engine must generate another one.
func TestGeneratedNames(t *testing.T) {
	const jobCount = 20000
	server := newEngineServer(t)
	job := &batchv1.Job{ObjectMeta: metav1.ObjectMeta{GenerateName: "g-", Namespace: "default"}}
	job.Spec.Completions = new(int32)
	job.Spec.Parallelism = new(int32)
	job.Spec.Template.Spec.RestartPolicy = corev1.RestartPolicyNever
	names := map[string]bool{}
	for i := range jobCount {
		createdJob, err := server.Engine.CreateJob(1000, job, false)
		if err != nil {
			t.Fatalf("creating Job number %d failed: %v", i, err)
		}
		names[createdJob.Name] = true
	}
	if len(names) != jobCount {
		t.Errorf("the engine generated only %d different names for %d Jobs", len(names), jobCount)
	}
}

// putLargePod stores a Pod whose encoding is larger than 1000 bytes. The name of the Pod is derived from the
// given number.
func putLargePod(objects *store.Store, number int) {
	pod := newPod(fmt.Sprintf("p%04d", number))
	pod.Annotations = map[string]string{"a": strings.Repeat("x", 1000)}
	objects.Put(store.Pods, pod)
}

// TestLargeListIsStreamed checks that a large list is streamed in chunks that add up to the complete list. If
// the store's history no longer contains the revision of the list, the stream must end early and report that
// it is broken.
func TestLargeListIsStreamed(t *testing.T) {
	const podCount = 400
	objects := store.New(100, 500)
	for i := range podCount {
		putLargePod(objects, i)
	}
	server := &Server{Store: objects}
	for _, test := range []struct {
		name, target string
		wantItems    int
		wantStream   bool
	}{
		{"list of all 400 Pods, sent as a stream", "/api/v1/pods", podCount, true},
		{"page of 300 Pods, sent as a stream", "/api/v1/pods?limit=300", 300, true},
		{"page of 3 Pods, sent as a single body", "/api/v1/pods?limit=3", 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := server.getWithAccept(test.target, jsonType)
			body := response.Body
			if (response.Stream != nil) != test.wantStream {
				t.Fatalf("response contains a stream: %v; this test case wants the opposite value", response.Stream != nil)
			}
			for done := !test.wantStream; !done; {
				previousLength := len(body)
				if body, done = response.Stream.Pull(body, 10000); len(body)-previousLength > 200000 {
					t.Fatalf("one call of Pull with a limit of 10000 bytes returned %d bytes, want at most 200000", len(body)-previousLength)
				}
			}
			var list corev1.PodList
			if err := json.Unmarshal(body, &list); err != nil || len(list.Items) != test.wantItems || (list.Continue != "") != (test.wantItems < podCount) {
				t.Errorf("list has the wrong number of items or continue token: %d items, continue token %q; error of decoding the list: %v", len(list.Items), list.Continue, err)
			}
		})
	}
	t.Run("list whose revision the store drops from its history", func(t *testing.T) {
		response := server.getWithAccept("/api/v1/pods", jsonType)
		// The store's history keeps 500 changes. After these 1000 changes, it no longer contains the
		// revision of the list.
		for i := range 1000 {
			putLargePod(objects, i%podCount)
		}
		if _, done := response.Stream.Pull(nil, 10000); !done || !response.Stream.(*listStream).Broken() {
			t.Error("after the store dropped the revision of a list from its history, the list stream did not end early or did not report that it is broken")
		}
	})
}
