package workload

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// logReader reads the lines of an access log.
type logReader struct {
	lines  lineReader
	format *Format
}

// NewLog reads an access log of the given format. Empty lines and lines that begin with # are skipped. Entries and errors name
// file as their source.
func NewLog(r io.Reader, file string, format *Format) Reader {
	return &logReader{lines: newLineReader(r, file), format: format}
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
			kind := problem.kind
			if truncated && kind == Malformed {
				kind = Truncated
			}
			return Entry{}, r.lines.entryError(kind, line, problem.reason)
		}
		entry.File, entry.Line = r.lines.file, r.lines.number
		return entry, nil
	}
}

// lineError says what is wrong with a line, without the file and line number.
type lineError struct {
	kind   ErrorKind
	reason string
}

// malformed returns an error of kind Malformed.
func malformed(format string, args ...any) *lineError {
	return &lineError{Malformed, fmt.Sprintf(format, args...)}
}

// parse reads a line of the format.
func (f *Format) parse(line string) (Entry, *lineError) {
	var entry Entry
	rest := line
	for i, current := range f.parts {
		if current.field == "" {
			if !strings.HasPrefix(rest, current.literal) {
				return Entry{}, malformed("want %q", excerpt(current.literal))
			}
			rest = rest[len(current.literal):]
			continue
		}
		value, after, problem := f.cutValue(i, rest)
		if problem != nil {
			return Entry{}, problem
		}
		if value == "-" {
			value = ""
		}
		if problem := setField(&entry, current.field, value); problem != nil {
			return Entry{}, problem
		}
		rest = after
	}
	switch {
	case rest != "":
		return Entry{}, malformed("more follows: %q", excerpt(rest))
	case entry.Path == "":
		return Entry{}, &lineError{BadRequest, "no path"}
	}
	return entry, nil
}

// cutValue cuts the value of the i-th part, a field, off the beginning of a line.
func (f *Format) cutValue(i int, line string) (value, rest string, problem *lineError) {
	current := &f.parts[i]
	switch {
	case current.field == fieldTime && strings.HasPrefix(line, "["):
		value, rest, found := strings.Cut(line[1:], "]")
		if !found {
			return "", "", malformed("time has no end")
		}
		return value, rest, nil
	case current.quoted:
		end := quotedLength(line)
		return unescape(line[:end]), line[end:], nil
	case i+1 < len(f.parts):
		end := strings.Index(line, f.parts[i+1].literal)
		if end < 0 {
			return "", "", malformed("%s has no end", current.field)
		}
		return line[:end], line[end:], nil
	}
	return line, "", nil
}

// setField sets a field of an entry from its text, "" if the log gives no value.
func setField(entry *Entry, name field, value string) *lineError {
	var err error
	switch name {
	case fieldTime:
		if entry.At, entry.WholeSeconds, err = parseTime(value); err != nil {
			return &lineError{BadTime, err.Error()}
		}
	case fieldRequest:
		words := strings.Split(value, " ")
		if len(words) < 2 || words[0] == "" || words[1] == "" {
			return &lineError{BadRequest, fmt.Sprintf("request %q", excerpt(value))}
		}
		entry.Method = words[0]
		entry.Path, entry.Query, _ = strings.Cut(words[1], "?")
	case fieldMethod:
		entry.Method = value
	case fieldPath:
		path, query, found := strings.Cut(value, "?")
		entry.Path = path
		if found {
			entry.Query = query
		}
	case fieldQuery:
		entry.Query = strings.TrimPrefix(value, "?")
	case fieldHost:
		entry.Host = value
	case fieldAddr:
		entry.RemoteAddr = value
	case fieldUser:
		entry.User = value
	default:
		err = setNumber(entry, name, value)
	}
	if err != nil {
		return malformed("%s %q", name, excerpt(value))
	}
	return nil
}

// setNumber sets a numeric field. All but the status may be absent.
func setNumber(entry *Entry, name field, value string) (err error) {
	if name == fieldStatus {
		entry.Status, err = strconv.Atoi(value)
		return err
	}
	if value == "" {
		return nil
	}
	switch name {
	case fieldBytes:
		entry.Bytes, err = strconv.ParseInt(value, 10, 64)
	case fieldSeconds:
		entry.Duration, err = parseSeconds(value)
	case fieldMicros:
		entry.Duration, err = parseSeconds(value)
		entry.Duration /= 1e6
	}
	return err
}

// quotedLength returns the length of a quoted value up to its closing quote. A backslash escapes the next byte.
func quotedLength(s string) int {
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

// unescape replaces the escapes of a quoted value. A value with escapes that Go does not have is returned unchanged.
func unescape(s string) string {
	if !strings.Contains(s, `\`) {
		return s
	}
	if unquoted, err := strconv.Unquote(`"` + s + `"`); err == nil {
		return unquoted
	}
	return s
}
