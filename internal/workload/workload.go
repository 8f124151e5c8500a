// Package record reads recorded load: access logs by a format string, JSON lines, and HAR files, each as a stream of entries in order of
// time. What cannot be read is reported by kind and place and skipped; the rest goes on.
//
// It is a codec: it reads from io.Readers that it is given, opens no file, and knows nothing of tasks.
package workload

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Entry is one recorded request.
type Entry struct {
	At           float64 // Unix seconds
	WholeSeconds bool    // the source told whole seconds only
	Method       string
	Host         string
	Path         string
	Query        string
	Status       int
	Bytes        int64
	Duration     float64 // seconds, 0 if not told
	RemoteAddr   string
	User         string
	File         string
	Line         int64 // or number of the entry, from 1
	order        int64
}

// EntryError is an entry that was skipped, or one that could not be put in order.
type EntryError struct {
	Kind   string `json:"kind"` // see the constants
	File   string `json:"file"`
	Line   int64  `json:"line"`
	Text   string `json:"text"` // its start
	Reason string `json:"error"`
}

func (p *EntryError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Kind, p.Reason)
}

// The kinds of problem.
const (
	Malformed  = "malformed"    // the line does not have the format
	BadTime    = "bad-time"     // no time, or one that cannot be read
	BadRequest = "bad-request"  // no method and path
	TooLong    = "too-long"     // over the limit of a line
	Truncated  = "truncated"    // the source ends inside an entry
	OutOfOrder = "out-of-order" // older than the window allows
)

// Reader gives entries in the order of the source. Next returns a *Problem for one that is skipped, io.EOF at the end, and any other error
// when the source cannot be read further.
type Reader interface{ Next() (Entry, error) }

const (
	maxLineBytes   = 1 << 20
	maxProblemText = 80
)

func excerpt(s string) string {
	if len(s) > maxProblemText {
		s = s[:maxProblemText]
	}
	return s
}

// Decompress looks into a source: gzip and zstd are taken apart by their content.
func Decompress(r io.Reader) (io.Reader, error) {
	buffered := bufio.NewReaderSize(r, 64<<10)
	head, err := buffered.Peek(4)
	if err != nil && len(head) == 0 && !errors.Is(err, io.EOF) {
		return nil, err
	}
	switch {
	case bytes.HasPrefix(head, []byte{0x1f, 0x8b}):
		return gzip.NewReader(buffered)
	case bytes.HasPrefix(head, []byte{0x28, 0xb5, 0x2f, 0xfd}):
		z, err := zstd.NewReader(buffered, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
		if err != nil {
			return nil, err
		}
		return z, nil
	}
	return buffered, nil
}

// lineReader cuts a source into lines and numbers them.
type lineReader struct {
	source *bufio.Reader
	file   string
	number int64
	buffer []byte
}

// next returns a line without its end. cut says that the source ended without one.
func (l *lineReader) next() (line string, truncated bool, err error) {
	l.buffer = l.buffer[:0]
	tooLong := false
	for {
		chunk, err := l.source.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			if tooLong = tooLong || len(l.buffer)+len(chunk) > maxLineBytes; !tooLong {
				l.buffer = append(l.buffer, chunk...)
			}
			continue
		}
		if len(chunk) == 0 && len(l.buffer) == 0 && !tooLong && err != nil {
			return "", false, err
		}
		l.number++
		if tooLong {
			return "", false, &EntryError{TooLong, l.file, l.number, excerpt(string(l.buffer)), fmt.Sprintf("line over %d bytes", maxLineBytes)}
		}
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return "", false, err
		}
		l.buffer = append(l.buffer, chunk...)
		return strings.TrimRight(string(l.buffer), "\r\n"), err != nil, nil
	}
}

// JSONFields names the fields of JSON lines, each as a dotted path.
type JSONFields struct{ Time, Method, Host, Path, Status, Bytes, Duration, RemoteAddr, User string }

// DefaultJSONFields are names that are common.
func DefaultJSONFields() JSONFields {
	return JSONFields{"time", "method", "host", "path", "status", "bytes", "duration", "remote_addr", "user"}
}

type jsonReader struct {
	lines  lineReader
	fields JSONFields
}

// NewJSONLines reads one object a line.
func NewJSONLines(r io.Reader, file string, f JSONFields) Reader {
	return &jsonReader{lineReader{source: bufio.NewReaderSize(r, 64<<10), file: file}, f}
}

