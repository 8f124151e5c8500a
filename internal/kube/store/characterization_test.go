package store_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	batchv1 "k8s.io/api/batch/v1"
	corev1 "k8s.io/api/core/v1"

	"heathshed/internal/kube/store"
	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

var tables = []store.Resource{store.Jobs, store.Pods, store.Nodes, store.Namespaces}

// TestCharacterizeStore makes seeded random changes to stores. It records the changes, the snapshots, the
// errors and the lengths of the histories, and compares the record with a golden file. The golden file may
// be regenerated with HEATHSHED_UPDATE_GOLDEN=1 only if behavior is meant to change. Package goldentest
// describes how.
func TestCharacterizeStore(t *testing.T) {
	recorder := goldentest.NewRecorder()
	for i, testStore := range []*store.Store{store.New(100, 7), store.NewBounded(5000, 400, 150000), store.New(0, 3000)} {
		recordRandomChanges(recorder, fmt.Sprintf("store %d", i), testStore, uint64(i))
	}
	recordKeptSnapshots(recorder)
	recorder.Check(t, "store")
}

// recordKeptSnapshots calls KeepSnapshot for more snapshots than a store keeps. Each line of the record
// then shows, for a later time, the revisions of the snapshots that FindSnapshot still returns, and the
// number of objects in each of them.
func recordKeptSnapshots(recorder *goldentest.Recorder) {
	testStore, rng := store.New(0, 1000), rand.New(rand.NewPCG(22, 0))
	for i := range 80 {
		testStore.Put(store.Pods, newObject(store.Pods, "a", fmt.Sprintf("object-%02d", i), rng))
		testStore.KeepSnapshot(placer.Seconds(i), testStore.Snapshot(store.Pods))
	}
	for _, now := range []placer.Seconds{80, 310, 318.5, 345, 378, 380.5, 400} {
		foundSnapshots := []int64{}
		for revision := range testStore.Revision() + 2 {
			if snapshot, err := testStore.FindSnapshot(now, store.Pods, revision); err == nil {
				foundSnapshots = append(foundSnapshots, revision, int64(snapshot.Len()))
			}
		}
		recorder.Line("kept at %v: %v", now, foundSnapshots)
	}
}

// recordRandomChanges makes random changes to a store. It records the results of the changes, and what the
// store returns to readers.
func recordRandomChanges(recorder *goldentest.Recorder, label string, testStore *store.Store, seed uint64) {
	rng := rand.New(rand.NewPCG(21, seed))
	base, now := testStore.Revision(), placer.Seconds(0)
	for step := range 3000 {
		now += placer.Seconds(rng.Float64())
		table := tables[rng.IntN(len(tables))]
		namespace, name := []string{"a", "ab", "b"}[rng.IntN(3)], fmt.Sprintf("object-%02d", rng.IntN(25))
		if rng.IntN(3) == 0 {
			recorder.Booleans(testStore.Delete(table, namespace, name))
		} else {
			recorder.Integers(testStore.Put(table, newObject(table, namespace, name, rng)))
		}
		recorder.Integers(testStore.Revision(), testStore.ObjectCost(), testStore.HistoryCost(), int64(testStore.Len(table)))
		recordChanges(recorder, testStore, table, testStore.Revision()-int64(rng.IntN(30)), 1+rng.IntN(10))
		if step%10 == 0 {
			recordSnapshot(recorder, testStore, now, table, rng)
		}
		if step%300 == 299 {
			recordChanges(recorder, testStore, table, base, 100000)
			recordChanges(recorder, testStore, table, testStore.Revision()+1, 1)
			recorder.Checkpoint(fmt.Sprintf("%s, step %d", label, step+1))
		}
	}
	for _, table := range tables {
		recorder.Line("%s: table %d %s: %d objects; %v", label, table, table, testStore.Len(table), changesSinceError(testStore, table, base))
	}
}

// changesSinceError returns the error of a call of ChangesSince for the given revision.
func changesSinceError(testStore *store.Store, table store.Resource, revision int64) error {
	_, err := testStore.ChangesSince(table, revision, 1)
	return err
}

// newObject returns an object of the given table with an annotation of random size.
func newObject(table store.Resource, namespace, name string, rng *rand.Rand) store.Object {
	var object store.Object
	switch table {
	case store.Jobs:
		object = &batchv1.Job{}
	case store.Pods:
		object = &corev1.Pod{}
	case store.Nodes:
		object = &corev1.Node{}
	default:
		object = &corev1.Namespace{}
	}
	object.SetNamespace(namespace)
	object.SetName(name)
	object.SetAnnotations(map[string]string{"size": strings.Repeat("x", rng.IntN(200))})
	return object
}

func recordChange(recorder *goldentest.Recorder, change *store.Change) {
	recorder.Integers(change.Revision, int64(change.Op), store.Cost(change.Object))
	recorder.Texts(change.Object.GetNamespace(), change.Object.GetName(), change.Object.GetResourceVersion())
	recorder.Booleans(change.Previous != nil)
	if change.Previous != nil {
		recorder.Texts(change.Previous.GetResourceVersion())
	}
}

func recordChanges(recorder *goldentest.Recorder, testStore *store.Store, table store.Resource, revision int64, limit int) {
	changes, err := testStore.ChangesSince(table, revision, limit)
	recorder.Error(err)
	recorder.Integers(int64(len(changes)))
	for _, change := range changes {
		recordChange(recorder, change)
	}
}

// recordSnapshot calls KeepSnapshot for the present state of a table. It then calls FindSnapshot for a
// recent revision, and records parts of the snapshot that FindSnapshot returns.
func recordSnapshot(recorder *goldentest.Recorder, testStore *store.Store, now placer.Seconds, table store.Resource, rng *rand.Rand) {
	testStore.KeepSnapshot(now, testStore.Snapshot(table))
	snapshot, err := testStore.FindSnapshot(now, table, testStore.Revision()-int64(rng.IntN(3)*10))
	recorder.Error(err)
	if err != nil {
		return
	}
	recorder.Integers(snapshot.Revision, int64(snapshot.Len()))
	recorder.Booleans(testStore.Outdated(snapshot))
	after := ""
	if rng.IntN(2) == 0 {
		after = store.Key("ab", "object-10")
	}
	remaining := 5 + rng.IntN(20)
	snapshot.Scan([]string{"", "a", "ab"}[rng.IntN(3)], after, func(key string, change *store.Change) bool {
		recorder.Texts(key)
		recordChange(recorder, change)
		remaining--
		return remaining > 0
	})
	lastChange := testStore.LastChange(table, "a", "object-03")
	recorder.Booleans(lastChange != nil, testStore.Get(table, "a", "object-04") != nil)
	if lastChange != nil {
		recordChange(recorder, lastChange)
	}
}
