package config

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Error is a setting that cannot be used, with where it stands.
type Error struct {
	File      string
	Line, Col int
	Path      string // such as classes[1].effect
	Msg       string
}

func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Col, e.Msg)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Col, e.Path, e.Msg)
}

// decoder fills a struct from JSON with comments and remembers where each field stands.
type decoder struct {
	file string
	text []byte
	at   map[string]int // offset of each path
}

func (d *decoder) fail(offset int, path, format string, args ...any) error {
	offset = min(max(offset, 0), len(d.text))
	before := string(d.text[:offset])
	line := strings.Count(before, "\n") + 1
	col := offset - strings.LastIndexByte(before, '\n')
	return &Error{d.file, line, col, path, fmt.Sprintf(format, args...)}
}

// Decode reads JSON with comments and trailing commas into a struct with json tags. Fields that it does not know, or that are
// given twice, are refused; what is not given stays as it is. It returns where each field stands.
func (d *decoder) decode(into any) error {
	v, err := hujson.Parse(d.text)
	if err != nil {
		// The library names line and column in its message.
		return &Error{d.file, 1, 1, "", strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	d.at = map[string]int{}
	return d.value(&v, "", reflect.ValueOf(into).Elem())
}

func (d *decoder) value(v *hujson.Value, path string, to reflect.Value) error {
	d.at[path] = v.StartOffset
	if to.Kind() == reflect.Pointer {
		to.Set(reflect.New(to.Type().Elem()))
		to = to.Elem()
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		if to.Kind() == reflect.Struct {
			return d.object(x, path, to)
		}
		if to.Kind() == reflect.Map {
			out := reflect.MakeMap(to.Type())
			for i := range x.Members {
				m := &x.Members[i]
				name := m.Name.Value.(hujson.Literal).String()
				el := reflect.New(to.Type().Elem()).Elem()
				if err := d.value(&m.Value, join(path, name), el); err != nil {
					return err
				}
				if out.MapIndex(reflect.ValueOf(name)).IsValid() {
					return d.fail(m.Name.StartOffset, join(path, name), "given twice")
				}
				out.SetMapIndex(reflect.ValueOf(name), el)
			}
			to.Set(out)
			return nil
		}
		return d.fail(v.StartOffset, path, "an object, want %s", kindName(to))
	case *hujson.Array:
		if to.Kind() != reflect.Slice {
			return d.fail(v.StartOffset, path, "a list, want %s", kindName(to))
		}
		out := reflect.MakeSlice(to.Type(), len(x.Elements), len(x.Elements))
		for i := range x.Elements {
			if err := d.value(&x.Elements[i], fmt.Sprintf("%s[%d]", path, i), out.Index(i)); err != nil {
				return err
			}
		}
		to.Set(out)
		return nil
	case hujson.Literal:
		return d.literal(x, v.StartOffset, path, to)
	}
	return d.fail(v.StartOffset, path, "not understood")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) object(x *hujson.Object, path string, to reflect.Value) error {
	seen := map[string]bool{}
	for i := range x.Members {
		m := &x.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		p := join(path, name)
		if seen[name] {
			return d.fail(m.Name.StartOffset, p, "given twice")
		}
		seen[name] = true
		f, ok := fieldNamed(to, name)
		if !ok {
			return d.fail(m.Name.StartOffset, p, "no such setting; there are %s", strings.Join(fieldNames(to), ", "))
		}
		if err := d.value(&m.Value, p, f); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) literal(x hujson.Literal, offset int, path string, to reflect.Value) error {
	want := func() error { return d.fail(offset, path, "%.40s, want %s", x, kindName(to)) }
	switch to.Kind() {
	case reflect.String:
		if x.Kind() != '"' {
			return want()
		}
		to.SetString(x.String())
	case reflect.Bool:
		if x.Kind() != 't' && x.Kind() != 'f' {
			return want()
		}
		to.SetBool(x.Bool())
	case reflect.Float64:
		if x.Kind() != '0' || math.IsInf(x.Float(), 0) {
			return want()
		}
		to.SetFloat(x.Float())
	case reflect.Int, reflect.Int64, reflect.Uint64:
		var n int64
		if x.Kind() != '0' || json.Unmarshal([]byte(x), &n) != nil {
			return want()
		}
		if to.Kind() == reflect.Uint64 {
			if n < 0 {
				return want()
			}
			to.SetUint(uint64(n))
		} else {
			to.SetInt(n)
		}
	default:
		return want()
	}
	return nil
}

func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); tag == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(v reflect.Value) []string {
	var out []string
	t := v.Type()
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); tag != "" {
			out = append(out, tag)
		}
	}
	return out
}

func kindName(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}
