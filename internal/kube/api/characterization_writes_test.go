package api

import (
	"fmt"
	"strings"
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/config"
)

// TestCharacterizeWrites checks that the responses to write requests match a golden file. The requests
// cover creations, updates, patches, evictions, deletions and errors.
func TestCharacterizeWrites(t *testing.T) {
	session := newSession(t)
	session.createInitialJobs()
	session.createJobs()
	session.patchObjects()
	session.replaceObjects()
	session.evictAndDeleteObjects()
	session.engine.Stop(session.now)
	session.post(jobsPath, jobJSON("too-late", "", 1))
	session.server.Engine = nil
	session.post(jobsPath, jobJSON("read-only", "", 1))
	session.get("/apis/batch/v1/jobs")
	session.recorder.Check(t, "writes")
}

// createJobs sends requests to create Jobs. Some of the requests are valid, and others have an invalid
// body, query parameter or header.
func (session *apiSession) createJobs() {
	validJob := jobJSON("new", "", 2)
	validJobWith := func(old, replacement string) string { return strings.Replace(validJob, old, replacement, 1) }
	for _, body := range []string{
		"", "{", "[]", "null", `"x"`, "{}", validJob, validJob, jobJSON("Bad_Name", "", 1), jobJSON("many", "", 1<<28),
		validJobWith(`"name":"new"`, `"generateName":"made-"`),
		validJobWith(`"Never"`, `"Always"`),
		validJobWith(`"Never"`, `"OnFailure"`),
		validJobWith("500m", "-1"),
		validJobWith("500m", "x"),
		validJobWith(`"web"`, `"unknown"`),
		validJobWith(`"spec":`, `"unknown":1,"spec":`),
		validJobWith(`"completions":2`, `"completions":-2`),
		validJobWith(`"kind":"Job"`, `"kind":"Pod"`),
		validJobWith(`"batch/v1"`, `"batch/v2"`),
		validJobWith(`"backoffLimit":1`, `"backoffLimit":-1`),
		validJobWith(`"backoffLimit":1`, `"completionMode":"Indexed"`),
		validJobWith(`"backoffLimit":1`, `"completionMode":"Other"`),
		validJobWith(`"backoffLimit":1`, `"ttlSecondsAfterFinished":-1`),
		validJobWith(`"backoffLimit":1`, `"manualSelector":true`),
		validJobWith(`"backoffLimit":1`, `"activeDeadlineSeconds":0`),
		validJobWith(`"backoffLimit":1`, `"suspend":true`),
		validJobWith(`"name":"new"`, `"name":"other","namespace":"elsewhere"`),
		jobJSON("hosts", `,"nodeName":"n"`, 1),
		jobJSON("chosen", `,"nodeSelector":{"a":"b"}`, 1),
		jobJSON("empty", `,"initContainers":[{"name":"i","image":"j"}]`, 1),
		validJobWith(`"containers":[`, `"containers":[],"other":[`),
	} {
		session.post(jobsPath, body)
		session.advance(0.05)
	}
	for _, query := range []string{"dryRun=All", "dryRun=Some", "fieldValidation=Strict", "fieldValidation=Warn", "fieldValidation=Ignore",
		"fieldValidation=Other", "fieldManager=x"} {
		body := strings.Replace(jobJSON("with-query", "", 1), `"spec":`, `"unknown":1,"spec":`, 1)
		session.post(jobsPath+"?"+query, body)
	}
	session.send("POST", jobsPath, validJob, "Content-Type", "text/plain")
	session.send("POST", jobsPath, validJob)
	session.send("POST", jobsPath, "apiVersion: batch/v1", "Content-Type", "application/yaml")
	session.send("POST", jobsPath, protobufJob("binary"), "Content-Type", protobufType)
	session.send("POST", jobsPath, protobufJob("binary-answer"), "Content-Type", protobufType, "Accept", protobufType)
	session.send("POST", jobsPath, "k8s\x00rubbish", "Content-Type", protobufType)
	session.post("/api/v1/nodes", "{}")
	session.post(podsPath, "{}")
	session.post("/apis", "{}")
}

