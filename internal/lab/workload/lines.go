package workload

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxLineBytes bounds a line of a source; a longer one is skipped.
const maxLineBytes = 1 << 20

// lineReader splits a source into numbered lines.
type lineReader struct {
	source *bufio.Reader
	file   string
	number int64 // of the line that was read last, from 1
	buffer []byte
}

func newLineReader(r io.Reader, file string) lineReader {
	return lineReader{source: bufio.NewReaderSize(r, sourceBufferBytes), file: file}
}

// next returns a line without its line ending. truncated reports that the source ended without one. A line over maxLineBytes is an
// *EntryError.
func (l *lineReader) next() (line string, truncated bool, err error) {
	l.buffer = l.buffer[:0]
	tooLong := false
	for {
		chunk, err := l.source.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			if tooLong = tooLong || len(l.buffer)+len(chunk) > maxLineBytes; !tooLong {
				l.buffer = append(l.buffer, chunk...)
			}
			continue
		}
		if len(chunk) == 0 && len(l.buffer) == 0 && !tooLong && err != nil {
			return "", false, err
		}
		l.number++
		if tooLong {
			return "", false, l.entryError(TooLong, string(l.buffer), fmt.Sprintf("line over %d bytes", maxLineBytes))
		}
		if err != nil && !endsSource(err) {
			return "", false, err
		}
		l.buffer = append(l.buffer, chunk...)
		return strings.TrimRight(string(l.buffer), "\r\n"), err != nil, nil
	}
}

// endsSource reports whether an error is the end of a source, or of a truncated compressed source.
func endsSource(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// entryError returns the error of the line that was read last.
func (l *lineReader) entryError(kind ErrorKind, line, reason string) *EntryError {
	return &EntryError{Kind: kind, File: l.file, Line: l.number, Text: excerpt(line), Reason: reason}
}
