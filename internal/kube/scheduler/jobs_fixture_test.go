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

// longJob describes a Job whose tasks outlast the test unless they are stopped.
func longJob(name, class string, tasks, backoffLimit int) scenario.Job {
	return scenario.Job{Name: name, Class: class, Service: "s", Tasks: tasks, Cores: 0.5, Memory: 0.5, Lifetime: 60, BackoffLimit: backoffLimit}
}

// sized returns the Job with tasks of other requests.
func sized(job scenario.Job, coresAndGiB float64) scenario.Job {
	job.Cores, job.Memory = coresAndGiB, coresAndGiB
	return job
}

// submitJob submits a Job, to the namespace default unless it states another.
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

// job returns a Job, nil if there is none.
func (cluster *testCluster) job(name string) *batchv1.Job {
	code, answer := cluster.request("GET", jobsPath+"/"+name, "", nil)
	if code != 200 {
		return nil
	}
	job := &batchv1.Job{}
	if err := json.Unmarshal(answer, job); err != nil {
		cluster.t.Fatal(err)
	}
	return job
}

// waitUntilSettled waits until a Job has a Settled condition and returns its reason.
func (cluster *testCluster) waitUntilSettled(name string) string {
	cluster.t.Helper()
	cluster.eventually(name+" is settled", func() bool { return settledReason(cluster.job(name)) != "" })
	return settledReason(cluster.job(name))
}

// running returns the Pods that run.
func (cluster *testCluster) running() []corev1.Pod {
	return cluster.pods("?fieldSelector=status.phase=Running")
}

// waitUntilRunning waits until so many Pods run.
func (cluster *testCluster) waitUntilRunning(pods int) {
	cluster.t.Helper()
	cluster.eventually(fmt.Sprint(pods, " Pods run"), func() bool { return len(cluster.running()) == pods })
}

// settledReason is the reason of a Job's Settled condition, or "" if it has none.
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

// hasCondition reports whether a Job has a condition that is true.
func hasCondition(job *batchv1.Job, kind batchv1.JobConditionType) bool {
	if job == nil {
		return false
	}
	for _, condition := range job.Status.Conditions {
		if condition.Type == kind && condition.Status == corev1.ConditionTrue {
			return true
		}
	}
	return false
}

// pods returns the Pods of the namespace default that a query selects.
func (cluster *testCluster) pods(query string) []corev1.Pod {
	var list corev1.PodList
	code, answer := cluster.request("GET", "/api/v1/namespaces/default/pods"+query, "", nil)
	if code == 200 {
		if err := json.Unmarshal(answer, &list); err != nil {
			cluster.t.Fatal(err)
		}
	}
	return list.Items
}

// jobJSON is the JSON of a Job of small tasks.
func jobJSON(name string, tasks int) string {
	return fmt.Sprintf(`{"apiVersion":"batch/v1","kind":"Job","metadata":{"name":%q},"spec":{"parallelism":%d,"completions":%d,"template":{"spec":{`+
		`"restartPolicy":"Never","containers":[{"name":"m","image":"i","resources":{"requests":{"cpu":"10m","memory":"1Mi"}}}]}}}}`, name, tasks, tasks)
}
