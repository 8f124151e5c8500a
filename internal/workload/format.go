package workload

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Format is a compiled log format: literals and fields in turn.
type Format struct{ parts []part }

type part struct {
	field  string // "" is a literal
	text   string // the literal
	quoted bool   // the field stands in double quotes, with escapes
}

// Formats that have names: NCSA Common and Combined.
const (
	Common   = `%h %l %u %t "%r" %>s %b`
	Combined = Common + ` "%{Referer}i" "%{User-agent}i"`
)

var apache = map[string]string{"h": "addr", "a": "addr", "l": "-", "u": "user", "t": "time", "r": "request", "s": "status", ">s": "status",
	"b": "bytes", "B": "bytes", "O": "bytes", "D": "micros", "T": "seconds", "m": "method", "U": "path", "q": "query", "v": "host", "V": "host",
	"H": "-", "{Host}i": "host"}

var nginx = map[string]string{"remote_addr": "addr", "remote_user": "user", "time_local": "time", "time_iso8601": "time", "msec": "time",
	"request": "request", "status": "status", "body_bytes_sent": "bytes", "bytes_sent": "bytes", "request_time": "seconds", "host": "host",
	"http_host": "host", "request_method": "method", "uri": "path", "request_uri": "path", "args": "query", "query_string": "query"}

// ParseFormat compiles an Apache LogFormat or an nginx log_format. A format without a time or without what was asked for is refused, and so
// are two fields with nothing between them.
func ParseFormat(s string) (*Format, error) {
	f := &Format{}
	literal := ""
	fields := map[string]bool{}
	add := func(name string) error {
		if literal == "" && len(f.parts) > 0 {
			return fmt.Errorf("format: nothing stands between two fields, before %q", name)
		}
		if literal != "" {
			f.parts = append(f.parts, part{text: literal})
		}
		f.parts = append(f.parts, part{field: name, quoted: strings.HasSuffix(literal, `"`)})
		fields[name] = true
		literal = ""
		return nil
	}
	for i := 0; i < len(s); {
		var name, known string
		ok := true
		switch {
		case strings.HasPrefix(s[i:], "%%"):
			literal += "%"
			i += 2
			continue
		case s[i] == '%':
			j := i + 1
			if j < len(s) && s[j] == '>' {
				j++
			}
			if j < len(s) && s[j] == '{' {
				k := strings.IndexByte(s[j:], '}')
				if k < 0 {
					return nil, fmt.Errorf("format: %q has no end", s[i:])
				}
				j += k + 1
			}
			if j >= len(s) {
				return nil, fmt.Errorf("format: %q names no field", s[i:])
			}
			name = s[i+1 : j+1]
			if known, ok = apache[name]; !ok && strings.HasPrefix(name, "{") {
				known, ok = "-", true
			}
			i = j + 1
		case s[i] == '$':
			j := i + 1
			for j < len(s) && (s[j] == '_' || s[j] >= 'a' && s[j] <= 'z' || s[j] >= '0' && s[j] <= '9') {
				j++
			}
			name = s[i+1 : j]
			if known, ok = nginx[name]; !ok && name != "" {
				known, ok = "-", true
			}
			i = j
		default:
			literal += s[i : i+1]
			i++
			continue
		}
		if !ok {
			return nil, fmt.Errorf("format: field %q is not known", name)
		}
		if err := add(known); err != nil {
			return nil, err
		}
	}
	if literal != "" {
		f.parts = append(f.parts, part{text: literal})
	}
	if !fields["time"] {
		return nil, fmt.Errorf("format: no time")
	}
	if !fields["request"] && !fields["path"] {
		return nil, fmt.Errorf("format: no request and no path")
	}
	return f, nil
}

type logReader struct {
	l lines
	f *Format
}

// NewLog reads an access log of the given format.
func NewLog(r io.Reader, file string, f *Format) Reader {
	return &logReader{lines{r: bufio.NewReaderSize(r, 64<<10), file: file}, f}
}

