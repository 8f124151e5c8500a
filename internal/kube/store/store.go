// Package store keeps API objects, as etcd does for the Kubernetes API server. Each change gets a revision,
// lists read from consistent snapshots, and watches read from a bounded history of changes. Package engine
// writes to its store and package api reads from it. The emulated inventory has a store of its own.
//
// The package is pure: it uses no I/O, no clock and no goroutines. A Store must be used by one goroutine at
// a time; a Snapshot may be read by several goroutines. Stored objects must not be changed.
//
// Start reading at Store.Put, which records a Change, at Store.ChangesSince, from which watches read, and
// at Snapshot in snapshot.go, from which lists read.
package store

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/btree"
	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
	"k8s.io/apimachinery/pkg/runtime"
)

// Object is an API object with its metadata.
type Object interface {
	metav1.Object
	runtime.Object
}

// Resource identifies a table of the store.
type Resource uint8

// Tables of the store.
const (
	Jobs Resource = iota
	Pods
	Nodes
	Namespaces
	resourceCount
)

var resourceNames = [resourceCount]string{"jobs", "pods", "nodes", "namespaces"}

// String returns the plural name that the API uses for the resource.
func (r Resource) String() string { return resourceNames[r] }

// Op is the kind of a change.
type Op uint8

// Kinds of changes.
const (
	Added Op = iota
	Modified
	Deleted
)

// Change is one entry in the history of a table.
type Change struct {
	Revision int64
	Op       Op
	Object   Object // state after the change; for Deleted, the last state with the revision of the deletion
	Previous Object // state before the change; nil for Added

	// JSON and Binary are cached encodings of Object. The first reader that needs an encoding sets it, so
	// that Object is encoded only once for all watches.
	JSON   []byte
	Binary []byte

	cost int64 // estimated memory in bytes, as returned by Cost
}

// Errors of read operations. The API server returns them to clients as statuses with these texts.
var (
	// ErrExpired means that the history no longer reaches back to the requested revision. The client must
	// list the objects again.
	ErrExpired = errors.New("the revision is older than the history that is kept")
	// ErrFuture means that the requested revision does not exist yet.
	ErrFuture = errors.New("the revision lies in the future")
)

// Store is a set of tables that share one sequence of revisions. It owns the objects, the histories of
// changes and the kept snapshots.
type Store struct {
	revision       int64
	tables         [resourceCount]table
	historyLength  int   // maximum number of changes in the history of each table
	maxHistoryCost int64 // maximum cost of the histories of all tables in bytes; 0 means no limit
	snapshots      []Snapshot
}

// New returns an empty Store. The first change has a revision greater than base, and the history of each
// table keeps up to historyLength changes. If each process passes a base that grows with time, revisions
// also grow across restarts.
func New(base int64, historyLength int) *Store { return NewBounded(base, historyLength, 0) }

// NewBounded returns a Store like New and also limits the total cost of the histories of all tables to
// maxHistoryCost bytes, as estimated by Cost. The histories then keep fewer changes if the objects are
// large. A maxHistoryCost of 0 means no limit.
func NewBounded(base int64, historyLength int, maxHistoryCost int64) *Store {
	s := &Store{revision: base, historyLength: max(historyLength, 1), maxHistoryCost: maxHistoryCost}
	for i := range s.tables {
		s.tables[i].lastDropped = base
	}
	return s
}

// Revision returns the revision of the last change in any table.
func (s *Store) Revision() int64 { return s.revision }

// Key returns the key by which a table stores an object.
func Key(namespace, name string) string { return namespace + "/" + name }

// Get returns a stored object, or nil if there is none.
func (s *Store) Get(r Resource, namespace, name string) Object {
	if change := s.LastChange(r, namespace, name); change != nil {
		return change.Object
	}
	return nil
}

// LastChange returns the last change of a stored object, or nil if the object is not stored.
func (s *Store) LastChange(r Resource, namespace, name string) *Change {
	change, _ := s.tables[r].objects.Get(Key(namespace, name)) // Get returns nil for a key that is not stored.
	return change
}

// Len returns the number of objects in a table.
func (s *Store) Len(r Resource) int { return s.tables[r].objects.Len() }

// Factors of Cost. They overestimate the memory use.
const (
	costPerObject = 2048 // bytes per object in addition to its fields
	costPerByte   = 5    // bytes for the fields and the cached encodings, per byte of the binary encoding
)

// Cost returns an upper estimate of the memory in bytes that a stored object and its cached encodings use.
func Cost(object Object) int64 {
	size := 0
	if sized, ok := object.(interface{ Size() int }); ok {
		size = sized.Size()
	}
	return costPerObject + costPerByte*int64(size)
}

// ObjectCost returns the total cost of all stored objects in bytes.
func (s *Store) ObjectCost() (total int64) {
	for i := range s.tables {
		total += s.tables[i].objectCost
	}
	return total
}

