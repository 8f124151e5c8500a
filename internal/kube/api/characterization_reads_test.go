package api

import (
	"errors"
	"strings"
	"testing"
)

// TestCharacterizeReads checks that the responses to read requests match a golden file. The requests cover
// lists, single objects, Tables, selectors, pages, API discovery and errors.
func TestCharacterizeReads(t *testing.T) {
	session := newSession(t)
	session.createInitialJobs()
	listPaths := []string{"/api/v1/pods", podsPath, jobsPath, "/apis/batch/v1/jobs", "/api/v1/nodes", "/api/v1/namespaces"}
	for _, target := range append(listPaths, nodePath, jobsPath+"/job-1", jobsPath+"/job-1/status", "/api/v1/namespaces/default") {
		for _, accept := range []string{"", jsonType, acceptTable, protobufType, protobufType + "," + jsonType, "text/html", "*/*"} {
			session.send("GET", target, "", "Accept", accept)
		}
		session.send("HEAD", target, "")
		session.send("GET", target+"?includeObject=Object", "", "Accept", acceptTable)
		session.send("GET", target+"?includeObject=None", "", "Accept", acceptTable)
	}
	session.readWithQueries(listPaths)
	for _, target := range []string{
		"/", "/api", "/apis", "/version", "/api/v1", "/apis/batch", "/apis/batch/v1", "/livez", "/readyz", "/healthz",
		"/metrics", "/nowhere", "/api/v2", "/apis/apps/v1/deployments", podsPath + "/missing", jobsPath + "/missing", "/api/v1/nodes/missing",
		"/api/v1/namespaces/UPPER/pods", podsPath + "/a%2Fb", podsPath + "/x/log", "/api/v1/pods?x=%zz", "http://host/version", "http://host",
		podsPath + "/x/status", jobsPath + "/job-1/scale", "/api/v1/namespaces/default/nodes", "/%zz",
	} {
		session.get(target)
	}
	session.send("GET", "/api/v1/pods", "", "Content-Encoding", "gzip")
	session.server.Ready = func() error { return errors.New("not yet") }
	session.get("/readyz")
	session.recorder.Check(t, "reads")
}

// readWithQueries sends read requests for each list. Some of the requests have valid query parameters, and
// others have invalid ones.
func (session *apiSession) readWithQueries(listPaths []string) {
	for _, target := range listPaths {
		for _, query := range []string{
			"limit=2", "limit=-1", "limit=x", "resourceVersion=0", "resourceVersion=1", "resourceVersion=x",
			"resourceVersion=99999999", "resourceVersion=1010&resourceVersionMatch=Exact", "resourceVersion=1010&resourceVersionMatch=NotOlderThan",
			"resourceVersionMatch=Exact", "resourceVersionMatch=Other&resourceVersion=1", "labelSelector=team%3Da", "labelSelector=team!%3Da",
			"labelSelector=heathshed.io/class+in+(web,batch)", "labelSelector=%3D%3D", "fieldSelector=metadata.name%3Djob-1",
			"fieldSelector=status.phase%3DRunning", "fieldSelector=spec.unschedulable%3Dfalse", "fieldSelector=status.successful%3D0",
			"fieldSelector=other%3D1", "fieldSelector=%21", "continue=x", "continue=bogus&limit=1",
			"labelSelector=a" + strings.Repeat(",a", 120),
		} {
			session.get(target + "?" + query)
		}
		session.readPages(target)
	}
}

// readPages reads up to six pages of a list. Each request contains the continue token of the previous page.
func (session *apiSession) readPages(target string) {
	continueParameter := ""
	for range 6 {
		body := string(session.get(target + "?limit=3" + continueParameter).Body)
		_, token, hasToken := strings.Cut(body, `"continue":"`)
		if !hasToken {
			return
		}
		token, _, _ = strings.Cut(token, `"`)
		continueParameter = "&continue=" + token
	}
}
