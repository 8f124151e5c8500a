package workload

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heathshed/internal/testsupport/proptest"
	"heathshed/placer"
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

// readAll reads a source to its end: its entries, and how many were skipped for each reason.
func readAll(tb testing.TB, reader Reader) (entries []Entry, skipped map[ErrorKind]int) {
	tb.Helper()
	skipped = map[ErrorKind]int{}
	for range 1 << 20 {
		entry, err := reader.Next()
		var entryError *EntryError
		switch {
		case errors.Is(err, io.EOF):
			return entries, skipped
		case errors.As(err, &entryError):
			skipped[entryError.Kind]++
		case err != nil:
			tb.Fatal(err)
		default:
			entries = append(entries, entry)
		}
	}
	tb.Fatal("no end")
	return nil, nil
}

func mustParseFormat(tb testing.TB, text string) *Format {
	tb.Helper()
	format, err := ParseFormat(text)
	if err != nil {
		tb.Fatal(err)
	}
	return format
}

const commonLine = `10.0.0.1 - ana [10/Oct/2026:13:55:36 -0500] "GET /a/b?c=d HTTP/1.1" 200 2326`

// TestLogLines checks lines of access logs: what an entry has of a good one, and why a bad one is skipped.
func TestLogLines(t *testing.T) {
	const nginx = `$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" $request_time`
	for _, test := range []struct {
		name, format, line string
		wantSkipped        ErrorKind // "" if the line is an entry
	}{
		{"common", Common, commonLine, ""},
		{"no bytes", Common, strings.Replace(commonLine, "2326", "-", 1), ""},
		{"combined", Combined, commonLine + ` "-" "a \"b\" c"`, ""},
		{"nginx", nginx, commonLine + ` "http://x/" 0.120`, ""},
		{"method and path apart", `%t %m %U%%%q %D`, `[10/Oct/2026:13:55:36 -0500] GET /a/b%?c=d 1500`, ""},
		{"cut", Common, commonLine[:60], Truncated},
		{"no request", Common, strings.Replace(commonLine, "GET /a/b?c=d HTTP/1.1", "-", 1), BadRequest},
		{"time", Common, strings.Replace(commonLine, "Oct", "Okt", 1), BadTime},
		{"year", Common, strings.Replace(commonLine, "2026", "1066", 1), BadTime},
		{"status", Common, strings.Replace(commonLine, " 200 ", " 2x0 ", 1), Malformed},
		{"more", Common, commonLine + " x", Malformed},
		{"other", Common, "hello", Truncated},
	} {
		t.Run(test.name, func(t *testing.T) {
			source := test.line
			if test.wantSkipped != Truncated {
				source += "\n"
			}
			entries, skipped := readAll(t, NewLog(strings.NewReader(source), "f", mustParseFormat(t, test.format)))
			if test.wantSkipped != "" {
				if len(entries) != 0 || skipped[test.wantSkipped] != 1 {
					t.Errorf("%+v, %v, want %s", entries, skipped, test.wantSkipped)
				}
				return
			}
			if len(entries) != 1 {
				t.Fatalf("%+v, %v, want one entry", entries, skipped)
			}
			got := entries[0]
			if got.Path != "/a/b" || got.Query != "c=d" || got.Method != "GET" || got.At != 1791658536 || !got.WholeSeconds {
				t.Errorf("%+v, %v", got, skipped)
			}
		})
	}
}

// TestParseFormatErrors checks that formats from which no entry could be read are rejected.
func TestParseFormatErrors(t *testing.T) {
	for _, bad := range []string{"", "%h %r", "%t %b", "%t%r", "%t %{x", "%t %r %Z", "%t %r %"} {
		if _, err := ParseFormat(bad); err == nil {
			t.Errorf("format %q was accepted", bad)
		}
	}
}

// harFile returns a HAR file with a number of entries.
func harFile(entries int) string {
	var file strings.Builder
	file.WriteString(`{"log":{"version":"1.2","creator":{"name":"x","x":[1,{"entries":[2]}]},"entries":[`)
	for i := range entries {
		if i > 0 {
			file.WriteByte(',')
		}
		fmt.Fprintf(&file, `{"startedDateTime":"2026-10-10T13:55:%02d.5Z","time":12.5,"request":{"method":"GET","url":"http://h.example/p%d?q"},`+
			`"response":{"status":200,"content":{"size":5}}}`, i, i)
	}
	return file.String() + `],"pages":[]}}`
}

