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
)

var tables = []store.Resource{store.Jobs, store.Pods, store.Nodes, store.Namespaces}

// TestCharacterizeStore pins the events, snapshots, errors and trimmed histories of stores under seeded changes. Regenerate the golden
// file with HEATHSHED_UPDATE_GOLDEN=1 only if behaviour is meant to change; see package goldentest.
func TestCharacterizeStore(t *testing.T) {
	record := goldentest.NewRecorder()
	for i, s := range []*store.Store{store.New(100, 7), store.NewBounded(5000, 400, 150000), store.New(0, 3000)} {
		changeStore(record, fmt.Sprintf("store %d", i), s, uint64(i))
	}
	keepSnapshots(record)
	record.Check(t, "store")
}

// keepSnapshots keeps more snapshots than a store holds, and looks for each of them as time passes.
func keepSnapshots(record *goldentest.Recorder) {
	s, rng := store.New(0, 1000), rand.New(rand.NewPCG(22, 0))
	for i := range 80 {
		s.Put(store.Pods, newObject(store.Pods, "a", fmt.Sprintf("object-%02d", i), rng))
		s.KeepSnapshot(float64(i), s.Snapshot(store.Pods))
	}
	for _, now := range []float64{80, 310, 318.5, 345, 378, 380.5, 400} {
		found := []int64{}
		for revision := range s.Rev() + 2 {
			if snapshot, err := s.FindSnapshot(now, store.Pods, revision); err == nil {
				found = append(found, revision, int64(snapshot.Len()))
			}
		}
		record.Line("kept at %v: %v", now, found)
	}
}

func changeStore(record *goldentest.Recorder, name string, s *store.Store, seed uint64) {
	rng := rand.New(rand.NewPCG(21, seed))
	base, now := s.Rev(), 0.0
	for step := range 3000 {
		now += rng.Float64()
		table := tables[rng.IntN(len(tables))]
		namespace, object := []string{"a", "ab", "b"}[rng.IntN(3)], fmt.Sprintf("object-%02d", rng.IntN(25))
		if rng.IntN(3) == 0 {
			record.Booleans(s.Delete(table, namespace, object))
		} else {
			record.Integers(s.Put(table, newObject(table, namespace, object, rng)))
		}
		record.Integers(s.Rev(), s.ObjectCost(), s.HistoryCost(), int64(s.Len(table)))
		readChanges(record, s, table, s.Rev()-int64(rng.IntN(30)), 1+rng.IntN(10))
		if step%10 == 0 {
			readSnapshot(record, s, now, table, rng)
		}
		if step%300 == 299 {
			readChanges(record, s, table, base, 100000)
			readChanges(record, s, table, s.Rev()+1, 1)
			record.Checkpoint(fmt.Sprintf("%s, step %d", name, step+1))
		}
	}
	for _, table := range tables {
		record.Line("%s: table %d %s: %d objects; %v", name, table, table, s.Len(table), since(s, table, base))
	}
}

func since(s *store.Store, table store.Resource, revision int64) error {
	_, err := s.Since(table, revision, 1)
	return err
}

func newObject(table store.Resource, namespace, name string, rng *rand.Rand) store.Object {
	var o store.Object
	switch table {
	case store.Jobs:
		o = &batchv1.Job{}
	case store.Pods:
		o = &corev1.Pod{}
	case store.Nodes:
		o = &corev1.Node{}
	default:
		o = &corev1.Namespace{}
	}
	o.SetNamespace(namespace)
	o.SetName(name)
	o.SetAnnotations(map[string]string{"size": strings.Repeat("x", rng.IntN(200))})
	return o
}

func recordChange(record *goldentest.Recorder, change *store.Change) {
	record.Integers(change.Rev, int64(change.Op), store.Cost(change.Object))
	record.Texts(change.Object.GetNamespace(), change.Object.GetName(), change.Object.GetResourceVersion())
	record.Booleans(change.Prev != nil)
	if change.Prev != nil {
		record.Texts(change.Prev.GetResourceVersion())
	}
}

func readChanges(record *goldentest.Recorder, s *store.Store, table store.Resource, revision int64, most int) {
	changes, err := s.Since(table, revision, most)
	record.Error(err)
	record.Integers(int64(len(changes)))
	for _, change := range changes {
		recordChange(record, change)
	}
}

// readSnapshot keeps a snapshot and reads parts of it, and of one that was kept before.
func readSnapshot(record *goldentest.Recorder, s *store.Store, now float64, table store.Resource, rng *rand.Rand) {
	s.KeepSnapshot(now, s.Snapshot(table))
	snapshot, err := s.FindSnapshot(now, table, s.Rev()-int64(rng.IntN(3)*10))
	record.Error(err)
	if err != nil {
		return
	}
	record.Integers(snapshot.Rev, int64(snapshot.Len()))
	record.Booleans(s.Outdated(snapshot))
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
	last := s.Last(table, "a", "object-03")
	record.Booleans(last != nil, s.Get(table, "a", "object-04") != nil)
	if last != nil {
		recordChange(record, last)
	}
}
