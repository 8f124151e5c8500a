package config

import (
	"fmt"
	"regexp"

	"github.com/tailscale/hujson"
)

// Renames contains the renamed settings and the renamed values of a file format. Files may use the former
// names as well as the current names.
type Renames struct {
	Keys   []RenamedKey
	Values []RenamedValue
}

// RenamedKey contains the former name and the current name of a renamed setting.
type RenamedKey struct {
	Section string // path of the enclosing object, written with current names, such as classes; "" for a top-level setting
	Former  string // former name of the setting
	Current string // current name of the setting
}

// RenamedValue contains the former text and the current text of a renamed value of a setting.
type RenamedValue struct {
	Path    string // path of the setting, written with current names, such as classes.dedupDomain
	Former  string // former text of the value
	Current string // current text of the value
}

// FormerName is an occurrence of the former name of a setting, or of a former value, in a file.
type FormerName struct {
	Line, Column int
	Former       string // path of a renamed setting as written in the file; for a renamed value, the current path and the former value
	Current      string // path of a renamed setting, written with current names; for a renamed value, the current value
}

// String returns a message with the position of the former name, the former name and the current name.
func (f FormerName) String() string {
	return fmt.Sprintf("%d:%d: %s is now %s", f.Line, f.Column, f.Former, f.Current)
}

// currentKey returns the current name of the setting with the given name in the given section. If the name is
// not a former name, currentKey returns the name unchanged.
func (r *Renames) currentKey(section, name string) string {
	for i := range r.Keys {
		if key := &r.Keys[i]; key.Section == section && key.Former == name {
			return key.Current
		}
	}
	return name
}

// currentValue returns the current text of a value of the setting at the given path. If the text is not a
// former value of this setting, currentValue returns the text unchanged.
func (r *Renames) currentValue(path, text string) string {
	for i := range r.Values {
		if value := &r.Values[i]; value.Path == path && value.Former == text {
			return value.Current
		}
	}
	return text
}

// listIndexPattern matches the index of a list element in a path, such as [1] in classes[1].idempotency.
var listIndexPattern = regexp.MustCompile(`\[[0-9]+\]`)

// removeListIndexes returns the given path without the indexes of list elements.
func removeListIndexes(path string) string { return listIndexPattern.ReplaceAllString(path, "") }

// replaceFormerKey returns the current name of a member of the JSON object at the given path, and records the
// position of the member. If the member has a former name, replaceFormerKey also records the former name and
// replaces it by the current name in the parsed document.
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

// replaceFormerValue checks whether the setting at the given path has a former value. If so, it records the
// former value and replaces it by the current value in the parsed document.
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

// recordFormerName records that a former name or former value occurs at the given byte offset in the text.
func (d *decoder) recordFormerName(offset int, former, current string) {
	line, column := d.lineAndColumn(offset)
	d.formerNames = append(d.formerNames, FormerName{Line: line, Column: column, Former: former, Current: current})
}
