// Package goldentest supports characterization tests: a test records what it observes in a Recorder, and Recorder.Check compares the record byte
// for byte with a file in the testdata directory of the test's package. It is for tests only.
//
// Records contain only numbers, names from the wire, encoded bytes and the bits of floating point values, never names of Go identifiers, so that
// renaming types, functions and fields does not change them. A missing golden file fails the test. Golden files are written only
// if the environment variable HEATHSHED_UPDATE_GOLDEN is 1:
//
//	HEATHSHED_UPDATE_GOLDEN=1 go test ./internal/...
package goldentest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// UpdateVariable is the environment variable that makes Check write golden files.
const UpdateVariable = "HEATHSHED_UPDATE_GOLDEN"

// Digest returns the SHA-256 digest of a text in hexadecimal, for a text that is too long for a golden file.
func Digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

// Recorder collects the lines of a golden file. Values are added to a cumulative SHA-256 digest; Checkpoint writes the digest so far as a line,
// so that the first line that differs shows where behaviour begins to differ.
type Recorder struct {
	digest hash.Hash
	lines  []string
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return &Recorder{digest: sha256.New()} }

// Integers adds integers to the digest.
func (r *Recorder) Integers(values ...int64) {
	for _, value := range values {
		r.word('i', uint64(value))
	}
}

// Floats adds the bits of floating point values to the digest.
func (r *Recorder) Floats(values ...float64) {
	for _, value := range values {
		r.word('f', math.Float64bits(value))
	}
}

// Booleans adds truth values to the digest.
func (r *Recorder) Booleans(values ...bool) {
	for _, value := range values {
		if value {
			r.word('b', 1)
		} else {
			r.word('b', 0)
		}
	}
}

// Texts adds texts to the digest, each with its length.
func (r *Recorder) Texts(values ...string) {
	for _, value := range values {
		r.word('t', uint64(len(value)))
		r.digest.Write([]byte(value))
	}
}

// Bytes adds encoded bytes to the digest, with their length.
func (r *Recorder) Bytes(value []byte) { r.Texts(string(value)) }

// Error adds to the digest whether there is an error, and its text.
func (r *Recorder) Error(err error) {
	r.Booleans(err != nil)
	if err != nil {
		r.Texts(err.Error())
	}
}

func (r *Recorder) word(tag byte, value uint64) {
	r.digest.Write(binary.BigEndian.AppendUint64([]byte{tag}, value))
}

// Line writes a line as it is.
func (r *Recorder) Line(format string, arguments ...any) {
	r.lines = append(r.lines, strings.ReplaceAll(fmt.Sprintf(format, arguments...), "\n", "\\n"))
}

// Checkpoint writes a line with a label and the digest of all values so far.
func (r *Recorder) Checkpoint(label string) {
	r.Line("%s %s", label, hex.EncodeToString(r.digest.Sum(nil)))
}

// Check compares what was recorded with the file testdata/<name>.golden, or writes that file if UpdateVariable is 1.
func (r *Recorder) Check(tb testing.TB, name string) {
	tb.Helper()
	CheckText(tb, name, strings.Join(r.lines, "\n")+"\n")
}

// CheckText compares a text with the file testdata/<name>.golden, or writes that file if UpdateVariable is 1.
func CheckText(tb testing.TB, name, got string) {
	tb.Helper()
	path := filepath.Join("testdata", name+".golden")
	if os.Getenv(UpdateVariable) == "1" {
		write(tb, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tb.Fatalf("the golden file is missing; see package goldentest: %v", err)
	}
	compare(tb, path, got, string(want))
}

func write(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		tb.Fatal(err)
	}
}

// compare reports the first line that differs.
func compare(tb testing.TB, path, got, want string) {
	tb.Helper()
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			tb.Fatalf("%s:%d differs:\n got %.600s\nwant %.600s", path, i+1, gotLines[i], wantLines[i])
		}
	}
	tb.Fatalf("%s: got %d lines, want %d", path, len(gotLines)-1, len(wantLines)-1)
}
