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
	resourceCount
)

var resourceNames = [resourceCount]string{"jobs", "pods", "nodes", "namespaces"}

func (r Resource) String() string { return resourceNames[r] }

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
	JSON         []byte // as JSON
	Binary       []byte // in the binary encoding
}

// Errors of a read that cannot be served.
var (
	ErrExpired = errors.New("the revision is older than the history that is kept")
	ErrFuture  = errors.New("the revision lies in the future")
)

// Store is a set of tables that share one revision.
type Store struct {
	rev            int64
	tables         [resourceCount]table
	historyLength  int
	maxHistoryCost int64 // cost of the histories of all tables, 0 is no bound
	snapshots      []Snapshot
}

type table struct {
	objects btree.Map[string, *Change] // the last change of each
	// history holds changes in order of revision from position head on; lost is the revision of the last one dropped.
	history     []*Change
	head        int
	lastDropped int64
	historyCost int64 // cost of the history
	objectCost  int64 // cost of the objects
}

// New makes a store whose first change gets a revision above base, and which keeps at least so many changes per table.
// A base that grows with time lets revisions go on growing over restarts.
func New(base int64, historyLength int) *Store { return NewBounded(base, historyLength, 0) }

// NewBounded is New with a bound on the memory of all histories together, in bytes as Cost counts them: fewer changes are kept where they
// are large. 0 is no bound.
func NewBounded(base int64, historyLength int, maxHistoryCost int64) *Store {
	s := &Store{rev: base, historyLength: max(historyLength, 1), maxHistoryCost: maxHistoryCost}
	for i := range s.tables {
		s.tables[i].lastDropped = base
	}
	return s
}

// Rev is the revision of the last change.
func (s *Store) Rev() int64 { return s.rev }

// Key is the place of an object in its table.
func Key(namespace, name string) string { return namespace + "/" + name }

// Get returns an object or nil.
func (s *Store) Get(r Resource, namespace, name string) Object {
	if change := s.Last(r, namespace, name); change != nil {
		return change.Object
	}
	return nil
}

// Last returns the change that brought an object to its present state, or nil.
func (s *Store) Last(r Resource, namespace, name string) *Change {
	change, _ := s.tables[r].objects.Get(Key(namespace, name))
	return change
}

// Len is the number of objects in a table.
func (s *Store) Len(r Resource) int { return s.tables[r].objects.Len() }

// Cost is the memory that an object takes while it is kept, in bytes: itself, and its texts in each encoding. It is counted high.
func Cost(object Object) int64 {
	size := 0
	if sized, ok := object.(interface{ Size() int }); ok {
		size = sized.Size()
	}
	return 2048 + 5*int64(size)
}

// ObjectCost is the cost of all objects that stand, Past that of the history.
func (s *Store) ObjectCost() (total int64) {
	for i := range s.tables {
		total += s.tables[i].objectCost
	}
	return total
}

// HistoryCost is the cost of the changes that are kept.
func (s *Store) HistoryCost() (total int64) {
	for i := range s.tables {
		total += s.tables[i].historyCost
	}
	return total
}

// Put adds or replaces an object and sets its resourceVersion. The caller gives the object away.
func (s *Store) Put(r Resource, object Object) int64 {
	table := &s.tables[r]
	s.rev++
	object.SetResourceVersion(strconv.FormatInt(s.rev, 10))
	change := &Change{Rev: s.rev, Op: Added, Object: object, cost: Cost(object)}
	if prev, replaced := table.objects.Set(Key(object.GetNamespace(), object.GetName()), change); replaced {
		change.Op, change.Prev = Modified, prev.Object
		table.objectCost -= prev.cost
	}
	table.objectCost += change.cost
	table.appendChange(change, s.historyLength)
	s.trimHistories()
	return s.rev
}

// Delete takes an object out. It returns false if there was none.
func (s *Store) Delete(r Resource, namespace, name string) bool {
	table := &s.tables[r]
	was, ok := table.objects.Delete(Key(namespace, name))
	if !ok {
		return false
	}
	s.rev++
	prev := was.Object
	last := prev.DeepCopyObject().(Object)
	last.SetResourceVersion(strconv.FormatInt(s.rev, 10))
	table.objectCost -= was.cost
	table.appendChange(&Change{Rev: s.rev, Op: Deleted, Object: last, Prev: prev, cost: was.cost}, s.historyLength)
	s.trimHistories()
	return true
}

