package engine

import "testing"

// addFinishedJob adds a finished Job to a table and returns the Job.
func addFinishedJob(table *jobTable, key string) *job {
	finishedJob := &job{key: key, progress: jobEnded, transitions: &transitionCheck{}}
	table.add(finishedJob)
	table.addFinished(finishedJob)
	return finishedJob
}

func TestOldestFinishedJob(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(table *jobTable, firstJob, secondJob *job)
		want    string // key of the oldest finished Job; "" if there is none
	}{
		{"Job that finished first is returned", func(*jobTable, *job, *job) {}, "first"},
		{"Job that is being deleted is skipped", func(_ *jobTable, first, _ *job) { first.setDeletion(jobDeletingForeground) }, "second"},
		{"Job that was removed from the table is skipped", func(table *jobTable, first, _ *job) { table.remove(first) }, "second"},
		{"Job that another Job with the same key has replaced is skipped", func(table *jobTable, _, _ *job) { table.add(&job{key: "first"}) }, "second"},
		{"Job that was dropped from the list of finished Jobs is not returned", func(table *jobTable, _, _ *job) { table.dropOldestFinished() }, "second"},
		{"no Job is returned for a table without Jobs", func(table *jobTable, first, second *job) {
			table.remove(first)
			table.remove(second)
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := &jobTable{byKey: map[string]*job{}}
			firstJob, secondJob := addFinishedJob(table, "first"), addFinishedJob(table, "second")

			test.prepare(table, firstJob, secondJob)

			got := ""
			if oldestJob := table.oldestFinished(); oldestJob != nil {
				got = oldestJob.key
			}
			if got != test.want {
				t.Errorf("oldestFinished returned the Job with key %q, want %q", got, test.want)
			}
		})
	}
}

// TestFinishedListIsBounded guards against deleted Jobs that accumulate in the list of finished Jobs. The
// number of Jobs in the table must limit the length of this list.
func TestFinishedListIsBounded(t *testing.T) {
	table := &jobTable{byKey: map[string]*job{}}
	for range 100 {
		finishedJob := addFinishedJob(table, "default/j")
		finishedJob.setDeletion(jobDeleted)
		table.remove(finishedJob)
	}
	if listLength, maxLength := len(table.finishedJobs), finishedListSlack+3; listLength > maxLength {
		t.Errorf("the list of finished Jobs has %d entries although the table has no Jobs, want at most %d", listLength, maxLength)
	}
}

func TestRemoveIgnoresOtherJobWithSameKey(t *testing.T) {
	table := &jobTable{byKey: map[string]*job{}}
	firstJob, secondJob := &job{key: "default/j"}, &job{key: "default/j"}
	table.add(firstJob)
	table.add(secondJob)
	if table.remove(firstJob) {
		t.Error("remove returned true for a Job that another Job with the same key has replaced")
	}
	if !table.contains(secondJob) || !table.remove(secondJob) || table.get("default/j") != nil {
		t.Error("the Job that replaced another one is not in the table or could not be removed")
	}
}