func (r *logReader) Next() (Entry, error) {
	for {
		line, cut, err := r.l.next()
		if err != nil {
			return Entry{}, err
		}
		if line == "" || line[0] == '#' {
			continue
		}
		e, p := r.f.parse(line)
		if p != nil {
			p.File, p.Line, p.Text = r.l.file, r.l.n, start(line)
			if cut && p.Kind == Malformed {
				p.Kind = Truncated
			}
			return Entry{}, p
		}
		e.File, e.Line = r.l.file, r.l.n
		return e, nil
	}
}

func (f *Format) parse(line string) (Entry, *Problem) {
	e := Entry{}
	timed := false
	for i, p := range f.parts {
		if p.field == "" {
			if !strings.HasPrefix(line, p.text) {
				return e, &Problem{Kind: Malformed, Err: fmt.Sprintf("want %q", start(p.text))}
			}
			line = line[len(p.text):]
			continue
		}
		var v string
		switch {
		case p.field == "time" && strings.HasPrefix(line, "["):
			j := strings.IndexByte(line, ']')
			if j < 0 {
				return e, &Problem{Kind: Malformed, Err: "time has no end"}
			}
			v, line = line[1:j], line[j+1:]
		case p.quoted:
			j := endOfQuoted(line)
			v, line = unescape(line[:j]), line[j:]
		case i+1 < len(f.parts):
			j := strings.Index(line, f.parts[i+1].text)
			if j < 0 {
				return e, &Problem{Kind: Malformed, Err: fmt.Sprintf("%s has no end", p.field)}
			}
			v, line = line[:j], line[j:]
		default:
			v, line = line, ""
		}
		if v == "-" {
			v = ""
		}
		var err error
		switch p.field {
		case "time":
			if e.At, e.Coarse, err = parseTime(v); err != nil {
				return e, &Problem{Kind: BadTime, Err: err.Error()}
			}
			timed = true
		case "request":
			w := strings.Split(v, " ")
			if len(w) < 2 || w[0] == "" || w[1] == "" {
				return e, &Problem{Kind: BadRequest, Err: fmt.Sprintf("request %q", start(v))}
			}
			e.Method = w[0]
			e.Path, e.Query, _ = strings.Cut(w[1], "?")
		case "method":
			e.Method = v
		case "path":
			path, query, found := strings.Cut(v, "?")
			if e.Path = path; found {
				e.Query = query
			}
		case "query":
			e.Query = strings.TrimPrefix(v, "?")
		case "host":
			e.Host = v
		case "addr":
			e.Addr = v
		case "user":
			e.User = v
		case "status":
			e.Status, err = strconv.Atoi(v)
		case "bytes":
			if v != "" {
				e.Bytes, err = strconv.ParseInt(v, 10, 64)
			}
		case "micros", "seconds":
			if v != "" {
				e.Duration, err = strconv.ParseFloat(v, 64)
			}
			if p.field == "micros" {
				e.Duration /= 1e6
			}
		}
		if err != nil {
			return e, &Problem{Kind: Malformed, Err: fmt.Sprintf("%s %q", p.field, start(v))}
		}
	}
	switch {
	case line != "":
		return e, &Problem{Kind: Malformed, Err: fmt.Sprintf("more follows: %q", start(line))}
	case !timed:
		return e, &Problem{Kind: BadTime, Err: "no time"}
	case e.Path == "":
		return e, &Problem{Kind: BadRequest, Err: "no path"}
	}
	return e, nil
}

// endOfQuoted is the place of the quote that ends a field; a backslash takes the next byte with it.
func endOfQuoted(s string) int {
	for i := 0; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(s)
}

func unescape(s string) string {
	if !strings.Contains(s, `\`) {
		return s
	}
	if u, err := strconv.Unquote(`"` + s + `"`); err == nil {
		return u
	}
	return s
}