// protobufJob returns a Job with the given name in the protobuf encoding.
func protobufJob(name string) string {
	job := &batchv1.Job{}
	job.Name = name
	job.Spec.Template.Spec.RestartPolicy = corev1.RestartPolicyNever
	job.Spec.Template.Spec.Containers = []corev1.Container{{Name: "main", Image: "image"}}
	encodedJob, _ := job.Marshal()
	return protobufObject("batch/v1", "Job", encodedJob)
}

// patch contains the body of a PATCH request and the media type of this body.
type patch struct{ mediaType, body string }

// patchObjects sends valid and invalid patches of Jobs and of a Node.
func (session *apiSession) patchObjects() {
	for _, jobPatch := range []patch{
		{mergePatchType, `{"metadata":{"labels":{"team":"b"}}}`},
		{mergePatchType, `{"spec":{"suspend":true}}`},
		{mergePatchType, `{"spec":{"suspend":false}}`},
		{mergePatchType, `{"spec":{"parallelism":1}}`},
		{mergePatchType, `{"spec":{"completions":9}}`},
		{mergePatchType, `{"metadata":{"resourceVersion":"1"}}`},
		{mergePatchType, `{"metadata":{"name":"x"}}`},
		{mergePatchType, `{`},
		{mergePatchType, `[]`},
		{mergePatchType, `{"spec":{"unknown":1}}`},
		{mergePatchType, `{"spec":{"template":{"spec":{"containers":[]}}}}`},
		{strategicPatchType, `{"metadata":{"annotations":{"a":"b"}}}`},
		{strategicPatchType, `{"spec":{"template":{"spec":{"containers":[{"name":"main","image":"x"}]}}}}`},
		{jsonPatchType, `[{"op":"add","path":"/metadata/labels/x","value":"y"}]`},
		{jsonPatchType, `[{"op":"test","path":"/metadata/name","value":"z"}]`},
		{jsonPatchType, `[{"op":"remove","path":"/none"}]`},
		{jsonPatchType, `{}`},
		{jsonPatchType, `[{"op":"replace","path":"/spec/parallelism","value":"x"}]`},
		{"application/apply-patch+yaml", "a: b"},
		{jsonType, "{}"},
		{"", "{}"},
	} {
		session.patch(jobsPath+"/job-3", jobPatch)
		session.patch(jobsPath+"/job-2?dryRun=All", jobPatch)
		session.advance(0.2)
	}
	for _, nodePatch := range []patch{
		{mergePatchType, `{"spec":{"unschedulable":true}}`},
		{strategicPatchType, `{"spec":{"unschedulable":null}}`},
		{strategicPatchType, `{"spec":{"unschedulable":true}}`},
		{mergePatchType, `{"spec":{"unschedulable":false}}`},
		{mergePatchType, `{"metadata":{"labels":{"x":"y"}}}`},
		{mergePatchType, `{"metadata":{"labels":{"heathshed.io/rack":"other"}}}`},
		{mergePatchType, `{"metadata":{"labels":{"bad key!":"y"}}}`},
		{mergePatchType, `{"spec":{"taints":[{"key":"a","effect":"NoSchedule"}]}}`},
		{mergePatchType, `{"spec":{"podCIDR":"10.0.0.0/8"}}`},
	} {
		session.patch(nodePath, nodePatch)
		session.advance(0.1)
	}
	for _, path := range []string{"/api/v1/nodes/missing", jobsPath + "/missing", jobsPath + "/job-3/status", podsPath + "/x"} {
		session.patch(path, patch{mergePatchType, "{}"})
	}
}

func (session *apiSession) patch(target string, requestPatch patch) {
	session.send("PATCH", target, requestPatch.body, "Content-Type", requestPatch.mediaType)
}

