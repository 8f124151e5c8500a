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
	At       float64 // Unix seconds
	Coarse   bool    // the source told whole seconds only
	Method   string
	Host     string
	Path     string
	Query    string
	Status   int
	Bytes    int64
	Duration float64 // seconds, 0 if not told
	Addr     string
	User     string
	File     string
	Line     int64 // or number of the entry, from 1
	order    int64
}

// Problem is an entry that was skipped, or one that could not be put in order.
type Problem struct {
	Kind string `json:"kind"` // see the constants
	File string `json:"file"`
	Line int64  `json:"line"`
	Text string `json:"text"` // its start
	Err  string `json:"error"`
}

func (p *Problem) Error() string { return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Kind, p.Err) }

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
	maxLine  = 1 << 20
	textKept = 80
)

func start(s string) string {
	if len(s) > textKept {
		s = s[:textKept]
	}
	return s
}

// Open looks into a source: gzip and zstd are taken apart by their content.
func Open(r io.Reader) (io.Reader, error) {
	b := bufio.NewReaderSize(r, 64<<10)
	head, err := b.Peek(4)
	if err != nil && len(head) == 0 && !errors.Is(err, io.EOF) {
		return nil, err
	}
	switch {
	case bytes.HasPrefix(head, []byte{0x1f, 0x8b}):
		return gzip.NewReader(b)
	case bytes.HasPrefix(head, []byte{0x28, 0xb5, 0x2f, 0xfd}):
		z, err := zstd.NewReader(b, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
		if err != nil {
			return nil, err
		}
		return z, nil
	}
	return b, nil
}

// lines cuts a source into lines and numbers them.
type lines struct {
	r    *bufio.Reader
	file string
	n    int64
	long []byte
}

// next returns a line without its end. cut says that the source ended without one.
func (l *lines) next() (line string, cut bool, err error) {
	l.long = l.long[:0]
	over := false
	for {
		b, err := l.r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			if over = over || len(l.long)+len(b) > maxLine; !over {
				l.long = append(l.long, b...)
			}
			continue
		}
		if len(b) == 0 && len(l.long) == 0 && !over && err != nil {
			return "", false, err
		}
		l.n++
		if over {
			return "", false, &Problem{TooLong, l.file, l.n, start(string(l.long)), fmt.Sprintf("line over %d bytes", maxLine)}
		}
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return "", false, err
		}
		l.long = append(l.long, b...)
		return strings.TrimRight(string(l.long), "\r\n"), err != nil, nil
	}
}

// JSONFields names the fields of JSON lines, each as a dotted path.
type JSONFields struct{ Time, Method, Host, Path, Status, Bytes, Duration, Addr, User string }

// DefaultJSONFields are names that are common.
func DefaultJSONFields() JSONFields {
	return JSONFields{"time", "method", "host", "path", "status", "bytes", "duration", "remote_addr", "user"}
}

type jsonReader struct {
	l lines
	f JSONFields
}

// NewJSONLines reads one object a line.
func NewJSONLines(r io.Reader, file string, f JSONFields) Reader {
	return &jsonReader{lines{r: bufio.NewReaderSize(r, 64<<10), file: file}, f}
}

