// Package wire reads batches of events and writes replies, as the simulator speaks them. It knows bytes and
// nothing of their meaning.
package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// The codes of events.
const (
	DefineList    = 16
	ReportBack    = 17
	ToPlace       = 18
	Begin         = 19
	CheckResult   = 20
	TickDue       = 21
	Hangup        = 22
	Down          = 23
	InPlace       = 24
	Seated        = 25
	Discovery     = 26
	UpdateOf      = 27
	NeighbourSays = 28
)

// The codes of actions.
const (
	AbortAttempt = 80
	Record       = 82
	FailTask     = 83
	TurnAway     = 85
	Assign       = 86
	Vacate       = 87
	Lookup       = 89
	Bug          = 90
	WatchList    = 91
	Timer        = 92
)

const (
	headerBytes = 20
	entryBytes  = 31
	chunk       = 1 << 20 // a frame is read in such pieces, so that a false length allocates little
)

// Node is a node's address, packed; it goes back to the wire as it came.
type Node uint64

// Entry is one line of a list.
type Entry struct {
	Node        Node
	Zone, Kind  uint8
	FreeCores   float32
	Cell        uint16
	FreeMemory  float32
	Health      uint8
	Units       float32
	OnlineSince float64
}

// Event is one record of a batch. Which fields hold depends on Code; slices are valid until the next Read.
type Event struct {
	Code             uint8
	Who              uint32
	ID, Key, Service uint64
	Node             Node
	Class, Tenant    uint16
	Deadline, Life   float64
	Cores, Memory    float32
	Flags            uint8
	Attempt          uint8
	Elapsed          float64
	Remark, Finished uint8
	Status           uint16
	Load             []float32
	Sort             uint8
	Value            float32
	Token            uint64
	ListKind, Sheet  uint8
	Stamp            uint32
	Seed             uint64
	Settings         []byte
	Entries          []Entry
	From             uint32
	Body             []byte
}

// Batch is one frame of events.
type Batch struct {
	Number uint32
	Count  uint32
	Now    float64
}

// Reader reads batches.
type Reader struct {
	r       io.Reader
	buf     []byte
	head    [headerBytes]byte
	pos     int
	code    uint8
	err     error
	load    []float32
	entries []Entry
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next reads the header and body of the next batch. At the end of input between batches it returns io.EOF.
func (d *Reader) Next() (Batch, error) {
	if _, err := io.ReadFull(d.r, d.head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("wire: batch header: %w", err)
	}
	h := d.head[:]
	b := Batch{binary.LittleEndian.Uint32(h), binary.LittleEndian.Uint32(h[8:]),
		math.Float64frombits(binary.LittleEndian.Uint64(h[12:]))}
	length := binary.LittleEndian.Uint32(h[4:])
	if length < headerBytes-8 {
		return b, fmt.Errorf("wire: batch %d: length %d is under its own header's", b.Number, length)
	}
	if math.IsNaN(b.Now) || math.IsInf(b.Now, 0) {
		return b, fmt.Errorf("wire: batch %d: clock %v", b.Number, b.Now)
	}
	n := int(length) - (headerBytes - 8)
	if uint64(b.Count)*5 > uint64(n) { // no record is shorter
		return b, fmt.Errorf("wire: batch %d: %d records do not fit in %d bytes", b.Number, b.Count, n)
	}
	d.buf, d.pos, d.err = d.buf[:0], 0, nil
	for len(d.buf) < n {
		step := min(chunk, n-len(d.buf))
		at := len(d.buf)
		if cap(d.buf) < at+step {
			d.buf = append(d.buf, make([]byte, step)...)
		} else {
			d.buf = d.buf[:at+step]
		}
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			return b, fmt.Errorf("wire: batch %d: body ends early: %w", b.Number, err)
		}
	}
	return b, nil
}

// Rest says how many bytes of the batch are unread.
func (d *Reader) Rest() int { return len(d.buf) - d.pos }

func (d *Reader) take(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || n > len(d.buf)-d.pos {
		d.err = fmt.Errorf("wire: record of code %d: wants %d bytes at %d, %d are left",
			d.code, n, d.pos, len(d.buf)-d.pos)
		return nil
	}
	b := d.buf[d.pos : d.pos+n]
	d.pos += n
	return b
}