// trimHistories drops changes, the oldest of the table whose history costs most first, until all fit. The last change of a table is always kept, so
// that who keeps up is never told that it is too old.
func (s *Store) trimHistories() {
	for s.maxHistoryCost > 0 && s.HistoryCost() > s.maxHistoryCost {
		var costliest *table
		for i := range s.tables {
			if table := &s.tables[i]; len(table.history)-table.head > 1 && (costliest == nil || table.historyCost > costliest.historyCost) {
				costliest = table
			}
		}
		if costliest == nil {
			return
		}
		costliest.trimHistory(len(costliest.history) - costliest.head - 1)
	}
}

func (t *table) appendChange(change *Change, historyLength int) {
	t.history = append(t.history, change)
	t.historyCost += change.cost
	t.trimHistory(historyLength)
}

// trimHistory leaves the last so many changes.
func (t *table) trimHistory(length int) {
	for len(t.history)-t.head > length {
		t.lastDropped = t.history[t.head].Rev
		t.historyCost -= t.history[t.head].cost
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
func (s *Store) Since(r Resource, rev int64, limit int) ([]*Change, error) {
	table := &s.tables[r]
	if rev < table.lastDropped {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", r, rev, ErrExpired, table.lastDropped)
	}
	if rev > s.rev {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", r, rev, ErrFuture, s.rev)
	}
	history := table.history[table.head:]
	if len(history) == 0 || history[len(history)-1].Rev <= rev {
		return nil, nil
	}
	lo, hi := 0, len(history)
	for lo < hi {
		if middle := (lo + hi) / 2; history[middle].Rev <= rev {
			lo = middle + 1
		} else {
			hi = middle
		}
	}
	return history[lo:min(len(history), lo+limit)], nil
}

// Snapshot is a table as it stood at one revision.
type Snapshot struct {
	Resource Resource
	Rev      int64
	objects  *btree.Map[string, *Change]
	keptAt   float64
}

// Snapshot returns the table as it stands. It costs the same whatever the table holds.
func (s *Store) Snapshot(r Resource) Snapshot {
	return Snapshot{Resource: r, Rev: s.rev, objects: s.tables[r].objects.Copy()}
}

const (
	maxSnapshots      = 64
	snapshotRetention = 300.0 // seconds
)

// KeepSnapshot remembers a snapshot, so that a list can go on from it. The oldest gives way when there are many.
func (s *Store) KeepSnapshot(now float64, snapshot Snapshot) {
	s.expireSnapshots(now)
	for i := range s.snapshots {
		if s.snapshots[i].Rev == snapshot.Rev && s.snapshots[i].Resource == snapshot.Resource {
			s.snapshots[i].keptAt = now
			return
		}
	}
	snapshot.keptAt = now
	if len(s.snapshots) >= maxSnapshots {
		s.snapshots = append(s.snapshots[:0], s.snapshots[1:]...)
	}
	s.snapshots = append(s.snapshots, snapshot)
}

func (s *Store) expireSnapshots(now float64) {
	remaining := 0
	for _, snapshot := range s.snapshots {
		if now-snapshot.keptAt <= snapshotRetention && !s.Outdated(snapshot) {
			s.snapshots[remaining] = snapshot
			remaining++
		}
	}
	clear(s.snapshots[remaining:])
	s.snapshots = s.snapshots[:remaining]
}

// Outdated says that the history no longer reaches back to a snapshot. Who still holds it keeps alive what nobody else does.
func (s *Store) Outdated(snapshot Snapshot) bool {
	return snapshot.Rev < s.tables[snapshot.Resource].lastDropped
}

// FindSnapshot finds a snapshot that was kept, or the present one if it is of that revision.
func (s *Store) FindSnapshot(now float64, r Resource, rev int64) (Snapshot, error) {
	s.expireSnapshots(now)
	for _, snapshot := range s.snapshots {
		if snapshot.Rev == rev && snapshot.Resource == r {
			return snapshot, nil
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
func (sn Snapshot) Scan(namespace, after string, visit func(key string, change *Change) bool) {
	prefix := ""
	if namespace != "" {
		prefix = namespace + "/"
	}
	sn.objects.Ascend(max(prefix, after), func(key string, change *Change) bool {
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		return key == after || visit(key, change)
	})
}
