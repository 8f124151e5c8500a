package store

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"pgregory.net/rapid"

	"heathshed/internal/testsupport/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

func newPod(namespace, name string) *corev1.Pod {
	pod := &corev1.Pod{}
	pod.Namespace = namespace
	pod.Name = name
	return pod
}

// objectsByKey contains the objects that a table must hold, by their keys.
type objectsByKey map[string]Object

// changeRandomPod puts or deletes a random Pod, both in the store and in the expected objects. It checks
// that the revision of the store grows by one with each change.
func (want objectsByKey) changeRandomPod(t *rapid.T, testStore *Store, namespace string) {
	name := fmt.Sprint("p", rapid.IntRange(0, 15).Draw(t, "name"))
	key, revisionBefore := Key(namespace, name), testStore.Revision()
	if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
		_, present := want[key]
		if testStore.Delete(Pods, namespace, name) != present {
			t.Fatal("Delete returned true for a Pod that was not stored, or false for a stored Pod")
		}
		delete(want, key)
		if present != (testStore.Revision() == revisionBefore+1) {
			t.Fatalf("the revision of the store is %d after Delete and was %d before; it must grow by one if and only if the Pod was stored (%v)", testStore.Revision(), revisionBefore, present)
		}
		return
	}
	pod := newPod(namespace, name)
	want[key] = pod
	if testStore.Put(Pods, pod); testStore.Revision() != revisionBefore+1 || pod.ResourceVersion != fmt.Sprint(testStore.Revision()) {
		t.Fatalf("the revision of the store is %d after Put and was %d before, and the resource version of the Pod is %s; the revision must grow by one and must be the resource version", testStore.Revision(), revisionBefore, pod.ResourceVersion)
	}
}

// applyChanges applies the changes of a history to the expected objects. For each change, it checks that
// the kind of the change and the object before the change match the expected objects.
func (want objectsByKey) applyChanges(t *rapid.T, changes []*Change) {
	for _, change := range changes {
		key := Key(change.Object.GetNamespace(), change.Object.GetName())
		if previous, present := want[key]; present != (change.Op != Added) || present && previous != change.Previous {
			t.Fatalf("the change with revision %d has a kind or a previous object that does not match the expected objects", change.Revision)
		}
		if change.Op == Deleted {
			delete(want, key)
		} else {
			want[key] = change.Object
		}
	}
}

// compareSnapshot checks that a snapshot contains exactly the expected objects, and that Scan visits them
// in the order of their keys.
func (want objectsByKey) compareSnapshot(t *rapid.T, snapshot Snapshot) {
	scannedCount, lastKey := 0, ""
	snapshot.Scan("", "", func(key string, change *Change) bool {
		if want[key] != change.Object || scannedCount > 0 && key <= lastKey {
			t.Fatalf("the snapshot contains an unexpected object for the key %s, or Scan visits the key out of order", key)
		}
		scannedCount++
		lastKey = key
		return true
	})
	if scannedCount != len(want) {
		t.Fatalf("Scan visited %d objects of the snapshot, want %d", scannedCount, len(want))
	}
}

// TestStore makes random changes to a store. It checks that the revision grows by one with each change,
// and that a snapshot never changes. If all later changes are applied to the objects of the snapshot, the
// result must be the present state of the store.
func TestStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Int64Range(0, 1e15).Draw(t, "base")
		historyLength := rapid.IntRange(1, 50).Draw(t, "keep")
		testStore := New(base, historyLength)
		want := objectsByKey{}
		var oldSnapshot Snapshot
		var wantOldObjects objectsByKey
		for i := range rapid.IntRange(1, 120).Draw(t, "n") {
			want.changeRandomPod(t, testStore, fmt.Sprint("ns", i%3))
			if i == 10 {
				oldSnapshot, wantOldObjects = testStore.Snapshot(Pods), maps.Clone(want)
			}
		}
		want.compareSnapshot(t, testStore.Snapshot(Pods))
		if wantOldObjects == nil {
			return
		}
		wantOldObjects.compareSnapshot(t, oldSnapshot)
		changes, err := testStore.ChangesSince(Pods, oldSnapshot.Revision, 1000)
		if errors.Is(err, ErrExpired) {
			if testStore.Revision()-oldSnapshot.Revision <= int64(historyLength) {
				t.Fatal("the history has dropped changes although its length permits all changes since the snapshot")
			}
			return
		}
		wantOldObjects.applyChanges(t, changes)
		wantOldObjects.compareSnapshot(t, testStore.Snapshot(Pods))
	})
}

