//go:build linux

package scheduler

import (
	"encoding/json"
	"fmt"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/wellknown"
	"heathshed/internal/lab/scenario"
	"heathshed/internal/lab/simulation"
)

// longJob returns a Job whose tasks run longer than any test unless they are stopped.
func longJob(name, class string, tasks, backoffLimit int) scenario.Job {
	return scenario.Job{Name: name, Class: class, Service: "s", Tasks: tasks, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: backoffLimit}
}

// withResources returns a copy of the Job whose tasks each request the given number of cores and of GiB of
// memory.
func withResources(job scenario.Job, coresAndGiB float64) scenario.Job {
	job.Cores, job.Memory = coresAndGiB, coresAndGiB
	return job
}

// submitJob posts a Job. A Job without a namespace goes to the namespace "default".
func (cluster *testCluster) submitJob(job scenario.Job) {
	cluster.t.Helper()
	if job.Namespace == "" {
		job.Namespace = "default"
	}
	body, err := json.Marshal(simulation.NewJob(&job))
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.requireStatus(201, "POST", "/apis/batch/v1/namespaces/"+job.Namespace+"/jobs", jsonType, string(body))
}

// job returns the Job with the given name, or nil if it does not exist.
func (cluster *testCluster) job(name string) *batchv1.Job {
	code, responseBody := cluster.request("GET", jobsPath+"/"+name, "", nil)
	if code != 200 {
		return nil
	}
	job := &batchv1.Job{}
	if err := json.Unmarshal(responseBody, job); err != nil {
		cluster.t.Fatal(err)
	}
	return job
}

// waitUntilSettled waits until a Job has a Settled condition, and returns the reason of the condition.
func (cluster *testCluster) waitUntilSettled(name string) string {
	cluster.t.Helper()
	cluster.eventually(name+" is settled", func() bool { return settledReason(cluster.job(name)) != "" })
	return settledReason(cluster.job(name))
}

// running returns the running Pods.
func (cluster *testCluster) running() []corev1.Pod {
	return cluster.pods("?fieldSelector=status.phase=Running")
}

// waitUntilRunning waits until the given number of Pods is running.
func (cluster *testCluster) waitUntilRunning(pods int) {
	cluster.t.Helper()
	cluster.eventually(fmt.Sprint(pods, " Pods are running"), func() bool { return len(cluster.running()) == pods })
}

// settledReason returns the reason of a Job's Settled condition, or "" if the Job has no such condition.
func settledReason(job *batchv1.Job) string {
	if job == nil {
		return ""
	}
	for _, condition := range job.Status.Conditions {
		if condition.Type == wellknown.Settled {
			return condition.Reason
		}
	}
	return ""
}

// hasCondition reports whether a Job has a condition of the given type with the status True.
func hasCondition(job *batchv1.Job, conditionType batchv1.JobConditionType) bool {
	if job == nil {
		return false
	}
	for _, condition := range job.Status.Conditions {
		if condition.Type == conditionType && condition.Status == corev1.ConditionTrue {
			return true
		}
	}
	return false
}

// pods returns the Pods in the namespace "default" that a query selects. The query is "" or starts with "?".
func (cluster *testCluster) pods(query string) []corev1.Pod {
	var list corev1.PodList
	code, responseBody := cluster.request("GET", "/api/v1/namespaces/default/pods"+query, "", nil)
	if code == 200 {
		if err := json.Unmarshal(responseBody, &list); err != nil {
			cluster.t.Fatal(err)
		}
	}
	return list.Items
}

// jobJSON returns the JSON of a Job whose tasks request few resources.
func jobJSON(name string, tasks int) string {
	return fmt.Sprintf(`{"apiVersion":"batch/v1","kind":"Job","metadata":{"name":%q},"spec":{"parallelism":%d,"completions":%d,"template":{"spec":{`+
		`"restartPolicy":"Never","containers":[{"name":"m","image":"i","resources":{"requests":{"cpu":"10m","memory":"1Mi"}}}]}}}}`, name, tasks, tasks)
}