func (r *jsonReader) Next() (Entry, error) {
	line, truncated, err := r.lines.next()
	if err != nil {
		return Entry{}, err
	}
	if strings.TrimSpace(line) == "" {
		return r.Next()
	}
	var object map[string]any
	if err := json.Unmarshal([]byte(line), &object); err != nil {
		kind := Malformed
		if truncated {
			kind = Truncated
		}
		return Entry{}, &EntryError{kind, r.lines.file, r.lines.number, excerpt(line), err.Error()}
	}
	entry := Entry{File: r.lines.file, Line: r.lines.number}
	text := func(path string) string {
		var v any = object
		for _, k := range strings.Split(path, ".") {
			m, ok := v.(map[string]any)
			if !ok || path == "" {
				return ""
			}
			v = m[k]
		}
		switch x := v.(type) {
		case string:
			return x
		case float64:
			return strconv.FormatFloat(x, 'f', -1, 64)
		}
		return ""
	}
	at, coarse, err := parseTime(text(r.fields.Time))
	if err != nil {
		return Entry{}, &EntryError{BadTime, r.lines.file, r.lines.number, excerpt(line), err.Error()}
	}
	entry.At, entry.WholeSeconds, entry.Method, entry.Host, entry.RemoteAddr, entry.User = at, coarse, text(r.fields.Method), text(r.fields.Host), text(r.fields.RemoteAddr), text(r.fields.User)
	entry.Path, entry.Query, _ = strings.Cut(text(r.fields.Path), "?")
	entry.Status, _ = strconv.Atoi(text(r.fields.Status))
	entry.Bytes, _ = strconv.ParseInt(text(r.fields.Bytes), 10, 64)
	entry.Duration, _ = strconv.ParseFloat(text(r.fields.Duration), 64)
	if entry.Path == "" {
		return Entry{}, &EntryError{BadRequest, r.lines.file, r.lines.number, excerpt(line), "no path"}
	}
	return entry, nil
}

var timeLayouts = []string{"02/Jan/2006:15:04:05 -0700", "2006-01-02T15:04:05.999999999Z07:00", "2006-01-02T15:04:05.999999999Z0700",
	"2006-01-02 15:04:05.999999999Z07:00"}

// parseTime reads a time with its zone, or Unix seconds, milliseconds or microseconds by their size.
func parseTime(s string) (at float64, coarse bool, err error) {
	if s == "" {
		return 0, false, errors.New("no time")
	}
	if v, err := strconv.ParseFloat(s, 64); err == nil {
		switch {
		case !(v > 0) || v > 4e18:
			return 0, false, fmt.Errorf("time %.40q is out of range", s)
		case v > 1e14:
			v /= 1e6
		case v > 1e11:
			v /= 1e3
		}
		return v, v == math.Trunc(v), nil
	}
	for _, l := range timeLayouts {
		if t, err := time.Parse(l, s); err == nil {
			if y := t.Year(); y < 1970 || y > 2500 {
				return 0, false, fmt.Errorf("time %.40q is out of range", s)
			}
			return float64(t.Unix()) + float64(t.Nanosecond())/1e9, t.Nanosecond() == 0, nil
		}
	}
	return 0, false, fmt.Errorf("time %.40q cannot be read", s)
}

// harReader streams a HAR file: only one entry stands in memory at a time.
type harReader struct {
	dec       *json.Decoder
	file      string
	entries   int64
	inEntries bool
	done      bool
}

// NewHAR reads log.entries of a HAR 1.2 file. One that is cut short yields all whole entries before the cut.
func NewHAR(r io.Reader, file string) Reader { return &harReader{dec: json.NewDecoder(r), file: file} }

func (h *harReader) truncated(err error) error {
	h.done = true
	return &EntryError{Truncated, h.file, h.entries + 1, "", err.Error()}
}

// enterEntries goes down to the array of entries, skipping all else without keeping it.
func (h *harReader) enterEntries() error {
	for _, want := range []string{"log", "entries"} {
		token, err := h.dec.Token()
		if err != nil {
			return err
		}
		if token != json.Delim('{') {
			return fmt.Errorf("want an object with %q, found %v", want, token)
		}
		for {
			if !h.dec.More() {
				return fmt.Errorf("no %q", want)
			}
			key, err := h.dec.Token()
			if err != nil {
				return err
			}
			if key == want {
				break
			}
			if err := h.skipValue(); err != nil {
				return err
			}
		}
	}
	token, err := h.dec.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("entries are no list")
	}
	return nil
}

