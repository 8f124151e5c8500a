package engine

import "testing"

// finishedJob adds a finished Job to a table and returns it.
func finishedJob(table *jobTable, key string) *job {
	finished := &job{key: key, progress: jobEnded, transitions: &transitionCheck{}}
	table.add(finished)
	table.addFinished(finished)
	return finished
}

func TestOldestFinishedJob(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(table *jobTable, first, second *job)
		want    string // key of the oldest finished Job; "" if there is none
	}{
		{"first to finish", func(*jobTable, *job, *job) {}, "first"},
		{"deleted Job is skipped", func(_ *jobTable, first, _ *job) { first.setDeletion(jobDeletingForeground) }, "second"},
		{"removed Job is skipped", func(table *jobTable, first, _ *job) { table.remove(first) }, "second"},
		{"replaced Job is skipped", func(table *jobTable, _, _ *job) { table.add(&job{key: "first"}) }, "second"},
		{"dropped Job is not returned", func(table *jobTable, _, _ *job) { table.dropOldestFinished() }, "second"},
		{"no Job left", func(table *jobTable, first, second *job) {
			table.remove(first)
			table.remove(second)
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := &jobTable{byKey: map[string]*job{}}
			first, second := finishedJob(table, "first"), finishedJob(table, "second")

			test.prepare(table, first, second)

			got := ""
			if oldest := table.oldestFinished(); oldest != nil {
				got = oldest.key
			}
			if got != test.want {
				t.Errorf("the oldest finished Job is %q, want %q", got, test.want)
			}
		})
	}
}

// TestFinishedListIsBounded checks that the number of Jobs in the table bounds the list of finished Jobs, so
// that deleted Jobs do not accumulate.
func TestFinishedListIsBounded(t *testing.T) {
	table := &jobTable{byKey: map[string]*job{}}
	for range 100 {
		finished := finishedJob(table, "default/j")
		finished.setDeletion(jobDeleted)
		table.remove(finished)
	}
	if got, most := len(table.finished), finishedListSlack+3; got > most {
		t.Errorf("%d finished Jobs are listed although the table is empty, want at most %d", got, most)
	}
}

func TestRemoveIgnoresOtherJobWithSameKey(t *testing.T) {
	table := &jobTable{byKey: map[string]*job{}}
	first, second := &job{key: "default/j"}, &job{key: "default/j"}
	table.add(first)
	table.add(second)
	if table.remove(first) {
		t.Error("removing a replaced Job removed the Job that replaced it")
	}
	if !table.contains(second) || !table.remove(second) || table.get("default/j") != nil {
		t.Error("the Job in the table could not be removed")
	}
}
