package config

import (
	"fmt"
	"regexp"

	"github.com/tailscale/hujson"
)

// Renames contains the renamed settings and the renamed values of a file format. Files may still use the
// former names.
type Renames struct {
	Keys   []RenamedKey
	Values []RenamedValue
}

// RenamedKey is the former and the current name of a renamed setting.
type RenamedKey struct {
	Section string // path of the enclosing object in current names, such as classes; "" for a top-level setting
	Former  string // former name of the setting
	Current string // current name of the setting
}

// RenamedValue is the former and the current form of a renamed value of a setting.
type RenamedValue struct {
	Path    string // path of the setting in current names, such as classes.dedupDomain
	Former  string // former value
	Current string // current value
}

// FormerName is an occurrence of a former name in a file. It is the former name of a setting or of a value.
type FormerName struct {
	Line, Column int
	Former       string // path of the setting as written in the file; for a renamed value, the path and the former value
	Current      string // path of the setting in current names; for a renamed value, the current value
}

// String returns a message with the position of the former name, the former name and the current name.
func (f FormerName) String() string {
	return fmt.Sprintf("%d:%d: %s is now %s", f.Line, f.Column, f.Former, f.Current)
}

// currentKey returns the current name of a setting in a section. A name that is not a former name is returned
// unchanged.
func (r *Renames) currentKey(section, name string) string {
	for i := range r.Keys {
		if key := &r.Keys[i]; key.Section == section && key.Former == name {
			return key.Current
		}
	}
	return name
}

// currentValue returns the current form of a value of the setting at path. A value that is not a former value
// is returned unchanged.
func (r *Renames) currentValue(path, text string) string {
	for i := range r.Values {
		if value := &r.Values[i]; value.Path == path && value.Former == text {
			return value.Current
		}
	}
	return text
}

// listIndexPattern matches the index of a list element in a path.
var listIndexPattern = regexp.MustCompile(`\[[0-9]+\]`)

// removeListIndexes returns a path without the indexes of list elements.
func removeListIndexes(path string) string { return listIndexPattern.ReplaceAllString(path, "") }

// replaceFormerKey returns the current name of a member of the object at path. If the member has a former
// name, replaceFormerKey replaces the name in the document and records it. It also records the position of
// the member.
func (d *decoder) replaceFormerKey(member *hujson.ObjectMember, path string) string {
	written := memberName(member)
	name := d.renames.currentKey(removeListIndexes(path), written)
	memberPath := joinPath(path, name)
	writtenPath := joinPath(d.positions[path].writtenPath, written)
	d.positions[memberPath] = position{valueOffset: member.Value.StartOffset, writtenPath: writtenPath}
	if name != written {
		d.recordFormerName(member.Name.StartOffset, writtenPath, memberPath)
		member.Name.Value = hujson.String(name)
	}
	return name
}

// replaceFormerValue replaces a former value of the setting at path in the document and records the former
// value.
func (d *decoder) replaceFormerValue(value *hujson.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return
	}
	written := literal.String()
	if current := d.renames.currentValue(removeListIndexes(path), written); current != written {
		d.recordFormerName(value.StartOffset, fmt.Sprintf("%s %q", path, written), fmt.Sprintf("%q", current))
		value.Value = hujson.String(current)
	}
}

// recordFormerName records the former name at the given byte offset in the text.
func (d *decoder) recordFormerName(offset int, former, current string) {
	line, column := d.lineAndColumn(offset)
	d.formerNames = append(d.formerNames, FormerName{Line: line, Column: column, Former: former, Current: current})
}