// skipValue passes over a value token by token.
func (h *harReader) skipValue() error {
	for depth := 0; ; {
		token, err := h.dec.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

func (h *harReader) Next() (Entry, error) {
	if h.done {
		return Entry{}, io.EOF
	}
	if !h.inEntries {
		if err := h.enterEntries(); err != nil {
			return Entry{}, h.truncated(err)
		}
		h.inEntries = true
	}
	if !h.dec.More() {
		h.done = true
		if _, err := h.dec.Token(); err != nil {
			return Entry{}, &EntryError{Truncated, h.file, h.entries + 1, "", err.Error()}
		}
		return Entry{}, io.EOF
	}
	var raw json.RawMessage
	if err := h.dec.Decode(&raw); err != nil {
		return Entry{}, h.truncated(err)
	}
	h.entries++
	var recorded struct {
		Started string  `json:"startedDateTime"`
		Time    float64 `json:"time"`
		Addr    string  `json:"serverIPAddress"`
		Request struct {
			Method string `json:"method"`
			URL    string `json:"url"`
		} `json:"request"`
		Response struct {
			Status  int `json:"status"`
			Content struct {
				Size int64 `json:"size"`
			} `json:"content"`
		} `json:"response"`
	}
	if err := json.Unmarshal(raw, &recorded); err != nil {
		return Entry{}, &EntryError{Malformed, h.file, h.entries, excerpt(string(raw)), err.Error()}
	}
	at, coarse, err := parseTime(recorded.Started)
	if err != nil {
		return Entry{}, &EntryError{BadTime, h.file, h.entries, excerpt(string(raw)), err.Error()}
	}
	entry := Entry{At: at, WholeSeconds: coarse, Method: recorded.Request.Method, Status: recorded.Response.Status, Bytes: recorded.Response.Content.Size,
		Duration: max(recorded.Time, 0) / 1000, File: h.file, Line: h.entries}
	target := recorded.Request.URL
	if i := strings.Index(target, "://"); i >= 0 {
		target = target[i+3:]
		j := strings.IndexAny(target, "/?")
		if j < 0 {
			j = len(target)
		}
		entry.Host, target = target[:j], target[j:]
	}
	entry.Path, entry.Query, _ = strings.Cut(target, "?")
	if entry.Path == "" {
		entry.Path = "/"
	}
	if entry.Method == "" {
		return Entry{}, &EntryError{BadRequest, h.file, h.entries, excerpt(string(raw)), "no method"}
	}
	return entry, nil
}

// Sorter brings entries in order of time within a window in seconds. Those of equal time keep the order in which they came. Entries of one
// whole second, where the source told no fractions, are spread evenly inside it.
type Sorter struct {
	Window      float64
	pending     entryHeap
	added       int64
	newest      float64
	emittedUpTo float64 // time of the last one given out
	group       []Entry // scratch
}

type entryHeap []Entry

func (h entryHeap) Len() int { return len(h) }
func (h entryHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].order < h[j].order
}
func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *entryHeap) Push(x any)   { *h = append(*h, x.(Entry)) }
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Add takes an entry and gives out those that can no longer be preceded, appended to out. One that is older than the window allows is not
// moved silently: it comes back as a problem.
func (s *Sorter) Add(entry Entry, out []Entry) ([]Entry, *EntryError) {
	if s.added > 0 && entry.At < s.emittedUpTo {
		return out, &EntryError{OutOfOrder, entry.File, entry.Line, excerpt(entry.Method + " " + entry.Path), fmt.Sprintf("%.3f s older than what was given out, the window is %v s", s.emittedUpTo-entry.At, s.Window)}
	}
	s.added++
	entry.order = s.added
	s.newest = max(s.newest, entry.At)
	heap.Push(&s.pending, entry)
	return s.emit(out, s.newest-s.Window), nil
}

// Flush gives out the rest.
func (s *Sorter) Flush(out []Entry) []Entry { return s.emit(out, math.Inf(1)) }

// emit hands out whole groups of equal time that lie before the limit.
func (s *Sorter) emit(out []Entry, before float64) []Entry {
	for len(s.pending) > 0 && s.pending[0].At < before {
		at := s.pending[0].At
		s.group = s.group[:0]
		coarse := true
		for len(s.pending) > 0 && s.pending[0].At == at {
			entry := heap.Pop(&s.pending).(Entry)
			coarse = coarse && entry.WholeSeconds
			s.group = append(s.group, entry)
		}
		s.emittedUpTo = math.Nextafter(at, math.Inf(1))
		if !coarse || len(s.group) == 1 {
			out = append(out, s.group...)
			continue
		}
		// Spread ones go back in line at their new times: others may lie between them.
		for i, entry := range s.group {
			entry.WholeSeconds, entry.At = false, at+float64(i)/float64(len(s.group))
			if i == 0 {
				out = append(out, entry)
			} else {
				heap.Push(&s.pending, entry)
			}
		}
	}
	return out
}

// DetectFormat tells the format of a source from its first bytes: "har", "jsonl", "combined" or "common". The reader that it returns starts at
// the beginning.
func DetectFormat(r io.Reader) (format string, source io.Reader, err error) {
	buffered := bufio.NewReaderSize(r, 64<<10)
	head, err := buffered.Peek(4096)
	if err != nil && !errors.Is(err, io.EOF) && len(head) == 0 {
		return "", buffered, err
	}
	head = bytes.TrimSpace(head)
	line, _, _ := bytes.Cut(head, []byte("\n"))
	switch {
	case len(head) == 0:
		return "common", buffered, nil
	case head[0] == '{' && json.Valid(line) && !bytes.HasPrefix(bytes.TrimLeft(line[1:], " \t"), []byte(`"log"`)):
		return "jsonl", buffered, nil
	case head[0] == '{':
		return "har", buffered, nil
	case bytes.Count(line, []byte(`"`)) >= 6:
		return "combined", buffered, nil
	}
	return "common", buffered, nil
}
