package workload

import (
	"errors"
	"fmt"
	"strings"
)

// Common and Combined are the NCSA log formats of these names.
const (
	Common   = `%h %l %u %t "%r" %>s %b`
	Combined = Common + ` "%{Referer}i" "%{User-agent}i"`
)

// field names what a part of a log line sets in an entry.
type field string

const (
	fieldIgnored field = "-"
	fieldAddr    field = "addr"
	fieldUser    field = "user"
	fieldTime    field = "time"
	fieldRequest field = "request" // method, target and protocol
	fieldMethod  field = "method"
	fieldPath    field = "path"
	fieldQuery   field = "query"
	fieldHost    field = "host"
	fieldStatus  field = "status"
	fieldBytes   field = "bytes"
	fieldSeconds field = "seconds" // duration
	fieldMicros  field = "micros"  // duration
)

// apacheFields are the known directives of an Apache LogFormat. Directives in braces that are not listed are ignored.
var apacheFields = map[string]field{
	"h":       fieldAddr,
	"a":       fieldAddr,
	"l":       fieldIgnored,
	"u":       fieldUser,
	"t":       fieldTime,
	"r":       fieldRequest,
	"s":       fieldStatus,
	">s":      fieldStatus,
	"b":       fieldBytes,
	"B":       fieldBytes,
	"O":       fieldBytes,
	"D":       fieldMicros,
	"T":       fieldSeconds,
	"m":       fieldMethod,
	"U":       fieldPath,
	"q":       fieldQuery,
	"v":       fieldHost,
	"V":       fieldHost,
	"H":       fieldIgnored,
	"{Host}i": fieldHost,
}

// nginxFields are the known variables of an nginx log_format. Other variables are ignored.
var nginxFields = map[string]field{
	"remote_addr":     fieldAddr,
	"remote_user":     fieldUser,
	"time_local":      fieldTime,
	"time_iso8601":    fieldTime,
	"msec":            fieldTime,
	"request":         fieldRequest,
	"status":          fieldStatus,
	"body_bytes_sent": fieldBytes,
	"bytes_sent":      fieldBytes,
	"request_time":    fieldSeconds,
	"host":            fieldHost,
	"http_host":       fieldHost,
	"request_method":  fieldMethod,
	"uri":             fieldPath,
	"request_uri":     fieldPath,
	"args":            fieldQuery,
	"query_string":    fieldQuery,
}

// Format is a compiled log format, a sequence of literals and fields.
type Format struct{ parts []part }

// part is a field, or a literal if field is empty.
type part struct {
	field   field
	literal string
	quoted  bool // the field is inside double quotes, with escapes
}

// ParseFormat compiles an Apache LogFormat or an nginx log_format. It rejects a format without a time, one with neither a request nor a
// path, and one with two fields that nothing separates.
func ParseFormat(s string) (*Format, error) {
	c := formatCompiler{seen: map[field]bool{}}
	for rest := s; rest != ""; {
		var err error
		if rest, err = c.consume(rest); err != nil {
			return nil, err
		}
	}
	return c.finish()
}

// formatCompiler builds a Format from left to right.
type formatCompiler struct {
	parts   []part
	literal string // collected since the last field
	seen    map[field]bool
}

// consume compiles the first literal byte, escape or field of a text and returns the rest.
func (c *formatCompiler) consume(text string) (rest string, err error) {
	switch {
	case strings.HasPrefix(text, "%%"):
		c.literal += "%"
		return text[2:], nil
	case text[0] == '%':
		name, rest, err := cutDirective(text)
		if err != nil {
			return "", err
		}
		found, known := apacheFields[name]
		if !known && strings.HasPrefix(name, "{") {
			found, known = fieldIgnored, true
		}
		return rest, c.addField(name, found, known)
	case text[0] == '$':
		name, rest := cutVariable(text)
		found, known := nginxFields[name]
		if !known && name != "" {
			found, known = fieldIgnored, true
		}
		return rest, c.addField(name, found, known)
	}
	c.literal += text[:1]
	return text[1:], nil
}

// cutDirective cuts an Apache directive such as %h, %>s or %{Referer}i off a text, and returns its name without the percent sign.
func cutDirective(text string) (name, rest string, err error) {
	end := 1
	if end < len(text) && text[end] == '>' {
		end++
	}
	if end < len(text) && text[end] == '{' {
		brace := strings.IndexByte(text[end:], '}')
		if brace < 0 {
			return "", "", fmt.Errorf("format: %q has no end", text)
		}
		end += brace + 1
	}
	if end >= len(text) {
		return "", "", fmt.Errorf("format: %q names no field", text)
	}
	return text[1 : end+1], text[end+1:], nil
}

// cutVariable cuts an nginx variable such as $remote_addr off a text, and returns its name without the dollar sign.
func cutVariable(text string) (name, rest string) {
	end := 1
	for end < len(text) && isVariableByte(text[end]) {
		end++
	}
	return text[1:end], text[end:]
}

func isVariableByte(b byte) bool {
	return b == '_' || b >= 'a' && b <= 'z' || b >= '0' && b <= '9'
}

// addField appends the collected literal and a field.
func (c *formatCompiler) addField(name string, added field, known bool) error {
	if !known {
		return fmt.Errorf("format: field %q is not known", name)
	}
	if c.literal == "" && len(c.parts) > 0 {
		return fmt.Errorf("format: nothing stands between two fields, before %q", added)
	}
	quoted := strings.HasSuffix(c.literal, `"`)
	c.addLiteral()
	c.parts = append(c.parts, part{field: added, quoted: quoted})
	c.seen[added] = true
	return nil
}

// addLiteral appends the collected literal, if there is one.
func (c *formatCompiler) addLiteral() {
	if c.literal != "" {
		c.parts = append(c.parts, part{literal: c.literal})
		c.literal = ""
	}
}

// finish checks that the format has a time and a request or path, and returns it.
func (c *formatCompiler) finish() (*Format, error) {
	c.addLiteral()
	if !c.seen[fieldTime] {
		return nil, errors.New("format: no time")
	}
	if !c.seen[fieldRequest] && !c.seen[fieldPath] {
		return nil, errors.New("format: no request and no path")
	}
	return &Format{parts: c.parts}, nil
}