// TestTruncatedHAR cuts a HAR file at every byte: every entry that is complete is read, and the truncation is reported.
func TestTruncatedHAR(t *testing.T) {
	text := harFile(4)
	for i := range len(text) {
		entries, skipped := readAll(t, NewHAR(strings.NewReader(text[:i]), "f"))
		complete := strings.Count(text[:i], `"size":5}}}`)
		if len(entries) != complete || i < strings.Index(text, `],"pages"`) && skipped[Truncated] != 1 {
			t.Fatalf("cut at %d: %d entries, want %d; %v", i, len(entries), complete, skipped)
		}
	}
	entries, skipped := readAll(t, NewHAR(strings.NewReader(text), "f"))
	if len(entries) != 4 || len(skipped) != 0 {
		t.Fatalf("%+v, %v, want four entries", entries, skipped)
	}
	last := entries[3]
	if last.Host != "h.example" || last.Path != "/p3" || last.Query != "q" || last.Duration != 0.0125 {
		t.Errorf("last entry %+v", last)
	}
}

// TestTruncatedLog cuts an access log at every byte: every line that is complete is read.
func TestTruncatedLog(t *testing.T) {
	log := strings.Repeat(commonLine+"\n", 3)
	for i := range len(log) {
		entries, _ := readAll(t, NewLog(strings.NewReader(log[:i]), "f", mustParseFormat(t, Common)))
		if complete := strings.Count(log[:i], "\n"); len(entries) < complete || len(entries) > complete+1 {
			t.Fatalf("cut at %d: %d entries of %d", i, len(entries), complete)
		}
	}
}

// gzipped compresses a text.
func gzipped(tb testing.TB, text string) *bytes.Buffer {
	tb.Helper()
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write([]byte(text)); err != nil {
		tb.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		tb.Fatal(err)
	}
	return &compressed
}

// TestJSONLinesAndGzip checks JSON lines from a compressed source, with times in two forms and lines that are skipped.
func TestJSONLinesAndGzip(t *testing.T) {
	lines := strings.Join([]string{
		`{"time":"2026-10-10T13:55:36.25Z","method":"GET","path":"/a?b","status":200,"duration":0.5}`,
		`{"time":1791640536250,"path":"/c"}`,
		`{"time":"x","path":"/"}`,
		`{"time":1791640536}`,
		`{"time":`,
	}, "\n")
	source, err := Decompress(gzipped(t, lines))
	if err != nil {
		t.Fatal(err)
	}
	entries, skipped := readAll(t, NewJSONLines(source, "f", DefaultJSONFields()))
	if len(entries) != 2 || skipped[BadTime] != 1 || skipped[BadRequest] != 1 || skipped[Truncated] != 1 {
		t.Fatalf("%+v, %v", entries, skipped)
	}
	if entries[0].At != 1791640536.25 || entries[1].At != 1791640536.25 || entries[0].Query != "b" {
		t.Errorf("%+v", entries)
	}
}

// TestSorter checks that in whatever order entries are added, they are emitted in order, none is lost or doubled, entries of equal time keep
// their order, and only those older than the window are rejected.
func TestSorter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sorter := Sorter{Window: placer.Seconds(rapid.Float64Range(0, 5).Draw(t, "window"))}
		count := rapid.IntRange(0, 80).Draw(t, "n")
		var sorted []Entry
		var newest placer.Seconds
		rejected := 0
		for i := range count {
			at := 100 + placer.Seconds(rapid.IntRange(0, 40).Draw(t, "at"))/4
			entry := Entry{At: at, WholeSeconds: rapid.Bool().Draw(t, "coarse"), Line: int64(i)}
			var entryError *EntryError
			if sorted, entryError = sorter.Add(entry, sorted); entryError != nil {
				rejected++
				if at >= newest-sorter.Window {
					t.Fatalf("%v was rejected, newest %v, window %v", at, newest, sorter.Window)
				}
			}
			newest = max(newest, at)
		}
		sorted = sorter.Flush(sorted)
		if len(sorted)+rejected != count {
			t.Fatalf("%d emitted, %d rejected of %d", len(sorted), rejected, count)
		}
		for i := 1; i < len(sorted); i++ {
			previous, entry := &sorted[i-1], &sorted[i]
			if entry.At < previous.At || entry.At == previous.At && entry.Line < previous.Line {
				t.Fatalf("%v after %v", *entry, *previous)
			}
		}
	})
}

// FuzzLog checks that no text makes a reader panic or yield more than its lines.
func FuzzLog(f *testing.F) {
	f.Add(commonLine)
	f.Add(commonLine + "\n\n# c\n" + commonLine[:30])
	combined := mustParseFormat(f, Combined)
	f.Fuzz(func(t *testing.T, text string) {
		entries, skipped := readAll(t, NewLog(strings.NewReader(text), "f", combined))
		total := len(entries)
		for _, count := range skipped {
			total += count
		}
		if lines := strings.Count(text, "\n") + 1; total > lines {
			t.Fatalf("%d entries and skipped ones in %d lines", total, lines)
		}
		readAll(t, NewJSONLines(strings.NewReader(text), "f", DefaultJSONFields()))
		readAll(t, NewHAR(strings.NewReader(text), "f"))
	})
}
