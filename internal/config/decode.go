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
	File         string
	Line, Column int
	Path         string // such as classes[1].effect
	Message      string
}

func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Path, e.Message)
}

// decoder fills a struct from JSON with comments and remembers where each field stands.
type decoder struct {
	file    string
	text    []byte
	offsets map[string]int // offset of each path
}

func (d *decoder) errorAt(offset int, path, format string, args ...any) error {
	offset = min(max(offset, 0), len(d.text))
	before := string(d.text[:offset])
	line := strings.Count(before, "\n") + 1
	column := offset - strings.LastIndexByte(before, '\n')
	return &Error{d.file, line, column, path, fmt.Sprintf(format, args...)}
}

// Decode reads JSON with comments and trailing commas into a struct with json tags. Fields that it does not know, or that are
// given twice, are refused; what is not given stays as it is. It returns where each field stands.
func (d *decoder) decode(target any) error {
	v, err := hujson.Parse(d.text)
	if err != nil {
		// The library names line and column in its message.
		return &Error{d.file, 1, 1, "", strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	d.offsets = map[string]int{}
	return d.value(&v, "", reflect.ValueOf(target).Elem())
}

func (d *decoder) value(value *hujson.Value, path string, target reflect.Value) error {
	d.offsets[path] = value.StartOffset
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch typed := value.Value.(type) {
	case *hujson.Object:
		if target.Kind() == reflect.Struct {
			return d.object(typed, path, target)
		}
		if target.Kind() == reflect.Map {
			decoded := reflect.MakeMap(target.Type())
			for i := range typed.Members {
				member := &typed.Members[i]
				name := member.Name.Value.(hujson.Literal).String()
				element := reflect.New(target.Type().Elem()).Elem()
				if err := d.value(&member.Value, joinPath(path, name), element); err != nil {
					return err
				}
				if decoded.MapIndex(reflect.ValueOf(name)).IsValid() {
					return d.errorAt(member.Name.StartOffset, joinPath(path, name), "given twice")
				}
				decoded.SetMapIndex(reflect.ValueOf(name), element)
			}
			target.Set(decoded)
			return nil
		}
		return d.errorAt(value.StartOffset, path, "an object, want %s", typeName(target))
	case *hujson.Array:
		if target.Kind() != reflect.Slice {
			return d.errorAt(value.StartOffset, path, "a list, want %s", typeName(target))
		}
		decoded := reflect.MakeSlice(target.Type(), len(typed.Elements), len(typed.Elements))
		for i := range typed.Elements {
			if err := d.value(&typed.Elements[i], fmt.Sprintf("%s[%d]", path, i), decoded.Index(i)); err != nil {
				return err
			}
		}
		target.Set(decoded)
		return nil
	case hujson.Literal:
		return d.literal(typed, value.StartOffset, path, target)
	}
	return d.errorAt(value.StartOffset, path, "not understood")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) object(object *hujson.Object, path string, target reflect.Value) error {
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		if seen[name] {
			return d.errorAt(member.Name.StartOffset, memberPath, "given twice")
		}
		seen[name] = true
		field, ok := fieldNamed(target, name)
		if !ok {
			return d.errorAt(member.Name.StartOffset, memberPath, "no such setting; there are %s", strings.Join(fieldNames(target), ", "))
		}
		if err := d.value(&member.Value, memberPath, field); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) literal(literal hujson.Literal, offset int, path string, target reflect.Value) error {
	mismatch := func() error { return d.errorAt(offset, path, "%.40s, want %s", literal, typeName(target)) }
	switch target.Kind() {
	case reflect.String:
		if literal.Kind() != '"' {
			return mismatch()
		}
		target.SetString(literal.String())
	case reflect.Bool:
		if literal.Kind() != 't' && literal.Kind() != 'f' {
			return mismatch()
		}
		target.SetBool(literal.Bool())
	case reflect.Float64:
		if literal.Kind() != '0' || math.IsInf(literal.Float(), 0) {
			return mismatch()
		}
		target.SetFloat(literal.Float())
	case reflect.Int, reflect.Int64, reflect.Uint64:
		var n int64
		if literal.Kind() != '0' || json.Unmarshal([]byte(literal), &n) != nil {
			return mismatch()
		}
		if target.Kind() == reflect.Uint64 {
			if n < 0 {
				return mismatch()
			}
			target.SetUint(uint64(n))
		} else {
			target.SetInt(n)
		}
	default:
		return mismatch()
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

func typeName(v reflect.Value) string {
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
