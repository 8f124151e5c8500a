package config

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder fills a struct from JSON with comments and records the position of each field.
type decoder struct {
	file      string
	text      []byte
	renames   *Renames
	document  hujson.Value // the parsed text, in which former names are replaced while it is decoded
	positions map[string]position
	former    []FormerName
}

// position is the place of a field in a text.
type position struct {
	offset  int    // of the value
	written string // path as written in the text, with former names
}

// decode decodes JSON with comments and trailing commas into a struct with json tags and calls validate. An unknown or duplicate field is an
// error; an absent field keeps its value. Paths are in present names.
func (d *decoder) decode(target any, validate func() error) error {
	var err error
	if d.document, err = hujson.Parse(d.text); err != nil {
		// The library names line and column in its message.
		return &Error{File: d.file, Line: 1, Column: 1, Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	d.positions = map[string]position{"": {offset: d.document.StartOffset}}
	if err := d.value(&d.document, "", reflect.ValueOf(target).Elem()); err != nil {
		return err
	}
	return d.locate(validate())
}

func (d *decoder) value(value *hujson.Value, path string, target reflect.Value) error {
	d.presentValue(value, path)
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch typed := value.Value.(type) {
	case *hujson.Object:
		switch target.Kind() {
		case reflect.Struct:
			return d.object(typed, path, target)
		case reflect.Map:
			return d.mapping(typed, path, target)
		default:
			return d.errorAt(value.StartOffset, path, "an object, want %s", typeName(target))
		}
	case *hujson.Array:
		if target.Kind() != reflect.Slice {
			return d.errorAt(value.StartOffset, path, "a list, want %s", typeName(target))
		}
		return d.list(typed, path, target)
	case hujson.Literal:
		return d.literal(typed, value.StartOffset, path, target)
	}
	return d.errorAt(value.StartOffset, path, "not understood")
}

// object decodes into a struct.
func (d *decoder) object(object *hujson.Object, path string, target reflect.Value) error {
	given := map[string]givenMember{}
	for i := range object.Members {
		member := &object.Members[i]
		this := givenMember{written: memberName(member), offset: member.Name.StartOffset}
		name := d.presentName(member, path)
		memberPath := joinPath(path, name)
		if first, twice := given[name]; twice {
			return d.errorGivenTwice(memberPath, first, this)
		}
		given[name] = this
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

// givenMember is a member of an object as written in the text.
type givenMember struct {
	written string
	offset  int // of the name
}

// errorGivenTwice returns an error about a duplicate field, which may have been given under two names.
func (d *decoder) errorGivenTwice(path string, first, second givenMember) error {
	if first.written == second.written {
		return d.errorAt(second.offset, path, "given twice")
	}
	firstLine, _ := d.lineAndColumn(first.offset)
	secondLine, _ := d.lineAndColumn(second.offset)
	return d.errorAt(second.offset, path, "given twice, as %q in line %d and as %q in line %d", first.written, firstLine, second.written, secondLine)
}

// mapping decodes into a map with string keys.
func (d *decoder) mapping(object *hujson.Object, path string, target reflect.Value) error {
	decoded := reflect.MakeMap(target.Type())
	for i := range object.Members {
		member := &object.Members[i]
		name := d.presentName(member, path)
		memberPath := joinPath(path, name)
		element := reflect.New(target.Type().Elem()).Elem()
		if err := d.value(&member.Value, memberPath, element); err != nil {
			return err
		}
		key := reflect.ValueOf(name)
		if decoded.MapIndex(key).IsValid() {
			return d.errorAt(member.Name.StartOffset, memberPath, "given twice")
		}
		decoded.SetMapIndex(key, element)
	}
	target.Set(decoded)
	return nil
}

// list decodes into a slice.
func (d *decoder) list(array *hujson.Array, path string, target reflect.Value) error {
	decoded := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		index := fmt.Sprintf("[%d]", i)
		d.positions[path+index] = position{offset: array.Elements[i].StartOffset, written: d.positions[path].written + index}
		if err := d.value(&array.Elements[i], path+index, decoded.Index(i)); err != nil {
			return err
		}
	}
	target.Set(decoded)
	return nil
}

// literal decodes a string, number or boolean.
func (d *decoder) literal(literal hujson.Literal, offset int, path string, target reflect.Value) error {
	if !setLiteral(literal, target) {
		return d.errorAt(offset, path, "%.40s, want %s", literal, typeName(target))
	}
	return nil
}

// setLiteral sets a value from a literal and reports whether the literal is of its type.
func setLiteral(literal hujson.Literal, target reflect.Value) bool {
	if target.Type() == durationType {
		return setDuration(literal, target)
	}
	switch target.Kind() {
	case reflect.String:
		if literal.Kind() != '"' {
			return false
		}
		target.SetString(literal.String())
		return true
	case reflect.Bool:
		if literal.Kind() != 't' && literal.Kind() != 'f' {
			return false
		}
		target.SetBool(literal.Bool())
		return true
	case reflect.Float64:
		return setNumber(literal, target)
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return literal.Kind() == '0' && setInteger(literal, target)
	}
	return false
}

// setNumber sets a floating point number and reports whether the literal is a number in its range.
func setNumber(literal hujson.Literal, target reflect.Value) bool {
	if literal.Kind() != '0' || math.IsInf(literal.Float(), 0) {
		return false
	}
	target.SetFloat(literal.Float())
	return true
}

// setInteger sets an integer and reports whether the literal is a whole number in its range.
func setInteger(literal hujson.Literal, target reflect.Value) bool {
	var number int64
	if err := json.Unmarshal([]byte(literal), &number); err != nil {
		return false
	}
	if target.Kind() != reflect.Uint64 {
		target.SetInt(number)
		return true
	}
	if number < 0 {
		return false
	}
	target.SetUint(uint64(number))
	return true
}

func memberName(member *hujson.ObjectMember) string {
	return member.Name.Value.(hujson.Literal).String()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldNamed returns the field of a struct with the given json name.
func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// fieldNames returns the json names of the fields of a struct.
func fieldNames(v reflect.Value) []string {
	var names []string
	for i := range v.NumField() {
		if name := jsonName(v.Type().Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// typeName returns the name of a type for errors.
func typeName(v reflect.Value) string {
	if v.Type() == durationType {
		return `a duration such as "250ms", or a number of seconds`
	}
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
