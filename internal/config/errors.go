package config

import (
	"errors"
	"fmt"
	"strings"
)

// FieldError is the error for a setting with an invalid value. It does not contain the position of the setting
// in a file.
type FieldError struct {
	Path   string // path of the setting, such as classes[1].idempotency
	Reason string // reason why the value is invalid
}

func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// newFieldError returns a *FieldError for the setting at the given path. It formats the reason like
// fmt.Sprintf.
func newFieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// Error is an error in a settings file with the position of the error. Line and Column start at 1, and Column
// counts bytes.
type Error struct {
	File         string
	Line, Column int
	Path         string // path of the setting, such as classes[1].idempotency; "" if the file is not valid JSON
	FormerPath   string // path as written in the file, such as classes[1].effect; "" if the written path contains no former name
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

// errorAt returns an *Error for the setting at the given path. The position of the error is that of the given
// byte offset in the text.
func (d *decoder) errorAt(offset int, path, format string, args ...any) error {
	line, column := d.lineAndColumn(offset)
	e := &Error{File: d.file, Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...)}
	if written := d.positions[path].writtenPath; written != path {
		e.FormerPath = written
	}
	return e
}

// lineAndColumn returns the line and the column of the given byte offset in the text. Line and column start
// at 1, and the column counts bytes.
func (d *decoder) lineAndColumn(offset int) (line, column int) {
	offset = min(max(offset, 0), len(d.text))
	before := string(d.text[:offset])
	return strings.Count(before, "\n") + 1, offset - strings.LastIndexByte(before, '\n')
}

// addPosition converts a *FieldError to an *Error with the position of the setting in the text. If the text
// does not contain the setting, the *Error has the position of the innermost enclosing object or list that the
// text contains. Errors of other types are returned unchanged.
func (d *decoder) addPosition(err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return err
	}
	at, found := d.positions[field.Path]
	for path := field.Path; !found && path != ""; at, found = d.positions[path] {
		path = parentPath(path)
	}
	return d.errorAt(at.valueOffset, field.Path, "%s", field.Reason)
}

// parentPath returns the path of the object or list that encloses the setting at the given path. For a
// top-level setting, parentPath returns "".
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