// HistoryCost returns the total cost of all changes in the histories in bytes.
func (s *Store) HistoryCost() (total int64) {
	for i := range s.tables {
		total += s.tables[i].historyCost
	}
	return total
}

// Put adds or replaces an object, sets its resource version and returns the revision of the change. The
// caller must not modify the object afterwards.
func (s *Store) Put(r Resource, object Object) int64 {
	table := &s.tables[r]
	s.revision++
	object.SetResourceVersion(strconv.FormatInt(s.revision, 10))
	change := &Change{Revision: s.revision, Op: Added, Object: object, cost: Cost(object)}
	if previous, replaced := table.objects.Set(Key(object.GetNamespace(), object.GetName()), change); replaced {
		change.Op = Modified
		change.Previous = previous.Object
		table.objectCost -= previous.cost
	}
	table.objectCost += change.cost
	table.appendChange(change, s.historyLength)
	s.trimHistories()
	return s.revision
}

// Delete removes an object. It returns false if the object is not stored.
func (s *Store) Delete(r Resource, namespace, name string) bool {
	table := &s.tables[r]
	previous, ok := table.objects.Delete(Key(namespace, name))
	if !ok {
		return false
	}
	s.revision++
	last := previous.Object.DeepCopyObject().(Object)
	last.SetResourceVersion(strconv.FormatInt(s.revision, 10))
	table.objectCost -= previous.cost
	change := &Change{Revision: s.revision, Op: Deleted, Object: last, Previous: previous.Object, cost: previous.cost}
	table.appendChange(change, s.historyLength)
	s.trimHistories()
	return true
}

// trimHistories drops the oldest changes until the cost of all histories is within its limit. It always
// takes them from the table with the most expensive history. Each table keeps its last change, so that a
// watch that has read all changes never expires.
func (s *Store) trimHistories() {
	for s.maxHistoryCost > 0 && s.HistoryCost() > s.maxHistoryCost {
		costliest := s.costliestHistory()
		if costliest == nil {
			return
		}
		costliest.trimHistory(costliest.historyLength() - 1)
	}
}

// costliestHistory returns the table whose history has the highest cost among those with more than one
// change. It returns nil if no history has more than one change.
func (s *Store) costliestHistory() *table {
	var costliest *table
	for i := range s.tables {
		table := &s.tables[i]
		if table.historyLength() <= 1 {
			continue
		}
		if costliest == nil || table.historyCost > costliest.historyCost {
			costliest = table
		}
	}
	return costliest
}

// ChangesSince returns up to limit changes of a table that are newer than a revision, the oldest first. The
// slice is valid until the next change of the store. The error is ErrExpired or ErrFuture.
func (s *Store) ChangesSince(r Resource, revision int64, limit int) ([]*Change, error) {
	table := &s.tables[r]
	if revision < table.lastDropped {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", r, revision, ErrExpired, table.lastDropped)
	}
	if revision > s.revision {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", r, revision, ErrFuture, s.revision)
	}
	return table.changesAfter(revision, limit), nil
}

// table holds the objects of one resource and the history of their changes.
type table struct {
	objects    btree.Map[string, *Change] // last change of each stored object by its Key
	objectCost int64

	history     []*Change // changes in order of revision; those before index firstKept have been dropped
	firstKept   int
	historyCost int64
	lastDropped int64 // revision of the last change that was dropped from the history
}

func (t *table) historyLength() int { return len(t.history) - t.firstKept }

// appendChange appends a change to the history and then trims the history to at most length changes.
func (t *table) appendChange(change *Change, length int) {
	t.history = append(t.history, change)
	t.historyCost += change.cost
	t.trimHistory(length)
}

// minCompaction is the number of dropped entries that the front of a history may have before the history is
// copied to free their memory.
const minCompaction = 1024

// trimHistory drops the oldest changes until the history has at most length changes.
func (t *table) trimHistory(length int) {
	for t.historyLength() > length {
		dropped := t.history[t.firstKept]
		t.lastDropped = dropped.Revision
		t.historyCost -= dropped.cost
		t.history[t.firstKept] = nil
		t.firstKept++
		if t.firstKept > minCompaction && t.firstKept > len(t.history)/2 {
			t.history = append([]*Change(nil), t.history[t.firstKept:]...)
			t.firstKept = 0
		}
	}
}

// changesAfter returns up to limit changes that are newer than a revision. It finds the first of them by
// binary search.
func (t *table) changesAfter(revision int64, limit int) []*Change {
	history := t.history[t.firstKept:]
	if len(history) == 0 || history[len(history)-1].Revision <= revision {
		return nil
	}
	low, high := 0, len(history)
	for low < high {
		middle := (low + high) / 2
		if history[middle].Revision <= revision {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return history[low:min(len(history), low+limit)]
}
