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

var apacheFields = map[string]string{"h": "addr", "a": "addr", "l": "-", "u": "user", "t": "time", "r": "request", "s": "status", ">s": "status",
	"b": "bytes", "B": "bytes", "O": "bytes", "D": "micros", "T": "seconds", "m": "method", "U": "path", "q": "query", "v": "host", "V": "host",
	"H": "-", "{Host}i": "host"}

var nginxFields = map[string]string{"remote_addr": "addr", "remote_user": "user", "time_local": "time", "time_iso8601": "time", "msec": "time",
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
			if known, ok = apacheFields[name]; !ok && strings.HasPrefix(name, "{") {
				known, ok = "-", true
			}
			i = j + 1
		case s[i] == '$':
			j := i + 1
			for j < len(s) && (s[j] == '_' || s[j] >= 'a' && s[j] <= 'z' || s[j] >= '0' && s[j] <= '9') {
				j++
			}
			name = s[i+1 : j]
			if known, ok = nginxFields[name]; !ok && name != "" {
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
	lines  lineReader
	format *Format
}

// NewLog reads an access log of the given format.
func NewLog(r io.Reader, file string, f *Format) Reader {
	return &logReader{lineReader{source: bufio.NewReaderSize(r, 64<<10), file: file}, f}
}

func (r *logReader) Next() (Entry, error) {
	for {
		line, truncated, err := r.lines.next()
		if err != nil {
			return Entry{}, err
		}
		if line == "" || line[0] == '#' {
			continue
		}
		entry, problem := r.format.parse(line)
		if problem != nil {
			problem.File, problem.Line, problem.Text = r.lines.file, r.lines.number, excerpt(line)
			if truncated && problem.Kind == Malformed {
				problem.Kind = Truncated
			}
			return Entry{}, problem
		}
		entry.File, entry.Line = r.lines.file, r.lines.number
		return entry, nil
	}
}

func (f *Format) parse(line string) (Entry, *EntryError) {
	entry := Entry{}
	timed := false
	for i, current := range f.parts {
		if current.field == "" {
			if !strings.HasPrefix(line, current.text) {
				return entry, &EntryError{Kind: Malformed, Reason: fmt.Sprintf("want %q", excerpt(current.text))}
			}
			line = line[len(current.text):]
			continue
		}
		var value string
		switch {
		case current.field == "time" && strings.HasPrefix(line, "["):
			j := strings.IndexByte(line, ']')
			if j < 0 {
				return entry, &EntryError{Kind: Malformed, Reason: "time has no end"}
			}
			value, line = line[1:j], line[j+1:]
		case current.quoted:
			j := endOfQuoted(line)
			value, line = unescape(line[:j]), line[j:]
		case i+1 < len(f.parts):
			j := strings.Index(line, f.parts[i+1].text)
			if j < 0 {
				return entry, &EntryError{Kind: Malformed, Reason: fmt.Sprintf("%s has no end", current.field)}
			}
			value, line = line[:j], line[j:]
		default:
			value, line = line, ""
		}
		if value == "-" {
			value = ""
		}
		var err error
		switch current.field {
		case "time":
			if entry.At, entry.WholeSeconds, err = parseTime(value); err != nil {
				return entry, &EntryError{Kind: BadTime, Reason: err.Error()}
			}
			timed = true
		case "request":
			words := strings.Split(value, " ")
			if len(words) < 2 || words[0] == "" || words[1] == "" {
				return entry, &EntryError{Kind: BadRequest, Reason: fmt.Sprintf("request %q", excerpt(value))}
			}
			entry.Method = words[0]
			entry.Path, entry.Query, _ = strings.Cut(words[1], "?")
		case "method":
			entry.Method = value
		case "path":
			path, query, found := strings.Cut(value, "?")
			if entry.Path = path; found {
				entry.Query = query
			}
		case "query":
			entry.Query = strings.TrimPrefix(value, "?")
		case "host":
			entry.Host = value
		case "addr":
			entry.RemoteAddr = value
		case "user":
			entry.User = value
		case "status":
			entry.Status, err = strconv.Atoi(value)
		case "bytes":
			if value != "" {
				entry.Bytes, err = strconv.ParseInt(value, 10, 64)
			}
		case "micros", "seconds":
			if value != "" {
				entry.Duration, err = strconv.ParseFloat(value, 64)
			}
			if current.field == "micros" {
				entry.Duration /= 1e6
			}
		}
		if err != nil {
			return entry, &EntryError{Kind: Malformed, Reason: fmt.Sprintf("%s %q", current.field, excerpt(value))}
		}
	}
	switch {
	case line != "":
		return entry, &EntryError{Kind: Malformed, Reason: fmt.Sprintf("more follows: %q", excerpt(line))}
	case !timed:
		return entry, &EntryError{Kind: BadTime, Reason: "no time"}
	case entry.Path == "":
		return entry, &EntryError{Kind: BadRequest, Reason: "no path"}
	}
	return entry, nil
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
