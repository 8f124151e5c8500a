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

// TestCostlyBodiesAreRejected checks that bodies that are small to send and expensive to decode are rejected
// before they are decoded, with a status that says why.
func TestCostlyBodiesAreRejected(t *testing.T) {
	deep := func(levels int) string { return strings.Repeat(`{"a":`, levels) + "1" + strings.Repeat("}", levels) }
	nested := func(content []byte) []byte {
		return protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), content)
	}
	binaryQuantity := binaryObject("v1", "Job", nested(nested([]byte("1e1000000000"))))
	manyContainers := `{"spec":{"template":{"spec":{"containers":[` + strings.Repeat("{},", 900000) + "{}]}}}}"
	testOperation := `{"op":"test","path":"/kind","value":"Node"}`
	for _, test := range []struct {
		name, method, path, mediaType, body string
		status                              int
	}{
		{"copy of metadata into itself", "PATCH", nodePath, jsonPatchType, copyOperations(40), 413},
		{"many operations", "PATCH", nodePath, jsonPatchType, "[" + strings.Repeat(testOperation+",", 1500) + testOperation + "]", 413},
		{"deep merge patch", "PATCH", nodePath, mergePatchType, deep(9000), 400},
		{"deep strategic patch", "PATCH", nodePath, strategicPatchType, deep(9000), 400},
		{"deep body", "POST", jobsPath, jsonType, deep(9000), 400},
		{"deep arrays", "POST", jobsPath, jsonType, strings.Repeat("[", 100000), 400},
		{"huge exponent", "POST", jobsPath, jsonType, jobWithCPU(`"1e1000000000"`), 400},
		{"huge exponent as a number", "POST", jobsPath, jsonType, jobWithCPU(`1e1000000000`), 400},
		{"tiny exponent", "POST", jobsPath, jsonType, jobWithCPU(`"1e-2147483647"`), 400},
		{"escaped exponent", "POST", jobsPath, jsonType, jobWithCPU(`"1\u00651000000000"`), 400},
		{"escaped first digit", "POST", jobsPath, jsonType, jobWithCPU(`"\u0031e1000000000"`), 400},
		{"many digits", "POST", jobsPath, jsonType, jobWithCPU(`"` + strings.Repeat("9", 1<<20) + `"`), 400},
		{"exponent by patch", "PATCH", nodePath, mergePatchType, `{"status":{"capacity":{"cpu":"1e1000000000"}}}`, 400},
		{"exponent in the binary encoding", "POST", jobsPath, protobufType, binaryQuantity, 400},
		{"900,000 empty containers", "POST", jobsPath, jsonType, manyContainers, 413},
		{"many labels", "PATCH", nodePath, mergePatchType, `{"metadata":{"labels":{"a":"` + strings.Repeat("x", 1<<20) + `"}}}`, 413},
		{"selector of 2,000 terms", "GET", "/api/v1/pods?labelSelector=" + strings.Repeat("a,", 2000) + "a", "", "", 413},
		{"field selector of 2,000 terms", "GET", "/api/v1/pods?fieldSelector=" + strings.Repeat("metadata.name%21%3Da,", 2000), "", "", 413},
		{"escaped slash", "GET", "/api/v1/namespaces/default%2Fx/pods", "", "", 400},
		{"escaped dots", "GET", "/api/v1/namespaces/%2e%2e/pods", "", "", 400},
		{"name of another form", "GET", "/api/v1/nodes/a%00b", "", "", 400},
		{"plain number in an annotation", "PATCH", nodePath, mergePatchType, `{"metadata":{"annotations":{"a":"1e1000000000"}}}`, 200},
		{"ordinary copy", "PATCH", nodePath, jsonPatchType, copyOperations(2), 400}, // a copy of an object is no annotation
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newEngineServer(t)
			var response http1.Response
			checkAllocations(t, len(test.body), func() { response = server.send(test.method, test.path, test.mediaType, test.body) })
			if response.Status != test.status {
				t.Errorf("status %d, want %d: %.200s", response.Status, test.status, response.Body)
			}
			if len(response.Body) > 64<<10 {
				t.Errorf("a response of %d bytes", len(response.Body))
			}
		})
	}
}

// TestCompressedBodyIsRejected checks that a body with a content encoding is rejected.
func TestCompressedBodyIsRejected(t *testing.T) {
	server := newEngineServer(t)
	response := server.Serve(1000, newRequest("POST", jobsPath, "", "Content-Type", jsonType, "Content-Encoding", "gzip"))
	if response.Status != 415 {
		t.Errorf("compressed body: %d", response.Status)
	}
}

