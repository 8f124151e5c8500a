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

// objectsByKey has the objects that a table is expected to hold.
type objectsByKey map[string]Object

// change puts or deletes a random Pod in the store and in the expected objects. It checks that the revision
// of the store grows by one with each change.
func (want objectsByKey) change(t *rapid.T, objects *Store, namespace string) {
	name := fmt.Sprint("p", rapid.IntRange(0, 15).Draw(t, "name"))
	key, before := Key(namespace, name), objects.Revision()
	if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
		_, present := want[key]
		if objects.Delete(Pods, namespace, name) != present {
			t.Fatal("Delete does not report whether the object was stored")
		}
		delete(want, key)
		if present != (objects.Revision() == before+1) {
			t.Fatalf("Delete changed the revision to %d from %d; the object was stored: %v", objects.Revision(), before, present)
		}
		return
	}
	pod := newPod(namespace, name)
	want[key] = pod
	if objects.Put(Pods, pod); objects.Revision() != before+1 || pod.ResourceVersion != fmt.Sprint(objects.Revision()) {
		t.Fatalf("Put changed the revision to %d from %d; the Pod has %s", objects.Revision(), before, pod.ResourceVersion)
	}
}

// apply applies the changes of a history to the expected objects. It checks that each change matches the
// object before it.
func (want objectsByKey) apply(t *rapid.T, changes []*Change) {
	for _, change := range changes {
		key := Key(change.Object.GetNamespace(), change.Object.GetName())
		if previous, present := want[key]; present != (change.Op != Added) || present && previous != change.Previous {
			t.Fatalf("change of revision %d does not match the object before it", change.Revision)
		}
		if change.Op == Deleted {
			delete(want, key)
		} else {
			want[key] = change.Object
		}
	}
}

// check compares a snapshot with the expected objects, and checks that the snapshot returns its objects in
// the order of their keys.
func (want objectsByKey) check(t *rapid.T, snapshot Snapshot) {
	count, last := 0, ""
	snapshot.Scan("", "", func(key string, change *Change) bool {
		if want[key] != change.Object || count > 0 && key <= last {
			t.Fatalf("object %s is not the one that was put, or is out of order", key)
		}
		count++
		last = key
		return true
	})
	if count != len(want) {
		t.Fatalf("snapshot has %d objects, want %d", count, len(want))
	}
}

// TestStore makes random changes. It checks that revisions grow by one, that a snapshot never changes, and
// that a snapshot together with all later changes gives the present state.
func TestStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Int64Range(0, 1e15).Draw(t, "base")
		historyLength := rapid.IntRange(1, 50).Draw(t, "keep")
		objects := New(base, historyLength)
		want := objectsByKey{}
		var old Snapshot
		var wantOld objectsByKey
		for i := range rapid.IntRange(1, 120).Draw(t, "n") {
			want.change(t, objects, fmt.Sprint("ns", i%3))
			if i == 10 {
				old, wantOld = objects.Snapshot(Pods), maps.Clone(want)
			}
		}
		want.check(t, objects.Snapshot(Pods))
		if wantOld == nil {
			return
		}
		wantOld.check(t, old)
		changes, err := objects.ChangesSince(Pods, old.Revision, 1000)
		if errors.Is(err, ErrExpired) {
			if objects.Revision()-old.Revision <= int64(historyLength) {
				t.Fatal("history has dropped a change that its length still covers")
			}
			return
		}
		wantOld.apply(t, changes)
		wantOld.check(t, objects.Snapshot(Pods))
	})
}

// TestChangesSinceBounds reads changes and snapshots at both ends of the range of revisions that the store
// keeps.
func TestChangesSinceBounds(t *testing.T) {
	objects := New(100, 3)
	for i := range 5 {
		objects.Put(Pods, newPod("a", fmt.Sprint(i)))
	}
	if _, err := objects.ChangesSince(Pods, 101, 10); !errors.Is(err, ErrExpired) {
		t.Errorf("changes since 101: error %v, want ErrExpired", err)
	}
	if _, err := objects.ChangesSince(Pods, 106, 10); !errors.Is(err, ErrFuture) {
		t.Errorf("changes since 106: error %v, want ErrFuture", err)
	}
	if changes, err := objects.ChangesSince(Pods, 102, 2); err != nil || len(changes) != 2 || changes[0].Revision != 103 {
		t.Errorf("changes since 102: %v, error %v; want two changes from 103 on", changes, err)
	}
	snapshot := objects.Snapshot(Pods)
	objects.KeepSnapshot(1000, snapshot)
	objects.Put(Pods, newPod("a", "later"))
	if kept, err := objects.FindSnapshot(1001, Pods, snapshot.Revision); err != nil || kept.Len() != 5 {
		t.Errorf("kept snapshot is not found or was changed: error %v", err)
	}
	if _, err := objects.FindSnapshot(1000+snapshotRetention+1, Pods, snapshot.Revision); !errors.Is(err, ErrExpired) {
		t.Errorf("snapshot past its retention: error %v, want ErrExpired", err)
	}
}

// TestHistoryIsBoundedInBytes checks the limit on the cost of the history. Large changes are put first, of
// which the history keeps fewer; small changes must then be kept in full number again. Deleted objects must
// not count towards the cost.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	const maxCost = 8 << 20
	objects := NewBounded(1, 1000, maxCost)
	for i := range 300 {
		pod := newPod("default", fmt.Sprint("p", i%10))
		if i < 200 {
			pod.Annotations = map[string]string{"a": strings.Repeat("x", 200<<10)}
		}
		objects.Put(Pods, pod)
		if objects.HistoryCost() > maxCost {
			t.Fatalf("after %d changes, the history costs %d bytes, which is above its limit", i+1, objects.HistoryCost())
		}
		if changes, err := objects.ChangesSince(Pods, objects.Revision()-1, 10); err != nil || len(changes) != 1 {
			t.Fatalf("history does not have the last change: error %v", err)
		}
	}
	if changes, err := objects.ChangesSince(Pods, objects.Revision()-90, 100); err != nil || len(changes) != 90 {
		t.Errorf("history has %d of the last 90 small changes: error %v", len(changes), err)
	}
	snapshot := objects.Snapshot(Pods)
	for i := range 10 {
		objects.Delete(Pods, "default", fmt.Sprint("p", i))
	}
	if objects.ObjectCost() != 0 {
		t.Errorf("object cost is %d bytes after all objects were deleted, want 0", objects.ObjectCost())
	}
	objects.KeepSnapshot(0, snapshot)
	for i := range 2000 {
		objects.Put(Pods, newPod("default", fmt.Sprint("q", i%10)))
	}
	if _, err := objects.FindSnapshot(1, Pods, snapshot.Revision); !errors.Is(err, ErrExpired) || !objects.Outdated(snapshot) {
		t.Errorf("snapshot older than the history: error %v, want ErrExpired and an outdated snapshot", err)
	}
}