// TestChangesSinceBounds reads changes and snapshots at the oldest and the newest revision that the store
// can serve, and at revisions beyond these bounds.
func TestChangesSinceBounds(t *testing.T) {
	testStore := New(100, 3)
	for i := range 5 {
		testStore.Put(Pods, newPod("a", fmt.Sprint(i)))
	}
	if _, err := testStore.ChangesSince(Pods, 101, 10); !errors.Is(err, ErrExpired) {
		t.Errorf("ChangesSince returned error %v for revision 101, which is older than the history, want ErrExpired", err)
	}
	if _, err := testStore.ChangesSince(Pods, 106, 10); !errors.Is(err, ErrFuture) {
		t.Errorf("ChangesSince returned error %v for revision 106, which does not exist yet, want ErrFuture", err)
	}
	if changes, err := testStore.ChangesSince(Pods, 102, 2); err != nil || len(changes) != 2 || changes[0].Revision != 103 {
		t.Errorf("ChangesSince returned changes %v and error %v for revision 102, want two changes of which the first has revision 103", changes, err)
	}
	snapshot := testStore.Snapshot(Pods)
	testStore.KeepSnapshot(1000, snapshot)
	testStore.Put(Pods, newPod("a", "later"))
	if keptSnapshot, err := testStore.FindSnapshot(1001, Pods, snapshot.Revision); err != nil || keptSnapshot.Len() != 5 {
		t.Errorf("FindSnapshot returned error %v or a wrong snapshot, want no error and the kept snapshot with its 5 objects", err)
	}
	if _, err := testStore.FindSnapshot(1000+snapshotRetention+1, Pods, snapshot.Revision); !errors.Is(err, ErrExpired) {
		t.Errorf("FindSnapshot returned error %v for a snapshot whose retention time has passed, want ErrExpired", err)
	}
}

// TestHistoryIsBoundedInBytes checks the limit on the cost of a history. The test first puts large Pods;
// the history has room for only a few of these changes. It then puts small Pods; the history must keep all
// of these changes. Finally the test deletes all Pods, which must reduce the cost of the stored objects to
// 0.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	const maxCost = 8 << 20
	testStore := NewBounded(1, 1000, maxCost)
	for i := range 300 {
		pod := newPod("default", fmt.Sprint("p", i%10))
		if i < 200 {
			pod.Annotations = map[string]string{"a": strings.Repeat("x", 200<<10)}
		}
		testStore.Put(Pods, pod)
		if testStore.HistoryCost() > maxCost {
			t.Fatalf("the cost of the history exceeds its limit after %d changes: it is %d bytes", i+1, testStore.HistoryCost())
		}
		if changes, err := testStore.ChangesSince(Pods, testStore.Revision()-1, 10); err != nil || len(changes) != 1 {
			t.Fatalf("ChangesSince returned error %v for the revision before the last change, want exactly one change and no error", err)
		}
	}
	if changes, err := testStore.ChangesSince(Pods, testStore.Revision()-90, 100); err != nil || len(changes) != 90 {
		t.Errorf("ChangesSince returned %d changes for the revision before the last 90 changes of small Pods, want 90 changes and no error; the error is %v", len(changes), err)
	}
	snapshot := testStore.Snapshot(Pods)
	for i := range 10 {
		testStore.Delete(Pods, "default", fmt.Sprint("p", i))
	}
	if testStore.ObjectCost() != 0 {
		t.Errorf("the cost of all stored objects is %d bytes after all Pods were deleted, want 0", testStore.ObjectCost())
	}
	testStore.KeepSnapshot(0, snapshot)
	for i := range 2000 {
		testStore.Put(Pods, newPod("default", fmt.Sprint("q", i%10)))
	}
	if _, err := testStore.FindSnapshot(1, Pods, snapshot.Revision); !errors.Is(err, ErrExpired) || !testStore.Outdated(snapshot) {
		t.Errorf("FindSnapshot returned error %v for a snapshot that is older than the history, want ErrExpired; Outdated must return true for this snapshot", err)
	}
}
