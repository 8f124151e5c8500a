package config

import (
	"fmt"
	"regexp"

	"github.com/tailscale/hujson"
)

// Renames are the renamed settings of a file format, and the renamed values. Files may still use the former names.
type Renames struct {
	Keys   []RenamedKey
	Values []RenamedValue
}

// RenamedKey is a renamed setting.
type RenamedKey struct {
	Section string // path of the enclosing object in present names, such as classes; "" at the top
	Former  string
	Current string
}

// RenamedValue is a renamed value of a setting.
type RenamedValue struct {
	Path    string // of the setting in present names, such as classes.dedupDomain
	Former  string
	Current string
}

// FormerName is the use of a former name in a file, for a setting or for its value.
type FormerName struct {
	Line, Column int
	Former       string // path as written in the file, or path and value
	Current      string // the same in present names
}

// String describes the replacement of the former name, with its line and column.
func (f FormerName) String() string {
	return fmt.Sprintf("%d:%d: %s is now %s", f.Line, f.Column, f.Former, f.Current)
}

// keyName returns the present name of a setting of a section.
func (r *Renames) keyName(section, name string) string {
	for i := range r.Keys {
		if key := &r.Keys[i]; key.Section == section && key.Former == name {
			return key.Current
		}
	}
	return name
}

// value returns the present name of a value.
func (r *Renames) value(path, text string) string {
	for i := range r.Values {
		if value := &r.Values[i]; value.Path == path && value.Former == text {
			return value.Current
		}
	}
	return text
}

// listIndex matches the index of an element in a path.
var listIndex = regexp.MustCompile(`\[[0-9]+\]`)

// withoutIndexes returns a path without the indexes of list elements.
func withoutIndexes(path string) string { return listIndex.ReplaceAllString(path, "") }

// presentName returns the present name of a member of an object. A former name is replaced in the document and recorded.
func (d *decoder) presentName(member *hujson.ObjectMember, path string) string {
	written := memberName(member)
	name := d.renames.keyName(withoutIndexes(path), written)
	memberPath := joinPath(path, name)
	writtenPath := joinPath(d.positions[path].written, written)
	d.positions[memberPath] = position{offset: member.Value.StartOffset, written: writtenPath}
	if name != written {
		d.noteFormer(member.Name.StartOffset, writtenPath, memberPath)
		member.Name.Value = hujson.String(name)
	}
	return name
}

// presentValue replaces a former name of a value in the document and records it.
func (d *decoder) presentValue(value *hujson.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return
	}
	written := literal.String()
	if present := d.renames.value(withoutIndexes(path), written); present != written {
		d.noteFormer(value.StartOffset, fmt.Sprintf("%s %q", path, written), fmt.Sprintf("%q", present))
		value.Value = hujson.String(present)
	}
}

func (d *decoder) noteFormer(offset int, former, present string) {
	line, column := d.lineAndColumn(offset)
	d.former = append(d.former, FormerName{Line: line, Column: column, Former: former, Current: present})
}
