package workload

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
)

// JSONFields names the fields of JSON lines, each as a dotted path. An empty path names no field.
type JSONFields struct{ Time, Method, Host, Path, Status, Bytes, Duration, RemoteAddr, User string }

// DefaultJSONFields returns field names in common use.
func DefaultJSONFields() JSONFields {
	return JSONFields{
		Time:       "time",
		Method:     "method",
		Host:       "host",
		Path:       "path",
		Status:     "status",
		Bytes:      "bytes",
		Duration:   "duration",
		RemoteAddr: "remote_addr",
		User:       "user",
	}
}

// jsonReader reads JSON lines.
type jsonReader struct {
	lines  lineReader
	fields JSONFields
}

// NewJSONLines reads one JSON object per line. Entries and errors name file as their source.
func NewJSONLines(r io.Reader, file string, fields JSONFields) Reader {
	return &jsonReader{lines: newLineReader(r, file), fields: fields}
}

func (r *jsonReader) Next() (Entry, error) {
	for {
		line, truncated, err := r.lines.next()
		if err != nil {
			return Entry{}, err
		}
		if strings.TrimSpace(line) != "" {
			return r.parse(line, truncated)
		}
	}
}

// parse converts a line.
func (r *jsonReader) parse(line string, truncated bool) (Entry, error) {
	var object map[string]any
	if err := json.Unmarshal([]byte(line), &object); err != nil {
		kind := Malformed
		if truncated {
			kind = Truncated
		}
		return Entry{}, r.lines.entryError(kind, line, err.Error())
	}
	at, wholeSeconds, err := parseTime(textAt(object, r.fields.Time))
	if err != nil {
		return Entry{}, r.lines.entryError(BadTime, line, err.Error())
	}
	entry := Entry{
		At:           at,
		WholeSeconds: wholeSeconds,
		Method:       textAt(object, r.fields.Method),
		Host:         textAt(object, r.fields.Host),
		RemoteAddr:   textAt(object, r.fields.RemoteAddr),
		User:         textAt(object, r.fields.User),
		File:         r.lines.file,
		Line:         r.lines.number,
	}
	entry.Path, entry.Query, _ = strings.Cut(textAt(object, r.fields.Path), "?")
	// Optional numbers: one that is absent or cannot be parsed does not make the entry unusable.
	entry.Status, _ = strconv.Atoi(textAt(object, r.fields.Status))
	entry.Bytes, _ = strconv.ParseInt(textAt(object, r.fields.Bytes), 10, 64)
	entry.Duration, _ = parseSeconds(textAt(object, r.fields.Duration))
	if entry.Path == "" {
		return Entry{}, r.lines.entryError(BadRequest, line, "no path")
	}
	return entry, nil
}

// textAt returns the string or number at a dotted path of an object as text, "" if there is none.
func textAt(object map[string]any, path string) string {
	if path == "" {
		return ""
	}
	var value any = object
	for _, key := range strings.Split(path, ".") {
		parent, ok := value.(map[string]any)
		if !ok {
			return ""
		}
		value = parent[key]
	}
	switch typed := value.(type) {
	case string:
		return typed
	case float64:
		return strconv.FormatFloat(typed, 'f', -1, 64)
	}
	return ""
}
