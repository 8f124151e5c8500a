package workload

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"

	"github.com/klauspost/compress/zstd"
)

const (
	sourceBufferBytes  = 64 << 10
	detectionBytes     = 4096
	maxZstdWindowBytes = 256 << 20
)

// The first bytes of compressed sources.
var (
	gzipMagic = []byte{0x1f, 0x8b}
	zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}
)

// Decompress returns the plain text of a source that may be compressed with gzip or zstd, recognized by its first bytes.
func Decompress(r io.Reader) (io.Reader, error) {
	buffered := bufio.NewReaderSize(r, sourceBufferBytes)
	head, err := buffered.Peek(len(zstdMagic))
	if err != nil && len(head) == 0 && !errors.Is(err, io.EOF) {
		return nil, err
	}
	switch {
	case bytes.HasPrefix(head, gzipMagic):
		return gzip.NewReader(buffered)
	case bytes.HasPrefix(head, zstdMagic):
		decoder, err := zstd.NewReader(buffered, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxZstdWindowBytes))
		if err != nil {
			return nil, err
		}
		return decoder, nil
	}
	return buffered, nil
}

// DetectFormat names the format of a source by its first bytes: "har", "jsonl", "combined" or "common". The returned reader starts at the
// beginning of the source.
func DetectFormat(r io.Reader) (format string, source io.Reader, err error) {
	buffered := bufio.NewReaderSize(r, sourceBufferBytes)
	head, err := buffered.Peek(detectionBytes)
	if err != nil && !errors.Is(err, io.EOF) && len(head) == 0 {
		return "", buffered, err
	}
	head = bytes.TrimSpace(head)
	line, _, _ := bytes.Cut(head, []byte("\n"))
	switch {
	case len(head) == 0:
		return "common", buffered, nil
	case head[0] == '{' && isJSONLine(line):
		return "jsonl", buffered, nil
	case head[0] == '{':
		return "har", buffered, nil
	case bytes.Count(line, []byte(`"`)) >= 6: // request, referrer and user agent are quoted
		return "combined", buffered, nil
	}
	return "common", buffered, nil
}

// isJSONLine reports whether a line that begins with a brace is a complete JSON object, and not a HAR file on one line.
func isJSONLine(line []byte) bool {
	isHAR := bytes.HasPrefix(bytes.TrimLeft(line[1:], " \t"), []byte(`"log"`))
	return json.Valid(line) && !isHAR
}
