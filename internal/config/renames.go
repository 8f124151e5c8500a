package config

import (
	"fmt"
	"regexp"

	"github.com/tailscale/hujson"
)

// Renames are the settings of a file format that had other names, and the values that were other words. Files may still give the former ones.
type Renames struct {
	Keys   []RenamedKey
	Values []RenamedValue
}

// RenamedKey is a setting that had another name.
type RenamedKey struct {
	Section string // path of the enclosing object in present names, such as classes; "" at the top
	Former  string
	Name    string
}

// RenamedValue is a text that was another word.
type RenamedValue struct {
	Path   string // of the setting in present names, such as classes.dedupDomain
	Former string
	Value  string
}

// FormerName is a setting that a file gives under its former name, or with the former word for its value.
type FormerName struct {
	Line, Column int
	Former       string // path as the file gives it, or path and value
	Present      string // the same in present names
}

// String says what is to be written in place of what.
func (f FormerName) String() string {
	return fmt.Sprintf("%d:%d: %s is now %s", f.Line, f.Column, f.Former, f.Present)
}

// keyName returns the present name of a setting of a section.
func (r *Renames) keyName(section, name string) string {
	for i := range r.Keys {
		if key := &r.Keys[i]; key.Section == section && key.Former == name {
			return key.Name
		}
	}
	return name
}

// value returns the present word for a value.
func (r *Renames) value(path, text string) string {
	for i := range r.Values {
		if value := &r.Values[i]; value.Path == path && value.Former == text {
			return value.Value
		}
	}
	return text
}

// listIndex matches the index of an element in a path.
var listIndex = regexp.MustCompile(`\[[0-9]+\]`)

// withoutIndexes returns a path that is the same for all elements of a list.
func withoutIndexes(path string) string { return listIndex.ReplaceAllString(path, "") }

// presentName returns the present name of a member of an object, writes it into the document, and notes a former one.
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

// presentValue writes the present word for a string into the document and notes a former one.
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
	d.former = append(d.former, FormerName{Line: line, Column: column, Former: former, Present: present})
}
