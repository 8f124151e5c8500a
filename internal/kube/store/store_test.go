package store

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	corev1 "k8s.io/api/core/v1"
	"pgregory.net/rapid"

	"heathshed/internal/testsupport/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

func pod(ns, name string) *corev1.Pod {
	p := &corev1.Pod{}
	p.Namespace, p.Name = ns, name
	return p
}

// TestStore makes random changes: revisions grow by one, a snapshot never changes, and a snapshot with the changes since gives the present
// state.
func TestStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Int64Range(0, 1e15).Draw(t, "base")
		keep := rapid.IntRange(1, 50).Draw(t, "keep")
		s := New(base, keep)
		want := map[string]Object{}
		var old Snapshot
		var oldWant map[string]Object
		for i := range rapid.IntRange(1, 120).Draw(t, "n") {
			ns, name := fmt.Sprint("ns", i%3), fmt.Sprint("p", rapid.IntRange(0, 15).Draw(t, "name"))
			rev := s.Rev()
			if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
				_, had := want[Key(ns, name)]
				if s.Delete(Pods, ns, name) != had {
					t.Fatal("delete and state disagree")
				}
				delete(want, Key(ns, name))
				if had != (s.Rev() == rev+1) {
					t.Fatal("revision")
				}
			} else {
				p := pod(ns, name)
				want[Key(ns, name)] = p
				if s.Put(Pods, p); s.Rev() != rev+1 || p.ResourceVersion != fmt.Sprint(s.Rev()) {
					t.Fatal("revision")
				}
			}
			if i == 10 {
				old, oldWant = s.Snapshot(Pods), map[string]Object{}
				for k, v := range want {
					oldWant[k] = v
				}
			}
		}
		check := func(sn Snapshot, want map[string]Object) {
			n, last := 0, ""
			sn.Scan("", "", func(k string, c *Change) bool {
				if want[k] != c.Object || k <= last && last != "" {
					t.Fatalf("%s is not what was put, or out of order", k)
				}
				n++
				last = k
				return true
			})
			if n != len(want) {
				t.Fatalf("%d objects, want %d", n, len(want))
			}
		}
		check(s.Snapshot(Pods), want)
		if oldWant == nil {
			return
		}
		check(old, oldWant)
		changes, err := s.Since(Pods, old.Rev, 1000)
		if errors.Is(err, ErrExpired) {
			if s.Rev()-old.Rev <= int64(keep) {
				t.Fatal("history is dropped too soon")
			}
			return
		}
		for _, c := range changes {
			k := Key(c.Object.GetNamespace(), c.Object.GetName())
			if prev, had := oldWant[k]; had != (c.Op != Added) || had && prev != c.Prev {
				t.Fatalf("revision %d does not follow", c.Rev)
			}
			if c.Op == Deleted {
				delete(oldWant, k)
			} else {
				oldWant[k] = c.Object
			}
		}
		check(s.Snapshot(Pods), oldWant)
	})
}

// TestSinceBounds reads changes and snapshots at the ends of what is kept.
func TestSinceBounds(t *testing.T) {
	s := New(100, 3)
	for i := range 5 {
		s.Put(Pods, pod("a", fmt.Sprint(i)))
	}
	if _, err := s.Since(Pods, 101, 10); !errors.Is(err, ErrExpired) {
		t.Errorf("101: %v, want expired", err)
	}
	if _, err := s.Since(Pods, 106, 10); !errors.Is(err, ErrFuture) {
		t.Errorf("106: %v, want future", err)
	}
	if c, err := s.Since(Pods, 102, 2); err != nil || len(c) != 2 || c[0].Rev != 103 {
		t.Errorf("102: %v, %v", c, err)
	}
	sn := s.Snapshot(Pods)
	s.KeepSnapshot(1000, sn)
	s.Put(Pods, pod("a", "later"))
	if got, err := s.FindSnapshot(1001, Pods, sn.Rev); err != nil || got.Len() != 5 {
		t.Errorf("kept: %v", err)
	}
	if _, err := s.FindSnapshot(1000+snapshotRetention+1, Pods, sn.Rev); !errors.Is(err, ErrExpired) {
		t.Errorf("kept too long: %v", err)
	}
}

// TestHistoryIsBoundedInBytes puts large changes, of which fewer are kept. Small ones are then kept in full number again, and deleted objects
// cost nothing any more.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	const most = 8 << 20
	s := NewBounded(1, 1000, most)
	for i := range 300 {
		p := &corev1.Pod{}
		p.Namespace, p.Name = "default", fmt.Sprint("p", i%10)
		if i < 200 {
			p.Annotations = map[string]string{"a": strings.Repeat("x", 200<<10)}
		}
		s.Put(Pods, p)
		if s.HistoryCost() > most {
			t.Fatalf("after %d changes the history costs %d", i+1, s.HistoryCost())
		}
		if got, err := s.Since(Pods, s.Rev()-1, 10); err != nil || len(got) != 1 {
			t.Fatalf("the last change is not kept: %v", err)
		}
	}
	if n, err := s.Since(Pods, s.Rev()-90, 100); err != nil || len(n) != 90 {
		t.Errorf("small changes are kept again: %d, %v", len(n), err)
	}
	sn := s.Snapshot(Pods)
	for i := range 10 {
		s.Delete(Pods, "default", fmt.Sprint("p", i))
	}
	if s.ObjectCost() != 0 {
		t.Errorf("%d bytes of deleted objects", s.ObjectCost())
	}
	s.KeepSnapshot(0, sn)
	for i := range 2000 {
		p := &corev1.Pod{}
		p.Namespace, p.Name = "default", fmt.Sprint("q", i%10)
		s.Put(Pods, p)
	}
	if _, err := s.FindSnapshot(1, Pods, sn.Rev); !errors.Is(err, ErrExpired) || !s.Outdated(sn) {
		t.Errorf("a snapshot that the history has passed is kept: %v", err)
	}
}