// FuzzBody checks that any body, on any path, is served within the limit of checkAllocations and without an
// internal error.
func FuzzBody(f *testing.F) {
	ways := []struct{ method, path, mediaType string }{
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
		copyOperations(40),
		`{"metadata":{"labels":{"a":"b"}}}`,
		`{"spec":{"unschedulable":true}}`,
		"k8s\x00\x0a\x09\x0a\x02v1\x12\x03Job\x12\x02\x0a\x00",
		`{"kind":"DeleteOptions","dryRun":["All"]}`,
	} {
		for way := range ways {
			f.Add(byte(way), body)
		}
	}
	server := newEngineServer(f)
	f.Fuzz(func(t *testing.T, wayIndex byte, body string) {
		if len(body) > 1<<16 {
			return
		}
		way := ways[int(wayIndex)%len(ways)]
		var response http1.Response
		checkAllocations(t, len(body), func() { response = server.send(way.method, way.path+"?dryRun=All", way.mediaType, body) })
		if response.Status == 500 {
			t.Fatalf("status 500: %s", response.Body)
		}
	})
}

// FuzzSelector checks that any selector is parsed and matched against objects within the limit of
// checkAllocations.
func FuzzSelector(f *testing.F) {
	for _, selector := range []string{"a=b", "a in (b,c),!d", "a notin (b)", "a>1", strings.Repeat("a,", 200), "(((", "a in (", "\x00"} {
		f.Add(selector, selector)
	}
	f.Fuzz(func(t *testing.T, labelSelector, fieldSelector string) {
		length := len(labelSelector) + len(fieldSelector)
		if length > 1<<13 {
			return
		}
		server := newPodServer(5)
		request := &request{
			Request:      &http1.Request{Head: &http1.Head{}},
			resourceType: findResourceType("pods", true),
			query:        url.Values{"labelSelector": {labelSelector}, "fieldSelector": {fieldSelector}},
		}
		checkAllocations(t, length, func() {
			selector, err := request.parseSelector()
			if err != nil {
				return
			}
			for _, name := range []string{"pa", "pb", "pc"} {
				selector.matches(server.Store.Get(store.Pods, "default", name))
			}
		})
	})
}

// TestGeneratedNames checks that a generated name that is taken is drawn again.
func TestGeneratedNames(t *testing.T) {
	const jobs = 20000
	server := newEngineServer(t)
	job := &batchv1.Job{ObjectMeta: metav1.ObjectMeta{GenerateName: "g-", Namespace: "default"}}
	job.Spec.Completions = new(int32)
	job.Spec.Parallelism = new(int32)
	job.Spec.Template.Spec.RestartPolicy = corev1.RestartPolicyNever
	names := map[string]bool{}
	for i := range jobs {
		created, err := server.Engine.CreateJob(1000, job, false)
		if err != nil {
			t.Fatalf("%d: %v", i, err)
		}
		names[created.Name] = true
	}
	if len(names) != jobs {
		t.Errorf("%d names of %d Jobs", len(names), jobs)
	}
}

// putLargePod puts a Pod of more than 1 KB; its name follows from its number.
func putLargePod(objects *store.Store, number int) {
	pod := newPod(fmt.Sprintf("p%04d", number))
	pod.Annotations = map[string]string{"a": strings.Repeat("x", 1000)}
	objects.Put(store.Pods, pod)
}

// TestLargeListIsStreamed checks that a large list comes in pieces that together are the list.
func TestLargeListIsStreamed(t *testing.T) {
	const pods = 400
	objects := store.New(100, 500)
	for i := range pods {
		putLargePod(objects, i)
	}
	server := &Server{Store: objects}
	for _, test := range []struct {
		name, target string
		items        int
		streamed     bool
	}{
		{"all", "/api/v1/pods", pods, true},
		{"large page", "/api/v1/pods?limit=300", 300, true},
		{"small page", "/api/v1/pods?limit=3", 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := server.getAs(test.target, jsonType)
			body := response.Body
			if (response.Stream != nil) != test.streamed {
				t.Fatalf("streamed %v", response.Stream != nil)
			}
			for done := !test.streamed; !done; {
				before := len(body)
				if body, done = response.Stream.Pull(body, 10000); len(body)-before > 200000 {
					t.Fatalf("a piece of %d bytes", len(body)-before)
				}
			}
			var list corev1.PodList
			if err := json.Unmarshal(body, &list); err != nil || len(list.Items) != test.items || (list.Continue != "") != (test.items < pods) {
				t.Errorf("%d items, continue %q, %v", len(list.Items), list.Continue, err)
			}
		})
	}
	t.Run("history no longer reaches back to it", func(t *testing.T) {
		response := server.getAs("/api/v1/pods", jsonType)
		for i := range 1000 {
			putLargePod(objects, i%pods)
		}
		if _, done := response.Stream.Pull(nil, 10000); !done || !response.Stream.(*listStream).Broken() {
			t.Error("the list goes on")
		}
	})
}
