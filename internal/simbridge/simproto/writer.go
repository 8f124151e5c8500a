package simproto

import (
	"encoding/binary"
	"math"
)

const replyHeaderBytes = 12

// watchWithChanges asks for the later changes beside the list.
const watchWithChanges = 1

// Writer builds one reply at a time: Start, any number of actions, Finish. The zero value is ready for use.
type Writer struct {
	buf   []byte
	count uint32
}

// Start begins the reply to the batch of the given number.
func (w *Writer) Start(number uint32) {
	w.buf = append(w.buf[:0], make([]byte, replyHeaderBytes)...)
	binary.LittleEndian.PutUint32(w.buf, number)
	w.count = 0
}

// Finish returns the reply, which is valid until the next Start.
func (w *Writer) Finish() []byte {
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	binary.LittleEndian.PutUint32(w.buf[8:], uint32(len(w.buf)-replyHeaderBytes))
	return w.buf
}

// StartAttempt sends a task to a node. The attempt times out at the clock time until.
func (w *Writer) StartAttempt(instance uint32, id uint64, until float64, node NodeAddress) {
	w.action(ActionStartAttempt, instance)
	w.u64(id)
	w.f64(until)
	w.node(node)
}

// Reject answers that a task was not placed. The client may request it again after so many seconds.
func (w *Writer) Reject(instance uint32, id uint64, afterSeconds float64) {
	w.action(ActionReject, instance)
	w.u64(id)
	w.f64(afterSeconds)
}

// Fail answers that the outcome of a task is not known.
func (w *Writer) Fail(instance uint32, id uint64) {
	w.action(ActionFail, instance)
	w.u64(id)
}

// SetTimer requests an EventTimerFired with the token.
func (w *Writer) SetTimer(instance uint32, token uint64, afterSeconds float64) {
	w.action(ActionSetTimer, instance)
	w.u64(token)
	w.f64(afterSeconds)
}

// WatchNodes requests the node list and its changes.
func (w *Writer) WatchNodes(instance uint32) {
	w.action(ActionWatchNodes, instance)
	w.buf = append(w.buf, watchWithChanges)
}

// ListNodes requests the node list once.
func (w *Writer) ListNodes(instance uint32) { w.action(ActionListNodes, instance) }

// Migrate stops a bound task, which its client then requests again.
func (w *Writer) Migrate(instance uint32, id uint64) {
	w.action(ActionMigrate, instance)
	w.u64(id)
}

// Abort stops waiting for an attempt.
func (w *Writer) Abort(instance uint32, id uint64, attempt uint8) {
	w.action(ActionAbortAttempt, instance)
	w.u64(id)
	w.buf = append(w.buf, attempt)
}

// Log adds a line to the simulator's report.
func (w *Writer) Log(instance uint32, text string) {
	w.action(ActionLog, instance)
	w.text(text)
}

// ReportPanic reports that the code under simulation panicked.
func (w *Writer) ReportPanic(instance uint32, text string) {
	w.action(ActionReportPanic, instance)
	w.text(text)
}

func (w *Writer) action(code ActionCode, instance uint32) {
	w.count++
	w.buf = append(w.buf, byte(code))
	w.buf = binary.LittleEndian.AppendUint32(w.buf, instance)
}

func (w *Writer) u64(v uint64)  { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
func (w *Writer) f64(v float64) { w.u64(math.Float64bits(v)) }

func (w *Writer) node(node NodeAddress) {
	w.buf = binary.LittleEndian.AppendUint32(w.buf, uint32(node))
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(node>>32))
}

// text writes a string with its length, cut to what the length can count.
func (w *Writer) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(len(s)))
	w.buf = append(w.buf, s...)
}
