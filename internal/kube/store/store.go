// Package store keeps API objects with a revision for every change, consistent snapshots for lists, and a bounded history of changes for
// watches, as etcd does for the Kubernetes API server. Package engine writes to it, package api reads it; an emulated inventory has a store of
// its own.
//
// It is pure: no I/O, no clock, no goroutines. A Store must be used by one goroutine at a time; a Snapshot may be read by any. Stored
// objects must not be changed.
//
// Begin reading at Store.Put, which records a Change, Store.ChangesSince, which watches read from, and Snapshot (snapshot.go), which lists read from.
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

// String returns the plural name of the resource in the API.
func (r Resource) String() string { return resourceNames[r] }

// Op is a kind of change.
type Op uint8

// The kinds of changes.
const (
	Added Op = iota
	Modified
	Deleted
)

// Change is one entry of the history.
type Change struct {
	Revision int64
	Op       Op
	Object   Object // the new state; for Deleted the last state, with the revision of the deletion
	Previous Object // the previous state; nil for Added

	// JSON and Binary are cached encodings of Object. The reader that needs one first sets it, so that Object is encoded once for all watches.
	JSON   []byte
	Binary []byte

	cost int64 // see Cost
}

// Errors of reads. The API server turns them into statuses, with their texts as messages.
var (
	// ErrExpired means that the revision is no longer in the history. The caller must list again.
	ErrExpired = errors.New("the revision is older than the history that is kept")
	// ErrFuture means that the revision does not exist yet.
	ErrFuture = errors.New("the revision lies in the future")
)

// Store is a set of tables that share one sequence of revisions. It owns the objects, the histories and the kept snapshots.
type Store struct {
	revision       int64
	tables         [resourceCount]table
	historyLength  int   // changes per table
	maxHistoryCost int64 // of the histories of all tables; 0 means no limit
	snapshots      []Snapshot
}

// New returns an empty Store whose first change has a revision above base. It keeps up to historyLength changes per table. If base grows
// with time, revisions grow over restarts.
func New(base int64, historyLength int) *Store { return NewBounded(base, historyLength, 0) }

// NewBounded returns a Store like New that also bounds the cost of the histories of all tables together, in bytes as Cost counts: fewer changes
// are kept if they are large. A maxHistoryCost of 0 means no limit.
func NewBounded(base int64, historyLength int, maxHistoryCost int64) *Store {
	s := &Store{revision: base, historyLength: max(historyLength, 1), maxHistoryCost: maxHistoryCost}
	for i := range s.tables {
		s.tables[i].lastDropped = base
	}
	return s
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 { return s.revision }

// Key returns the key of an object in its table.
func Key(namespace, name string) string { return namespace + "/" + name }

// Get returns a stored object, nil if there is none.
func (s *Store) Get(r Resource, namespace, name string) Object {
	if change := s.LastChange(r, namespace, name); change != nil {
		return change.Object
	}
	return nil
}

// LastChange returns the last change of a stored object, nil if there is no such object.
func (s *Store) LastChange(r Resource, namespace, name string) *Change {
	change, _ := s.tables[r].objects.Get(Key(namespace, name)) // nil if there is none
	return change
}

// Len returns the number of objects in a table.
func (s *Store) Len(r Resource) int { return s.tables[r].objects.Len() }

// Factors of Cost, chosen to overestimate.
const (
	costPerObject = 2048 // bytes beside the fields
	costPerByte   = 5    // bytes per byte of the binary encoding, for the fields and the cached encodings
)

// Cost returns an upper estimate of the memory in bytes that a stored object and its cached encodings take.
func Cost(object Object) int64 {
	size := 0
	if sized, ok := object.(interface{ Size() int }); ok {
		size = sized.Size()
	}
	return costPerObject + costPerByte*int64(size)
}

// ObjectCost returns the cost of all stored objects.
func (s *Store) ObjectCost() (total int64) {
	for i := range s.tables {
		total += s.tables[i].objectCost
	}
	return total
}

// HistoryCost returns the cost of all changes in the histories.
func (s *Store) HistoryCost() (total int64) {
	for i := range s.tables {
		total += s.tables[i].historyCost
	}
	return total
}

// Put adds or replaces an object, sets its resource version, and returns the revision. The caller must not change the object afterwards.
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

// Delete removes an object. It returns false if there is none.
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

// trimHistories drops the oldest changes of the table with the costliest history until the limit on all histories is met. The last change of
// each table is kept, so that a watch that has read all changes never expires.
func (s *Store) trimHistories() {
	for s.maxHistoryCost > 0 && s.HistoryCost() > s.maxHistoryCost {
		costliest := s.costliestHistory()
		if costliest == nil {
			return
		}
		costliest.trimHistory(costliest.historyLength() - 1)
	}
}

// costliestHistory returns the table with the costliest history of more than one change, nil if there is none.
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

// ChangesSince returns up to limit changes of a table after a revision, the oldest first. The slice is valid until the next change. The error is
// ErrExpired or ErrFuture.
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

// table has the objects of one resource and the history of their changes.
type table struct {
	objects    btree.Map[string, *Change] // the last change of each object, by Key
	objectCost int64

	history     []*Change // in order of revision, from head on
	head        int
	historyCost int64
	lastDropped int64 // revision of the last change that was dropped from the history
}

func (t *table) historyLength() int { return len(t.history) - t.head }

// appendChange appends a change to the history and trims the history to a length.
func (t *table) appendChange(change *Change, length int) {
	t.history = append(t.history, change)
	t.historyCost += change.cost
	t.trimHistory(length)
}

// minCompaction is the number of dropped entries at the front of a history above which the history is copied to free their memory.
const minCompaction = 1024

// trimHistory drops the oldest changes until the history has at most the given length.
func (t *table) trimHistory(length int) {
	for t.historyLength() > length {
		dropped := t.history[t.head]
		t.lastDropped = dropped.Revision
		t.historyCost -= dropped.cost
		t.history[t.head] = nil
		t.head++
		if t.head > minCompaction && t.head > len(t.history)/2 {
			t.history = append([]*Change(nil), t.history[t.head:]...)
			t.head = 0
		}
	}
}

// changesAfter returns up to limit changes after a revision, by binary search.
func (t *table) changesAfter(revision int64, limit int) []*Change {
	history := t.history[t.head:]
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