// replaceObjects sends PUT requests with valid and invalid replacements of Jobs and of a Node.
func (session *apiSession) replaceObjects() {
	currentJob := string(session.get(jobsPath + "/job-3").Body)
	currentNode := string(session.get(nodePath).Body)
	session.sendJSON("PUT", jobsPath+"/job-3", currentJob)
	session.sendJSON("PUT", jobsPath+"/job-3", strings.Replace(currentJob, `"parallelism":1`, `"parallelism":3`, 1))
	session.sendJSON("PUT", jobsPath+"/job-3", currentJob) // The resource version of this Job is outdated.
	session.sendJSON("PUT", jobsPath+"/job-2", currentJob) // The name of this Job is not the name in the path.
	session.sendJSON("PUT", jobsPath+"/missing", jobJSON("missing", "", 1))
	session.sendJSON("PUT", jobsPath+"/job-3", "{}")
	session.sendJSON("PUT", nodePath, currentNode)
	session.sendJSON("PUT", nodePath, strings.Replace(currentNode, `"spec":{`, `"spec":{"unschedulable":true,`, 1))
	session.sendJSON("PUT", nodePath, "{}")
	session.get("/api/v1/nodes")
}

// evictAndDeleteObjects sends valid and invalid requests that evict Pods or delete Jobs, Pods or a Node.
func (session *apiSession) evictAndDeleteObjects() {
	names := session.podNames()
	eviction := `{"apiVersion":"policy/v1","kind":"Eviction","metadata":{"name":%q}}`
	session.post(podsPath+"/"+names[0]+"/eviction", fmt.Sprintf(eviction, names[0]))
	session.post(podsPath+"/"+names[1]+"/eviction", fmt.Sprintf(eviction, "other"))
	session.post(podsPath+"/missing/eviction", fmt.Sprintf(eviction, "missing"))
	session.post(podsPath+"/"+names[1]+"/eviction", "{")
	session.post(podsPath+"/"+names[1]+"/eviction", "")
	session.get(podsPath + "/" + names[1] + "/eviction")
	session.advance(0.5)
	session.delete(podsPath + "/" + names[2] + "?dryRun=All")
	session.delete(podsPath + "/" + names[2])
	session.sendJSON("DELETE", podsPath+"/"+names[3], `{"preconditions":{"uid":"other"}}`)
	session.delete(podsPath + "/missing")
	session.advance(0.5)
	for i, query := range []string{"", "?propagationPolicy=Foreground", "?propagationPolicy=Orphan", "?propagationPolicy=Other", "?gracePeriodSeconds=0",
		"?dryRun=All"} {
		session.delete(fmt.Sprintf("%s/job-%d%s", jobsPath, i%4, query))
	}
	session.sendJSON("DELETE", jobsPath+"/new", `{"kind":"DeleteOptions","apiVersion":"v1","propagationPolicy":"Background"}`)
	session.sendJSON("DELETE", jobsPath+"/binary", `{`)
	session.sendJSON("DELETE", jobsPath+"/binary", `{"orphanDependents":true}`)
	session.delete(nodePath)
	session.delete(podsPath + "?labelSelector=heathshed.io/class%3Dweb")
	session.delete(podsPath + "?labelSelector=%3D")
	session.advance(2)
	session.delete(jobsPath + "?dryRun=All")
	session.delete(jobsPath + "?limit=1")
	session.delete(jobsPath)
	session.advance(2)
	session.get(podsPath)
}

// podNames returns the names of all Pods in the namespace "default".
func (session *apiSession) podNames() []string {
	var names []string
	for _, podText := range strings.Split(string(session.get(podsPath).Body), `"metadata":{"name":"`)[1:] {
		name, _, _ := strings.Cut(podText, `"`)
		names = append(names, name)
	}
	return names
}

// TestCharacterizeFullServer checks that the responses to requests that create Jobs match a golden file.
// Together, these Jobs have more Pods than the engine allows.
func TestCharacterizeFullServer(t *testing.T) {
	settings := config.Default()
	engineConfig := settings.EngineConfig(1, 1000)
	engineConfig.MaxPods = 5
	session := newSessionWith(t, engineConfig)
	for i := range 3 {
		session.post(jobsPath, jobJSON(fmt.Sprintf("job-%d", i), "", 3))
		session.advance(0.1)
	}
	session.recorder.Check(t, "full")
}
