// Package workload reads recorded load: access logs described by a format string, JSON lines and HAR files, each as a stream of entries
// in the order of the source, which a Sorter puts in order of time. An entry that cannot be read is reported as an *EntryError and skipped;
// reading continues after it.
//
// The command load inspect uses it. Begin reading at Reader in this file; NewLog, NewJSONLines and NewHAR return the readers of the three formats,
// Decompress and DetectFormat open a source.
//
// The package is a codec: it reads from the io.Readers that it is given, opens no file and does not know about tasks.
package workload

import (
	"fmt"

	"heathshed/placer"
)

// Entry is one recorded request.
type Entry struct {
	At           placer.Seconds // Unix time
	WholeSeconds bool           // the source gave no fractions of a second
	Method       string
	Host         string
	Path         string
	Query        string
	Status       int
	Bytes        int64
	Duration     placer.Seconds // 0 if the source gave none
	RemoteAddr   string
	User         string
	File         string
	Line         int64 // number of the line, or of the entry in a HAR file, from 1
	order        int64 // order of arrival at a Sorter
}

// Reader reads entries in the order of the source. Next returns an *EntryError for an entry that is skipped, io.EOF at the end, and any
// other error when the source cannot be read further.
type Reader interface{ Next() (Entry, error) }

// ErrorKind classifies the entries that are skipped.
type ErrorKind string

// The kinds of errors for which an entry is skipped.
const (
	Malformed  ErrorKind = "malformed"    // the line does not have the format
	BadTime    ErrorKind = "bad-time"     // no time, or one that cannot be parsed
	BadRequest ErrorKind = "bad-request"  // no method or no path
	TooLong    ErrorKind = "too-long"     // the line exceeds the limit
	Truncated  ErrorKind = "truncated"    // the source ends inside an entry
	OutOfOrder ErrorKind = "out-of-order" // older than the sorting window allows
)

// EntryError reports an entry that was skipped because it could not be read or could not be put in order.
type EntryError struct {
	Kind   ErrorKind `json:"kind"`
	File   string    `json:"file"`
	Line   int64     `json:"line"`
	Text   string    `json:"text"` // the beginning of the entry
	Reason string    `json:"error"`
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Kind, e.Reason)
}

// maxErrorText bounds the input quoted in an error, in bytes.
const maxErrorText = 80

// excerpt returns the beginning of a text, for errors.
func excerpt(s string) string {
	if len(s) > maxErrorText {
		s = s[:maxErrorText]
	}
	return s
}
