package config

import (
	"errors"
	"fmt"
	"strings"
)

// FieldError reports a setting with an invalid value.
type FieldError struct {
	Path   string // of the setting, such as classes[1].idempotency
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
	Path         string // of the setting, such as classes[1].idempotency; "" if the text is not valid JSON
	FormerPath   string // the path with the former names used in the file, such as classes[1].effect; "" if there are none
	Message      string
}

func (e *Error) Error() string {
	message := e.Message
	switch {
	case e.FormerPath != "":
		message = fmt.Sprintf("%s (given as %s): %s", e.Path, e.FormerPath, e.Message)
	case e.Path != "":
		message = e.Path + ": " + e.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, message)
}

// errorAt returns an *Error about the text at an offset.
func (d *decoder) errorAt(offset int, path, format string, args ...any) error {
	line, column := d.lineAndColumn(offset)
	e := &Error{File: d.file, Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...)}
	if written := d.positions[path].written; written != path {
		e.FormerPath = written
	}
	return e
}

// lineAndColumn returns the position of an offset of the text. Both count from 1; the column counts bytes.
func (d *decoder) lineAndColumn(offset int) (line, column int) {
	offset = min(max(offset, 0), len(d.text))
	before := string(d.text[:offset])
	return strings.Count(before, "\n") + 1, offset - strings.LastIndexByte(before, '\n')
}

// locate turns a *FieldError into an *Error with the position of the setting in the text, or of the innermost enclosing setting that the text
// contains. Other errors are returned unchanged.
func (d *decoder) locate(err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return err
	}
	at, found := d.positions[field.Path]
	for path := field.Path; !found && path != ""; at, found = d.positions[path] {
		path = parentPath(path)
	}
	return d.errorAt(at.offset, field.Path, "%s", field.Reason)
}

// parentPath is the path of the enclosing object or list, "" for a top-level setting.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
