// Package store keeps API objects with a revision for every change, consistent snapshots for lists, and a bounded
// history for watches.
//
// It is pure: no I/O, clock or goroutine. A Store is for one goroutine; a Snapshot may be read anywhere. Objects that
// were put in are never changed again.
package store

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/tidwall/btree"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
)

// Object is what a store holds.
type Object interface {
	metav1.Object
	runtime.Object
}

// Resource selects a table.
type Resource uint8

// The tables.
const (
	Jobs Resource = iota
	Pods
	Nodes
	Namespaces
	resources
)

var names = [resources]string{"jobs", "pods", "nodes", "namespaces"}

func (r Resource) String() string { return names[r] }

// Op is a kind of change.
type Op uint8

// The kinds.
const (
	Added Op = iota
	Modified
	Deleted
)

// Change is one entry of the history. Prev is what stood before, nil for Added. For Deleted, Object is the last state with
// the revision of the deletion. Cache and
// Binary are for whoever encodes it: one encoding serves every watcher.
type Change struct {
	cost         int64
	Rev          int64
	Op           Op
	Object, Prev Object
	Cache        []byte // as JSON
	Binary       []byte // in the binary encoding
}

// Errors of a read that cannot be served.
var (
	ErrExpired = errors.New("the revision is older than the history that is kept")
	ErrFuture  = errors.New("the revision lies in the future")
)

// Store is a set of tables that share one revision.
type Store struct {
	rev    int64
	tables [resources]table
	keep   int
	most   int64 // cost of the histories of all tables, 0 is no bound
	kept   []Snapshot
}

type table struct {
	objects btree.Map[string, *Change] // the last change of each
	// history holds changes in order of revision from position head on; lost is the revision of the last one dropped.
	history []*Change
	head    int
	lost    int64
	past    int64 // cost of the history
	live    int64 // cost of the objects
}

// New makes a store whose first change gets a revision above base, and which keeps at least so many changes per table.
// A base that grows with time lets revisions go on growing over restarts.
func New(base int64, keep int) *Store { return NewBounded(base, keep, 0) }

// NewBounded is New with a bound on the memory of all histories together, in bytes as Cost counts them: fewer changes are kept where they
// are large. 0 is no bound.
func NewBounded(base int64, keep int, most int64) *Store {
	s := &Store{rev: base, keep: max(keep, 1), most: most}
	for i := range s.tables {
		s.tables[i].lost = base
	}
	return s
}

// Rev is the revision of the last change.
func (s *Store) Rev() int64 { return s.rev }

// Key is the place of an object in its table.
func Key(namespace, name string) string { return namespace + "/" + name }

// Get returns an object or nil.
func (s *Store) Get(r Resource, namespace, name string) Object {
	if c := s.Last(r, namespace, name); c != nil {
		return c.Object
	}
	return nil
}

// Last returns the change that brought an object to its present state, or nil.
func (s *Store) Last(r Resource, namespace, name string) *Change {
	c, _ := s.tables[r].objects.Get(Key(namespace, name))
	return c
}

// Len is the number of objects in a table.
func (s *Store) Len(r Resource) int { return s.tables[r].objects.Len() }

// Cost is the memory that an object takes while it is kept, in bytes: itself, and its texts in each encoding. It is counted high.
func Cost(o Object) int64 {
	size := 0
	if z, ok := o.(interface{ Size() int }); ok {
		size = z.Size()
	}
	return 2048 + 5*int64(size)
}

// Live is the cost of all objects that stand, Past that of the history.
func (s *Store) Live() (n int64) {
	for i := range s.tables {
		n += s.tables[i].live
	}
	return n
}

// Past is the cost of the changes that are kept.
func (s *Store) Past() (n int64) {
	for i := range s.tables {
		n += s.tables[i].past
	}
	return n
}

// Put adds or replaces an object and sets its resourceVersion. The caller gives the object away.
func (s *Store) Put(r Resource, o Object) int64 {
	t := &s.tables[r]
	s.rev++
	o.SetResourceVersion(strconv.FormatInt(s.rev, 10))
	c := &Change{Rev: s.rev, Op: Added, Object: o, cost: Cost(o)}
	if prev, replaced := t.objects.Set(Key(o.GetNamespace(), o.GetName()), c); replaced {
		c.Op, c.Prev = Modified, prev.Object
		t.live -= prev.cost
	}
	t.live += c.cost
	t.add(c, s.keep)
	s.trim()
	return s.rev
}

// Delete takes an object out. It returns false if there was none.
func (s *Store) Delete(r Resource, namespace, name string) bool {
	t := &s.tables[r]
	was, ok := t.objects.Delete(Key(namespace, name))
	if !ok {
		return false
	}
	s.rev++
	prev := was.Object
	last := prev.DeepCopyObject().(Object)
	last.SetResourceVersion(strconv.FormatInt(s.rev, 10))
	t.live -= was.cost
	t.add(&Change{Rev: s.rev, Op: Deleted, Object: last, Prev: prev, cost: was.cost}, s.keep)
	s.trim()
	return true
}

