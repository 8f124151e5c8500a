package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder decodes JSON with comments into a struct and records the position of each setting.
type decoder struct {
	file        string              // name of the file in error messages
	text        []byte              // original text, which may contain former names
	renames     *Renames            // former names that the text may contain
	document    hujson.Value        // parsed text, in which decoding replaces former names by current names
	positions   map[string]position // position of each setting in the text; the map key is the path of the setting, written with current names
	formerNames []FormerName        // former names that occur in the text
}

// position is the position of a setting in the text.
type position struct {
	valueOffset int    // byte offset of the value of the setting
	writtenPath string // path of the setting as written in the text, which may contain former names
}

// decode decodes JSON with comments and trailing commas into the struct to which target points, and then
// calls the function validate. An unknown setting and a setting that occurs twice are errors. A setting that
// is absent from the text keeps its value. In errors, the paths of settings are written with current names.
func (d *decoder) decode(target any, validate func() error) error {
	var err error
	if d.document, err = hujson.Parse(d.text); err != nil {
		// The message of package hujson contains the line and column of the syntax error, so the fields Line
		// and Column refer to the start of the file.
		return &Error{File: d.file, Line: 1, Column: 1, Message: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	d.positions = map[string]position{"": {valueOffset: d.document.StartOffset}}
	if err := d.decodeValue(&d.document, "", reflect.ValueOf(target).Elem()); err != nil {
		return err
	}
	return d.addPosition(validate())
}

// decodeValue decodes the JSON value of a setting into target. The parameter "path" is the path of the setting,
// written with current names.
func (d *decoder) decodeValue(value *hujson.Value, path string, target reflect.Value) error {
	d.replaceFormerValue(value, path)
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch typed := value.Value.(type) {
	case *hujson.Object:
		switch target.Kind() {
		case reflect.Struct:
			return d.decodeObject(typed, path, target)
		case reflect.Map:
			return d.decodeMap(typed, path, target)
		default:
			return d.errorAt(value.StartOffset, path, "an object, want %s", typeName(target))
		}
	case *hujson.Array:
		if target.Kind() != reflect.Slice {
			return d.errorAt(value.StartOffset, path, "a list, want %s", typeName(target))
		}
		return d.decodeList(typed, path, target)
	case hujson.Literal:
		return d.decodeLiteral(typed, value.StartOffset, path, target)
	}
	return d.errorAt(value.StartOffset, path, "the value is not an object, list, string, number or boolean")
}

// decodeObject decodes a JSON object into a struct.
func (d *decoder) decodeObject(object *hujson.Object, path string, target reflect.Value) error {
	occurrences := map[string]memberOccurrence{}
	for i := range object.Members {
		member := &object.Members[i]
		occurrence := memberOccurrence{name: memberName(member), nameOffset: member.Name.StartOffset}
		name := d.replaceFormerKey(member, path)
		memberPath := joinPath(path, name)
		if first, isDuplicate := occurrences[name]; isDuplicate {
			return d.duplicateError(memberPath, first, occurrence)
		}
		occurrences[name] = occurrence
		field, isKnown := fieldNamed(target, name)
		if !isKnown {
			return d.errorAt(member.Name.StartOffset, memberPath, "no such setting; there are %s", strings.Join(fieldNames(target), ", "))
		}
		if err := d.decodeValue(&member.Value, memberPath, field); err != nil {
			return err
		}
	}
	return nil
}

// memberOccurrence is an occurrence of an object member in the text.
type memberOccurrence struct {
	name       string // name of the member as written in the text
	nameOffset int    // byte offset of the name in the text
}

// duplicateError returns the error for a setting that occurs twice in an object. One occurrence may have the
// former name of the setting and the other its current name.
func (d *decoder) duplicateError(path string, first, second memberOccurrence) error {
	if first.name == second.name {
		return d.errorAt(second.nameOffset, path, "given twice")
	}
	firstLine, _ := d.lineAndColumn(first.nameOffset)
	secondLine, _ := d.lineAndColumn(second.nameOffset)
	return d.errorAt(second.nameOffset, path, "given twice, as %q in line %d and as %q in line %d", first.name, firstLine, second.name, secondLine)
}

// decodeMap decodes a JSON object into a map with string keys.
func (d *decoder) decodeMap(object *hujson.Object, path string, target reflect.Value) error {
	decoded := reflect.MakeMap(target.Type())
	for i := range object.Members {
		member := &object.Members[i]
		name := d.replaceFormerKey(member, path)
		memberPath := joinPath(path, name)
		element := reflect.New(target.Type().Elem()).Elem()
		if err := d.decodeValue(&member.Value, memberPath, element); err != nil {
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

// decodeList decodes a JSON array into a slice.
func (d *decoder) decodeList(array *hujson.Array, path string, target reflect.Value) error {
	decoded := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		index := fmt.Sprintf("[%d]", i)
		d.positions[path+index] = position{valueOffset: array.Elements[i].StartOffset, writtenPath: d.positions[path].writtenPath + index}
		if err := d.decodeValue(&array.Elements[i], path+index, decoded.Index(i)); err != nil {
			return err
		}
	}
	target.Set(decoded)
	return nil
}

// decodeLiteral decodes a JSON string, number or boolean into target. The literal begins at the given byte
// offset in the text.
func (d *decoder) decodeLiteral(literal hujson.Literal, offset int, path string, target reflect.Value) error {
	if !setLiteral(literal, target) {
		return d.errorAt(offset, path, "%.40s, want %s", literal, typeName(target))
	}
	return nil
}

// setLiteral sets target to the value of a JSON literal. It reports whether the literal has the type of target.
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

// setNumber sets a floating-point target to the value of a JSON literal. It reports whether the literal is a
// number in the range of float64.
func setNumber(literal hujson.Literal, target reflect.Value) bool {
	var number float64
	if err := json.Unmarshal([]byte(literal), &number); literal.Kind() != '0' || err != nil {
		return false
	}
	target.SetFloat(number)
	return true
}

// setInteger sets an integer target to the value of a JSON literal. It reports whether the literal is a whole
// number in the range of int64 and, if target is unsigned, is not negative.
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

// memberName returns the name of a JSON object member as written in the parsed document.
func memberName(member *hujson.ObjectMember) string {
	return member.Name.Value.(hujson.Literal).String()
}

// joinPath appends the name of an object member to the path of the enclosing object.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldNamed returns the field of a struct whose json tag contains the given name. It also reports whether the
// struct has such a field.
func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// fieldNames returns the names from the json tags of all fields of a struct.
func fieldNames(v reflect.Value) []string {
	var names []string
	for i := range v.NumField() {
		if name := jsonName(v.Type().Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// jsonName returns the name that the json tag of a field contains. It returns "" if the tag contains no name.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// typeName returns a description of the expected JSON type for error messages. The parameter v is the Go value
// into which the JSON value would be decoded.
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
