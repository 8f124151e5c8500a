package simproto

import (
	"encoding/binary"
	"math"

	"heathshed/placer"
)

const replyHeaderBytes = 12

// watchWithChanges requests later changes in addition to the list.
const watchWithChanges = 1

// Writer builds one reply at a time: Start, any number of actions, Finish. The zero value is ready to use.
type Writer struct {
	reply []byte
	count uint32
}

// Start begins the reply to the batch of the given number.
func (w *Writer) Start(number uint32) {
	w.reply = append(w.reply[:0], make([]byte, replyHeaderBytes)...)
	binary.LittleEndian.PutUint32(w.reply, number)
	w.count = 0
}

// Finish returns the reply, which is valid until the next Start.
func (w *Writer) Finish() []byte {
	binary.LittleEndian.PutUint32(w.reply[4:], w.count)
	binary.LittleEndian.PutUint32(w.reply[8:], uint32(len(w.reply)-replyHeaderBytes))
	return w.reply
}

// StartAttempt sends a task to a node. The attempt times out at the clock time until.
func (w *Writer) StartAttempt(instance uint32, id uint64, until placer.Seconds, node NodeAddress) {
	w.action(ActionStartAttempt, instance)
	w.u64(id)
	w.seconds(until)
	w.node(node)
}

// Reject answers that a task was not placed. The client may request it again after the given time, if it is not 0.
func (w *Writer) Reject(instance uint32, id uint64, after placer.Seconds) {
	w.action(ActionReject, instance)
	w.u64(id)
	w.seconds(after)
}

// Fail answers that the outcome of a request is not known.
func (w *Writer) Fail(instance uint32, id uint64) {
	w.action(ActionFail, instance)
	w.u64(id)
}

// SetTimer requests an EventTimerFired with the token after the given time.
func (w *Writer) SetTimer(instance uint32, token uint64, after placer.Seconds) {
	w.action(ActionSetTimer, instance)
	w.u64(token)
	w.seconds(after)
}

// WatchNodes requests the node list and its changes.
func (w *Writer) WatchNodes(instance uint32) {
	w.action(ActionWatchNodes, instance)
	w.reply = append(w.reply, watchWithChanges)
}

// ListNodes requests the node list once.
func (w *Writer) ListNodes(instance uint32) { w.action(ActionListNodes, instance) }

// Migrate stops a bound task, which its client then requests again.
func (w *Writer) Migrate(instance uint32, id uint64) {
	w.action(ActionMigrate, instance)
	w.u64(id)
}

// AbortAttempt stops waiting for an attempt.
func (w *Writer) AbortAttempt(instance uint32, id uint64, attempt uint8) {
	w.action(ActionAbortAttempt, instance)
	w.u64(id)
	w.reply = append(w.reply, attempt)
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

// action begins an action record.
func (w *Writer) action(code ActionCode, instance uint32) {
	w.count++
	w.reply = append(w.reply, byte(code))
	w.reply = binary.LittleEndian.AppendUint32(w.reply, instance)
}

func (w *Writer) u64(v uint64) { w.reply = binary.LittleEndian.AppendUint64(w.reply, v) }

// seconds writes a time or duration.
func (w *Writer) seconds(v placer.Seconds) { w.u64(math.Float64bits(float64(v))) }

func (w *Writer) node(node NodeAddress) {
	w.reply = binary.LittleEndian.AppendUint32(w.reply, uint32(node))
	w.reply = binary.LittleEndian.AppendUint16(w.reply, uint16(node>>32))
}

// text writes a string with its length, cut to what the length can count.
func (w *Writer) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.reply = binary.LittleEndian.AppendUint16(w.reply, uint16(len(s)))
	w.reply = append(w.reply, s...)
}
