// Package store keeps API objects, as etcd does for the Kubernetes API server. Each change of an object gets
// a revision. Requests that list objects are answered from a consistent snapshot, and requests that watch
// objects are answered from a bounded history of changes.
//
// Package engine writes to the store of a scheduler, and package api reads from it. For tests, package
// emulator emulates nodes and the inventory, which is the API that lists all nodes; each of them has its own
// store.
//
// The package is pure: it uses no I/O, no clock and no goroutines. A Store must be used by one goroutine at
// a time; a Snapshot may be read by several goroutines. Stored objects must not be changed.
//
// New readers should start with Store.Put, which records a Change, with Store.ChangesSince, which serves
// watch requests, and with Snapshot in snapshot.go, which serves list requests.
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

// The store has a table for each of these resources.
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

// These are the kinds of changes.
const (
	Added Op = iota
	Modified
	Deleted
)

// Change is one entry in the history of a table.
type Change struct {
	Revision int64
	Op       Op
	Object   Object // object after the change; for Deleted, the last state of the object with the revision of the deletion
	Previous Object // object before the change; nil for Added

	// JSON and Binary are cached encodings of Object. The first reader that needs an encoding sets it. The
	// other readers then do not have to encode Object again.
	JSON   []byte
	Binary []byte

	cost int64 // estimated memory in bytes, as returned by Cost
}

// These errors are returned by read operations. The API server sends their texts to clients in statuses.
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
	historyLength  int        // maximum number of changes that the history of each table keeps
	maxHistoryCost int64      // maximum cost of the histories of all tables in bytes; 0 means no limit
	keptSnapshots  []Snapshot // snapshots for clients that read a list in pages
}

// New returns an empty Store. The first change has a revision greater than base, and the history of each
// table keeps up to historyLength changes. If each process passes a base that grows with time, the revisions
// of a restarted process are greater than those of the process before it.
func New(base int64, historyLength int) *Store { return NewBounded(base, historyLength, 0) }

// NewBounded returns a Store like New and also limits the total cost of the histories of all tables to
// maxHistoryCost bytes, as estimated by Cost. The histories then keep fewer changes if the objects are
// large. A maxHistoryCost of 0 means no limit.
func NewBounded(base int64, historyLength int, maxHistoryCost int64) *Store {
	s := &Store{revision: base, historyLength: max(historyLength, 1), maxHistoryCost: maxHistoryCost}
	for i := range s.tables {
		s.tables[i].lastDroppedRevision = base
	}
	return s
}

// Revision returns the revision of the last change in any table.
func (s *Store) Revision() int64 { return s.revision }

// Key returns the key by which a table stores an object.
func Key(namespace, name string) string { return namespace + "/" + name }

// Get returns a stored object, or nil if there is none.
func (s *Store) Get(resource Resource, namespace, name string) Object {
	if change := s.LastChange(resource, namespace, name); change != nil {
		return change.Object
	}
	return nil
}

// LastChange returns the last change of a stored object, or nil if the object is not stored.
func (s *Store) LastChange(resource Resource, namespace, name string) *Change {
	change, _ := s.tables[resource].objects.Get(Key(namespace, name)) // The result is nil if the key is not stored.
	return change
}

// Len returns the number of objects in a table.
func (s *Store) Len(resource Resource) int { return s.tables[resource].objects.Len() }

// Cost computes its estimate from these values, which make the estimate too high rather than too low.
const (
	costPerObject = 2048 // bytes for an object in addition to its fields
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
func (s *Store) Put(resource Resource, object Object) int64 {
	table := &s.tables[resource]
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
func (s *Store) Delete(resource Resource, namespace, name string) bool {
	table := &s.tables[resource]
	previous, ok := table.objects.Delete(Key(namespace, name))
	if !ok {
		return false
	}
	s.revision++
	lastState := previous.Object.DeepCopyObject().(Object)
	lastState.SetResourceVersion(strconv.FormatInt(s.revision, 10))
	table.objectCost -= previous.cost
	change := &Change{Revision: s.revision, Op: Deleted, Object: lastState, Previous: previous.Object, cost: previous.cost}
	table.appendChange(change, s.historyLength)
	s.trimHistories()
	return true
}

// trimHistories drops old changes until the total cost of all histories is within its limit. It always drops
// the oldest change of the history with the highest cost. Each history keeps its last change, because a watch
// that has read all changes must not expire.
func (s *Store) trimHistories() {
	for s.maxHistoryCost > 0 && s.HistoryCost() > s.maxHistoryCost {
		costliestTable := s.tableWithCostliestHistory()
		if costliestTable == nil {
			return
		}
		costliestTable.trimHistory(costliestTable.historyLength() - 1)
	}
}

// tableWithCostliestHistory returns the table whose history has the highest cost. It ignores histories with
// fewer than two changes, and returns nil if there are no others.
func (s *Store) tableWithCostliestHistory() *table {
	var costliestTable *table
	for i := range s.tables {
		table := &s.tables[i]
		if table.historyLength() <= 1 {
			continue
		}
		if costliestTable == nil || table.historyCost > costliestTable.historyCost {
			costliestTable = table
		}
	}
	return costliestTable
}

// ChangesSince returns up to limit changes of a table that are newer than a revision, the oldest first. The
// slice is valid until the next change of the store. The error is ErrExpired or ErrFuture.
func (s *Store) ChangesSince(resource Resource, revision int64, limit int) ([]*Change, error) {
	table := &s.tables[resource]
	if revision < table.lastDroppedRevision {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", resource, revision, ErrExpired, table.lastDroppedRevision)
	}
	if revision > s.revision {
		return nil, fmt.Errorf("%s: revision %d: %w (%d)", resource, revision, ErrFuture, s.revision)
	}
	return table.changesAfter(revision, limit), nil
}

// table holds the objects of one resource and the history of their changes.
type table struct {
	objects    btree.Map[string, *Change] // last change of each stored object by the object's Key
	objectCost int64                      // total cost of the stored objects in bytes

	history             []*Change // changes in order of revision; entries before firstKeptIndex are nil
	firstKeptIndex      int       // index in history of the oldest change that is kept
	historyCost         int64     // total cost of the kept changes in bytes
	lastDroppedRevision int64     // revision of the last change that was dropped from the history
}

func (t *table) historyLength() int { return len(t.history) - t.firstKeptIndex }

// appendChange appends a change to the history and then drops old changes until the history has at most
// length changes.
func (t *table) appendChange(change *Change, length int) {
	t.history = append(t.history, change)
	t.historyCost += change.cost
	t.trimHistory(length)
}

// minCompaction is the number of entries for dropped changes that a history may have before the history is
// copied without these entries to free their memory.
const minCompaction = 1024

// trimHistory drops the oldest changes until the history has at most length changes.
func (t *table) trimHistory(length int) {
	for t.historyLength() > length {
		droppedChange := t.history[t.firstKeptIndex]
		t.lastDroppedRevision = droppedChange.Revision
		t.historyCost -= droppedChange.cost
		t.history[t.firstKeptIndex] = nil
		t.firstKeptIndex++
		if t.firstKeptIndex > minCompaction && t.firstKeptIndex > len(t.history)/2 {
			t.history = append([]*Change(nil), t.history[t.firstKeptIndex:]...)
			t.firstKeptIndex = 0
		}
	}
}

// changesAfter returns up to limit changes that are newer than a revision, the oldest first. It finds the
// oldest one by binary search.
func (t *table) changesAfter(revision int64, limit int) []*Change {
	history := t.history[t.firstKeptIndex:]
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
