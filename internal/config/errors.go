package config

import (
	"errors"
	"fmt"
	"strings"
)

// FieldError is a setting whose value cannot be used.
type FieldError struct {
	Path   string // of the setting, such as classes[1].effect
	Reason string
}

func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// invalid returns a *FieldError.
func invalid(path, format string, args ...any) error {
	return &FieldError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// Error is an error in a settings file, with its position. Line and Column count from 1; Column counts bytes.
type Error struct {
	File         string
	Line, Column int
	Path         string // of the setting, such as classes[1].effect; "" if the text is not valid JSON
	Message      string
}

func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Path, e.Message)
}

// errorAt returns an *Error at an offset of the text.
func (d *decoder) errorAt(offset int, path, format string, args ...any) error {
	offset = min(max(offset, 0), len(d.text))
	before := string(d.text[:offset])
	return &Error{
		File:    d.file,
		Line:    strings.Count(before, "\n") + 1,
		Column:  offset - strings.LastIndexByte(before, '\n'),
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	}
}

// locate adds the position in the decoded text to a *FieldError: that of the setting, or of the innermost enclosing one that the text
// contains. Other errors are returned as they are.
func (d *decoder) locate(err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return err
	}
	offset, found := d.offsets[field.Path]
	for path := field.Path; !found && path != ""; offset, found = d.offsets[path] {
		path = parentPath(path)
	}
	return d.errorAt(offset, field.Path, "%s", field.Reason)
}

// parentPath is the path of the enclosing object or list, "" for a top-level setting.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
