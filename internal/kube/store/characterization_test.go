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

// TestCharacterizeStore records the changes, snapshots, errors and history lengths of stores under seeded
// random changes, and compares the record with a golden file. The golden file may be regenerated with
// HEATHSHED_UPDATE_GOLDEN=1 only if behavior is meant to change; see package goldentest.
func TestCharacterizeStore(t *testing.T) {
	record := goldentest.NewRecorder()
	for i, objects := range []*store.Store{store.New(100, 7), store.NewBounded(5000, 400, 150000), store.New(0, 3000)} {
		recordRandomChanges(record, fmt.Sprintf("store %d", i), objects, uint64(i))
	}
	recordKeptSnapshots(record)
	record.Check(t, "store")
}

// recordKeptSnapshots calls KeepSnapshot for more snapshots than a store keeps. It then records which
// snapshots FindSnapshot returns at several later times.
func recordKeptSnapshots(record *goldentest.Recorder) {
	objects, rng := store.New(0, 1000), rand.New(rand.NewPCG(22, 0))
	for i := range 80 {
		objects.Put(store.Pods, newObject(store.Pods, "a", fmt.Sprintf("object-%02d", i), rng))
		objects.KeepSnapshot(placer.Seconds(i), objects.Snapshot(store.Pods))
	}
	for _, now := range []placer.Seconds{80, 310, 318.5, 345, 378, 380.5, 400} {
		found := []int64{}
		for revision := range objects.Revision() + 2 {
			if snapshot, err := objects.FindSnapshot(now, store.Pods, revision); err == nil {
				found = append(found, revision, int64(snapshot.Len()))
			}
		}
		record.Line("kept at %v: %v", now, found)
	}
}

// recordRandomChanges makes random changes to a store and records the results and what the store returns.
func recordRandomChanges(record *goldentest.Recorder, label string, objects *store.Store, seed uint64) {
	rng := rand.New(rand.NewPCG(21, seed))
	base, now := objects.Revision(), placer.Seconds(0)
	for step := range 3000 {
		now += placer.Seconds(rng.Float64())
		table := tables[rng.IntN(len(tables))]
		namespace, name := []string{"a", "ab", "b"}[rng.IntN(3)], fmt.Sprintf("object-%02d", rng.IntN(25))
		if rng.IntN(3) == 0 {
			record.Booleans(objects.Delete(table, namespace, name))
		} else {
			record.Integers(objects.Put(table, newObject(table, namespace, name, rng)))
		}
		record.Integers(objects.Revision(), objects.ObjectCost(), objects.HistoryCost(), int64(objects.Len(table)))
		recordChanges(record, objects, table, objects.Revision()-int64(rng.IntN(30)), 1+rng.IntN(10))
		if step%10 == 0 {
			recordSnapshot(record, objects, now, table, rng)
		}
		if step%300 == 299 {
			recordChanges(record, objects, table, base, 100000)
			recordChanges(record, objects, table, objects.Revision()+1, 1)
			record.Checkpoint(fmt.Sprintf("%s, step %d", label, step+1))
		}
	}
	for _, table := range tables {
		record.Line("%s: table %d %s: %d objects; %v", label, table, table, objects.Len(table), changesSinceError(objects, table, base))
	}
}

// changesSinceError returns the error of ChangesSince for a revision.
func changesSinceError(objects *store.Store, table store.Resource, revision int64) error {
	_, err := objects.ChangesSince(table, revision, 1)
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

func recordChange(record *goldentest.Recorder, change *store.Change) {
	record.Integers(change.Revision, int64(change.Op), store.Cost(change.Object))
	record.Texts(change.Object.GetNamespace(), change.Object.GetName(), change.Object.GetResourceVersion())
	record.Booleans(change.Previous != nil)
	if change.Previous != nil {
		record.Texts(change.Previous.GetResourceVersion())
	}
}

func recordChanges(record *goldentest.Recorder, objects *store.Store, table store.Resource, revision int64, limit int) {
	changes, err := objects.ChangesSince(table, revision, limit)
	record.Error(err)
	record.Integers(int64(len(changes)))
	for _, change := range changes {
		recordChange(record, change)
	}
}

// recordSnapshot keeps a snapshot, and records parts of the snapshot that FindSnapshot returns for a recent
// revision.
func recordSnapshot(record *goldentest.Recorder, objects *store.Store, now placer.Seconds, table store.Resource, rng *rand.Rand) {
	objects.KeepSnapshot(now, objects.Snapshot(table))
	snapshot, err := objects.FindSnapshot(now, table, objects.Revision()-int64(rng.IntN(3)*10))
	record.Error(err)
	if err != nil {
		return
	}
	record.Integers(snapshot.Revision, int64(snapshot.Len()))
	record.Booleans(objects.Outdated(snapshot))
	after := ""
	if rng.IntN(2) == 0 {
		after = store.Key("ab", "object-10")
	}
	left := 5 + rng.IntN(20)
	snapshot.Scan([]string{"", "a", "ab"}[rng.IntN(3)], after, func(key string, change *store.Change) bool {
		record.Texts(key)
		recordChange(record, change)
		left--
		return left > 0
	})
	last := objects.LastChange(table, "a", "object-03")
	record.Booleans(last != nil, objects.Get(table, "a", "object-04") != nil)
	if last != nil {
		recordChange(record, last)
	}
}