// trim drops changes, the oldest of the table whose history costs most first, until all fit. The last change of a table is always kept, so
// that who keeps up is never told that it is too old.
func (s *Store) trim() {
	for s.most > 0 && s.Past() > s.most {
		var most *table
		for i := range s.tables {
			if t := &s.tables[i]; len(t.history)-t.head > 1 && (most == nil || t.past > most.past) {
				most = t
			}
		}
		if most == nil {
			return
		}
		most.drop(len(most.history) - most.head - 1)
	}
}

func (t *table) add(c *Change, keep int) {
	t.history = append(t.history, c)
	t.past += c.cost
	t.drop(keep)
}

// drop leaves the last so many changes.
func (t *table) drop(keep int) {
	for len(t.history)-t.head > keep {
		t.lost = t.history[t.head].Rev
		t.past -= t.history[t.head].cost
		t.history[t.head] = nil
		t.head++
		if t.head > 1024 && t.head > len(t.history)/2 {
			t.history = append([]*Change(nil), t.history[t.head:]...)
			t.head = 0
		}
	}
}

// Since returns the changes of a table after a revision, oldest first, at most so many. The slice is valid until the next
// change.
func (s *Store) Since(r Resource, rev int64, most int) ([]*Change, error) {
	t := &s.tables[r]
	if rev < t.lost {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", r, rev, ErrExpired, t.lost)
	}
	if rev > s.rev {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", r, rev, ErrFuture, s.rev)
	}
	h := t.history[t.head:]
	if len(h) == 0 || h[len(h)-1].Rev <= rev {
		return nil, nil
	}
	lo, hi := 0, len(h)
	for lo < hi {
		if m := (lo + hi) / 2; h[m].Rev <= rev {
			lo = m + 1
		} else {
			hi = m
		}
	}
	return h[lo:min(len(h), lo+most)], nil
}

// Snapshot is a table as it stood at one revision.
type Snapshot struct {
	Resource Resource
	Rev      int64
	objects  *btree.Map[string, *Change]
	at       float64
}

// Snapshot returns the table as it stands. It costs the same whatever the table holds.
func (s *Store) Snapshot(r Resource) Snapshot {
	return Snapshot{Resource: r, Rev: s.rev, objects: s.tables[r].objects.Copy()}
}

const (
	keptSnapshots = 64
	keptFor       = 300.0 // seconds
)

// Keep remembers a snapshot, so that a list can go on from it. The oldest gives way when there are many.
func (s *Store) Keep(now float64, sn Snapshot) {
	s.expire(now)
	for i := range s.kept {
		if s.kept[i].Rev == sn.Rev && s.kept[i].Resource == sn.Resource {
			s.kept[i].at = now
			return
		}
	}
	sn.at = now
	if len(s.kept) >= keptSnapshots {
		s.kept = append(s.kept[:0], s.kept[1:]...)
	}
	s.kept = append(s.kept, sn)
}

func (s *Store) expire(now float64) {
	n := 0
	for _, k := range s.kept {
		if now-k.at <= keptFor && !s.Overtaken(k) {
			s.kept[n] = k
			n++
		}
	}
	clear(s.kept[n:])
	s.kept = s.kept[:n]
}

// Overtaken says that the history no longer reaches back to a snapshot. Who still holds it keeps alive what nobody else does.
func (s *Store) Overtaken(sn Snapshot) bool { return sn.Rev < s.tables[sn.Resource].lost }

// Kept finds a snapshot that was kept, or the present one if it is of that revision.
func (s *Store) Kept(now float64, r Resource, rev int64) (Snapshot, error) {
	s.expire(now)
	for _, k := range s.kept {
		if k.Rev == rev && k.Resource == r {
			return k, nil
		}
	}
	if rev == s.rev {
		return s.Snapshot(r), nil
	}
	return Snapshot{}, fmt.Errorf("%s: revision %d: %w", r, rev, ErrExpired)
}

// Len is the number of objects.
func (sn Snapshot) Len() int { return sn.objects.Len() }

// Scan calls f for the objects, each as its last change, of a namespace ("" is all) whose key is above after, in order of key, until f says false.
func (sn Snapshot) Scan(namespace, after string, f func(key string, c *Change) bool) {
	prefix := ""
	if namespace != "" {
		prefix = namespace + "/"
	}
	sn.objects.Ascend(max(prefix, after), func(k string, c *Change) bool {
		if !strings.HasPrefix(k, prefix) {
			return false
		}
		return k == after || f(k, c)
	})
}