func (d *Reader) u8() uint8 {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *Reader) u16() uint16 {
	if b := d.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (d *Reader) u32() uint32 {
	if b := d.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (d *Reader) u64() uint64 {
	if b := d.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (d *Reader) f32() float32 { return math.Float32frombits(d.u32()) }
func (d *Reader) f64() float64 { return math.Float64frombits(d.u64()) }

func (d *Reader) node() Node {
	if b := d.take(6); b != nil {
		return Node(binary.LittleEndian.Uint32(b)) | Node(binary.LittleEndian.Uint16(b[4:]))<<32
	}
	return 0
}

func (d *Reader) report() []float32 {
	n := int(d.u8())
	d.load = d.load[:0]
	for i := 0; i < n && d.err == nil; i++ {
		d.load = append(d.load, d.f32())
	}
	return d.load
}

// Read reads the next record of the batch into ev.
func (d *Reader) Read(ev *Event) error {
	d.code = 0
	at := d.pos
	*ev = Event{Code: d.u8()}
	d.code = ev.Code
	if ev.Code == DefineList {
		ev.Sheet = d.u8()
		ev.Entries = d.list()
		if d.err == nil && ev.Sheet > 15 {
			d.err = fmt.Errorf("wire: list number %d at byte %d is over 15", ev.Sheet, at)
		}
		return d.err
	}
	ev.Who = d.u32()
	switch ev.Code {
	case Begin:
		ev.Seed = d.u64()
		ev.Settings = d.take(int(d.u32()))
	case Down:
	case Discovery:
		ev.ListKind, ev.Stamp, ev.Sheet = d.u8(), d.u32(), d.u8()
	case ToPlace:
		ev.ID, ev.Class, ev.Tenant, ev.Key = d.u64(), d.u16(), d.u16(), d.u64()
		ev.Deadline, ev.Life, ev.Service = d.f64(), d.f64(), d.u64()
		ev.Cores, ev.Memory, ev.Flags = d.f32(), d.f32(), d.u8()
	case InPlace:
		ev.ID, ev.Node, ev.Life, ev.Deadline = d.u64(), d.node(), d.f64(), d.f64()
		ev.Class, ev.Key, ev.Flags = d.u16(), d.u64(), d.u8()
		ev.Cores, ev.Memory, ev.Service, ev.Tenant = d.f32(), d.f32(), d.u64(), d.u16()
	case Seated:
		ev.ID, ev.Attempt, ev.Elapsed, ev.Node = d.u64(), d.u8(), d.f64(), d.node()
	case UpdateOf:
		ev.ID, ev.Attempt, ev.Node, ev.Sort, ev.Value = d.u64(), d.u8(), d.node(), d.u8(), d.f32()
	case ReportBack:
		ev.ID, ev.Node, ev.Elapsed = d.u64(), d.node(), d.f64()
		ev.Remark, ev.Attempt, ev.Finished, ev.Status = d.u8(), d.u8(), d.u8(), d.u16()
		ev.Load = d.report()
	case Hangup:
		ev.ID = d.u64()
	case TickDue:
		ev.Token = d.u64()
	case CheckResult:
		ev.Status, ev.Node, ev.Elapsed = d.u16(), d.node(), d.f64()
		ev.Load = d.report()
	case NeighbourSays:
		ev.From = d.u32()
		ev.Body = d.take(int(d.u16()))
	default:
		if d.err == nil {
			d.err = fmt.Errorf("wire: unknown event code %d at byte %d", ev.Code, at)
		}
	}
	return d.err
}

func (d *Reader) list() []Entry {
	n := d.u32()
	if d.err == nil && uint64(n)*entryBytes > uint64(d.Rest()) {
		d.err = fmt.Errorf("wire: list of %d entries does not fit in %d bytes", n, d.Rest())
		return nil
	}
	d.entries = d.entries[:0]
	for i := uint32(0); i < n && d.err == nil; i++ {
		d.entries = append(d.entries, Entry{Node: d.node(), Zone: d.u8(), FreeCores: d.f32(), Kind: d.u8(),
			Cell: d.u16(), FreeMemory: d.f32(), Health: d.u8(), Units: d.f32(), OnlineSince: d.f64()})
	}
	return d.entries
}

// Writer builds one reply at a time.
type Writer struct {
	buf   []byte
	count uint32
}

// Start begins the reply to a batch.
func (w *Writer) Start(number uint32) {
	w.buf = append(w.buf[:0], make([]byte, 12)...)
	binary.LittleEndian.PutUint32(w.buf, number)
	w.count = 0
}

// Finish returns the bytes of the reply, valid until the next Start.
func (w *Writer) Finish() []byte {
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	binary.LittleEndian.PutUint32(w.buf[8:], uint32(len(w.buf)-12))
	return w.buf
}

func (w *Writer) action(code uint8, who uint32) {
	w.count++
	w.buf = append(w.buf, code)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, who)
}

func (w *Writer) u64(v uint64)  { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
func (w *Writer) f64(v float64) { w.u64(math.Float64bits(v)) }

func (w *Writer) node(n Node) {
	w.buf = binary.LittleEndian.AppendUint32(w.buf, uint32(n))
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(n>>32))
}

func (w *Writer) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(len(s)))
	w.buf = append(w.buf, s...)
}

// Assign offers a task to a node until the given clock time.
func (w *Writer) Assign(who uint32, id uint64, until float64, n Node) {
	w.action(Assign, who)
	w.u64(id)
	w.f64(until)
	w.node(n)
}

// TurnAway refuses a task.
func (w *Writer) TurnAway(who uint32, id uint64, after float64) {
	w.action(TurnAway, who)
	w.u64(id)
	w.f64(after)
}

// Fail fails a task.
func (w *Writer) Fail(who uint32, id uint64) {
	w.action(FailTask, who)
	w.u64(id)
}

// Timer asks for a tick.
func (w *Writer) Timer(who uint32, token uint64, after float64) {
	w.action(Timer, who)
	w.u64(token)
	w.f64(after)
}

// Watch asks for the list and its changes.
func (w *Writer) Watch(who uint32) {
	w.action(WatchList, who)
	w.buf = append(w.buf, 1)
}

// Lookup asks for the list once.
func (w *Writer) Lookup(who uint32) { w.action(Lookup, who) }

// Vacate stops a placed task.
func (w *Writer) Vacate(who uint32, id uint64) {
	w.action(Vacate, who)
	w.u64(id)
}

// Abort ceases waiting for an attempt.
func (w *Writer) Abort(who uint32, id uint64, attempt uint8) {
	w.action(AbortAttempt, who)
	w.u64(id)
	w.buf = append(w.buf, attempt)
}

// Record adds a line to the report.
func (w *Writer) Record(who uint32, text string) {
	w.action(Record, who)
	w.text(text)
}

// Bug tells that the decision code failed.
func (w *Writer) Bug(who uint32, text string) {
	w.action(Bug, who)
	w.text(text)
}
