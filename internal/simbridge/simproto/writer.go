package simproto

import (
	"encoding/binary"
	"math"

	"heathshed/placer"
)

const replyHeaderBytes = 12

// watchWithChanges is the last byte of an ActionWatchNodes record. It requests the node list and all later
// changes of the list.
const watchWithChanges = 1

// Writer builds one reply at a time. Start begins the reply, the methods named after actions add records to
// it, and Finish completes it. The zero value of Writer is ready to use.
type Writer struct {
	reply       []byte
	actionCount uint32
}

// Start begins the reply to the batch with the given number and discards the previous reply.
func (w *Writer) Start(batchNumber uint32) {
	w.reply = append(w.reply[:0], make([]byte, replyHeaderBytes)...)
	binary.LittleEndian.PutUint32(w.reply, batchNumber)
	w.actionCount = 0
}

// Finish completes the reply and returns its bytes, which are valid until the next call of Start.
func (w *Writer) Finish() []byte {
	binary.LittleEndian.PutUint32(w.reply[4:], w.actionCount)
	binary.LittleEndian.PutUint32(w.reply[8:], uint32(len(w.reply)-replyHeaderBytes))
	return w.reply
}

// StartAttempt requests an attempt to start a task on a node. The attempt times out at the given clock time.
func (w *Writer) StartAttempt(instance uint32, taskID uint64, until placer.Seconds, node NodeAddress) {
	w.beginAction(ActionStartAttempt, instance)
	w.writeU64(taskID)
	w.writeSeconds(until)
	w.writeNodeAddress(node)
}

// Reject answers the client that the task was not placed. If the given duration is not 0, the client may
// request the task again when that duration has passed.
func (w *Writer) Reject(instance uint32, taskID uint64, after placer.Seconds) {
	w.beginAction(ActionReject, instance)
	w.writeU64(taskID)
	w.writeSeconds(after)
}

// Fail answers the client that the outcome of its placement request is unknown.
func (w *Writer) Fail(instance uint32, taskID uint64) {
	w.beginAction(ActionFail, instance)
	w.writeU64(taskID)
}

// SetTimer requests an EventTimerFired event that carries the token, after the given duration.
func (w *Writer) SetTimer(instance uint32, token uint64, after placer.Seconds) {
	w.beginAction(ActionSetTimer, instance)
	w.writeU64(token)
	w.writeSeconds(after)
}

// WatchNodes requests the node list and all later changes of it.
func (w *Writer) WatchNodes(instance uint32) {
	w.beginAction(ActionWatchNodes, instance)
	w.reply = append(w.reply, watchWithChanges)
}

// ListNodes requests the node list once.
func (w *Writer) ListNodes(instance uint32) { w.beginAction(ActionListNodes, instance) }

// Migrate requests that a bound task be stopped. The client then requests the task again.
func (w *Writer) Migrate(instance uint32, taskID uint64) {
	w.beginAction(ActionMigrate, instance)
	w.writeU64(taskID)
}

// AbortAttempt stops waiting for the answer to an attempt.
func (w *Writer) AbortAttempt(instance uint32, taskID uint64, attempt uint8) {
	w.beginAction(ActionAbortAttempt, instance)
	w.writeU64(taskID)
	w.reply = append(w.reply, attempt)
}

// Log adds a line of text to the report of the simulator.
func (w *Writer) Log(instance uint32, text string) {
	w.beginAction(ActionLog, instance)
	w.writeText(text)
}

// ReportPanic reports a panic of the scheduler instance, with the text of the panic.
func (w *Writer) ReportPanic(instance uint32, text string) {
	w.beginAction(ActionReportPanic, instance)
	w.writeText(text)
}

// beginAction begins an action record with its code and the number of the scheduler instance.
func (w *Writer) beginAction(code ActionCode, instance uint32) {
	w.actionCount++
	w.reply = append(w.reply, byte(code))
	w.reply = binary.LittleEndian.AppendUint32(w.reply, instance)
}

func (w *Writer) writeU64(value uint64) { w.reply = binary.LittleEndian.AppendUint64(w.reply, value) }

// writeSeconds writes a time or a duration.
func (w *Writer) writeSeconds(value placer.Seconds) { w.writeU64(math.Float64bits(float64(value))) }

func (w *Writer) writeNodeAddress(node NodeAddress) {
	w.reply = binary.LittleEndian.AppendUint32(w.reply, uint32(node))
	w.reply = binary.LittleEndian.AppendUint16(w.reply, uint16(node>>32))
}

// writeText writes the length of a text as 2 bytes and then the text. A text is truncated to 65535 bytes, the
// maximum that 2 bytes can express.
func (w *Writer) writeText(text string) {
	text = text[:min(len(text), math.MaxUint16)]
	w.reply = binary.LittleEndian.AppendUint16(w.reply, uint16(len(text)))
	w.reply = append(w.reply, text...)
}