func (j *jsonReader) Next() (Entry, error) {
	line, cut, err := j.l.next()
	if err != nil {
		return Entry{}, err
	}
	if strings.TrimSpace(line) == "" {
		return j.Next()
	}
	var o map[string]any
	if err := json.Unmarshal([]byte(line), &o); err != nil {
		kind := Malformed
		if cut {
			kind = Truncated
		}
		return Entry{}, &Problem{kind, j.l.file, j.l.n, start(line), err.Error()}
	}
	e := Entry{File: j.l.file, Line: j.l.n}
	text := func(path string) string {
		var v any = o
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
	at, coarse, err := parseTime(text(j.f.Time))
	if err != nil {
		return Entry{}, &Problem{BadTime, j.l.file, j.l.n, start(line), err.Error()}
	}
	e.At, e.Coarse, e.Method, e.Host, e.Addr, e.User = at, coarse, text(j.f.Method), text(j.f.Host), text(j.f.Addr), text(j.f.User)
	e.Path, e.Query, _ = strings.Cut(text(j.f.Path), "?")
	e.Status, _ = strconv.Atoi(text(j.f.Status))
	e.Bytes, _ = strconv.ParseInt(text(j.f.Bytes), 10, 64)
	e.Duration, _ = strconv.ParseFloat(text(j.f.Duration), 64)
	if e.Path == "" {
		return Entry{}, &Problem{BadRequest, j.l.file, j.l.n, start(line), "no path"}
	}
	return e, nil
}

var layouts = []string{"02/Jan/2006:15:04:05 -0700", "2006-01-02T15:04:05.999999999Z07:00", "2006-01-02T15:04:05.999999999Z0700",
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
	for _, l := range layouts {
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
	dec  *json.Decoder
	file string
	n    int64
	in   bool
	done bool
}

// NewHAR reads log.entries of a HAR 1.2 file. One that is cut short yields all whole entries before the cut.
func NewHAR(r io.Reader, file string) Reader { return &harReader{dec: json.NewDecoder(r), file: file} }

func (h *harReader) cut(err error) error {
	h.done = true
	return &Problem{Truncated, h.file, h.n + 1, "", err.Error()}
}

// enter goes down to the array of entries, skipping all else without keeping it.
func (h *harReader) enter() error {
	for _, want := range []string{"log", "entries"} {
		t, err := h.dec.Token()
		if err != nil {
			return err
		}
		if t != json.Delim('{') {
			return fmt.Errorf("want an object with %q, found %v", want, t)
		}
		for {
			if !h.dec.More() {
				return fmt.Errorf("no %q", want)
			}
			k, err := h.dec.Token()
			if err != nil {
				return err
			}
			if k == want {
				break
			}
			if err := h.skip(); err != nil {
				return err
			}
		}
	}
	t, err := h.dec.Token()
	if err != nil {
		return err
	}
	if t != json.Delim('[') {
		return fmt.Errorf("entries are no list")
	}
	return nil
}

// skip passes over a value token by token.
func (h *harReader) skip() error {
	for depth := 0; ; {
		t, err := h.dec.Token()
		if err != nil {
			return err
		}
		switch t {
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
	if !h.in {
		if err := h.enter(); err != nil {
			return Entry{}, h.cut(err)
		}
		h.in = true
	}
	if !h.dec.More() {
		h.done = true
		if _, err := h.dec.Token(); err != nil {
			return Entry{}, &Problem{Truncated, h.file, h.n + 1, "", err.Error()}
		}
		return Entry{}, io.EOF
	}
	var raw json.RawMessage
	if err := h.dec.Decode(&raw); err != nil {
		return Entry{}, h.cut(err)
	}
	h.n++
	var o struct {
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
	if err := json.Unmarshal(raw, &o); err != nil {
		return Entry{}, &Problem{Malformed, h.file, h.n, start(string(raw)), err.Error()}
	}
	at, coarse, err := parseTime(o.Started)
	if err != nil {
		return Entry{}, &Problem{BadTime, h.file, h.n, start(string(raw)), err.Error()}
	}
	e := Entry{At: at, Coarse: coarse, Method: o.Request.Method, Status: o.Response.Status, Bytes: o.Response.Content.Size,
		Duration: max(o.Time, 0) / 1000, File: h.file, Line: h.n}
	u := o.Request.URL
	if i := strings.Index(u, "://"); i >= 0 {
		u = u[i+3:]
		j := strings.IndexAny(u, "/?")
		if j < 0 {
			j = len(u)
		}
		e.Host, u = u[:j], u[j:]
	}
	e.Path, e.Query, _ = strings.Cut(u, "?")
	if e.Path == "" {
		e.Path = "/"
	}
	if e.Method == "" {
		return Entry{}, &Problem{BadRequest, h.file, h.n, start(string(raw)), "no method"}
	}
	return e, nil
}

// Sorter brings entries in order of time within a window in seconds. Those of equal time keep the order in which they came. Entries of one
// whole second, where the source told no fractions, are spread evenly inside it.
type Sorter struct {
	Window float64
	held   ordered
	n      int64
	newest float64
	given  float64 // time of the last one given out
	group  []Entry // scratch
}

type ordered []Entry

func (h ordered) Len() int { return len(h) }
func (h ordered) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].order < h[j].order
}
func (h ordered) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *ordered) Push(x any)   { *h = append(*h, x.(Entry)) }
func (h *ordered) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Add takes an entry and gives out those that can no longer be preceded, appended to out. One that is older than the window allows is not
// moved silently: it comes back as a problem.
func (s *Sorter) Add(e Entry, out []Entry) ([]Entry, *Problem) {
	if s.n > 0 && e.At < s.given {
		return out, &Problem{OutOfOrder, e.File, e.Line, start(e.Method + " " + e.Path), fmt.Sprintf("%.3f s older than what was given out, the window is %v s", s.given-e.At, s.Window)}
	}
	s.n++
	e.order = s.n
	s.newest = max(s.newest, e.At)
	heap.Push(&s.held, e)
	return s.give(out, s.newest-s.Window), nil
}

// Flush gives out the rest.
func (s *Sorter) Flush(out []Entry) []Entry { return s.give(out, math.Inf(1)) }

// give hands out whole groups of equal time that lie before the limit.
func (s *Sorter) give(out []Entry, before float64) []Entry {
	for len(s.held) > 0 && s.held[0].At < before {
		at := s.held[0].At
		s.group = s.group[:0]
		coarse := true
		for len(s.held) > 0 && s.held[0].At == at {
			e := heap.Pop(&s.held).(Entry)
			coarse = coarse && e.Coarse
			s.group = append(s.group, e)
		}
		s.given = math.Nextafter(at, math.Inf(1))
		if !coarse || len(s.group) == 1 {
			out = append(out, s.group...)
			continue
		}
		// Spread ones go back in line at their new times: others may lie between them.
		for i, e := range s.group {
			e.Coarse, e.At = false, at+float64(i)/float64(len(s.group))
			if i == 0 {
				out = append(out, e)
			} else {
				heap.Push(&s.held, e)
			}
		}
	}
	return out
}

// Guess tells the format of a source from its first bytes: "har", "jsonl", "combined" or "common". The reader that it returns starts at
// the beginning.
func Guess(r io.Reader) (format string, whole io.Reader, err error) {
	b := bufio.NewReaderSize(r, 64<<10)
	head, err := b.Peek(4096)
	if err != nil && !errors.Is(err, io.EOF) && len(head) == 0 {
		return "", b, err
	}
	head = bytes.TrimSpace(head)
	line, _, _ := bytes.Cut(head, []byte("\n"))
	switch {
	case len(head) == 0:
		return "common", b, nil
	case head[0] == '{' && json.Valid(line) && !bytes.HasPrefix(bytes.TrimLeft(line[1:], " \t"), []byte(`"log"`)):
		return "jsonl", b, nil
	case head[0] == '{':
		return "har", b, nil
	case bytes.Count(line, []byte(`"`)) >= 6:
		return "combined", b, nil
	}
	return "common", b, nil
}
