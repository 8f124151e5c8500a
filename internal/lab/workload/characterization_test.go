package workload

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"

	"heathshed/internal/testsupport/goldentest"
	"heathshed/placer"
)

// The tests pin entries and problems of each recorded format for fixed inputs. Regenerate the golden files with HEATHSHED_UPDATE_GOLDEN=1
// only if behaviour is meant to change; see package goldentest.

const logLines = `10.0.0.1 - ana [10/Oct/2026:13:55:36 -0500] "GET /a/b?c=d HTTP/1.1" 200 2326
10.0.0.2 - - [10/Oct/2026:13:55:36 -0500] "POST /x HTTP/1.0" 503 -
10.0.0.3 - - [10/Oct/2026:13:55:37 +0000] "GET /a%20b?c=\"d\" HTTP/1.1" 200 12 "-" "agent \"quoted\" \x41\t\\"
10.0.0.4 - - [10/Okt/2026:13:55:37 +0000] "GET / HTTP/1.1" 200 12 "-" "a"
10.0.0.5 - - [10/Oct/2026:13:55:37 +0000] "-" 400 0 "-" "a"
10.0.0.6 - - [10/Oct/2026:13:55:37 +0000] "GET http://host/p?q HTTP/1.1" 200 1 "http://r/" "b"

garbage
10.0.0.7 - - [10/Oct/1026:13:55:37 +0000] "GET / HTTP/1.1" abc xyz "-" "a"
10.0.0.8 - - [10/Oct/2026:13:55:39 +0000] "OPTIONS * HTTP/1.1" 200 0 "-" "a"
2026-10-10T13:55:40.25Z PUT /m ?q=1 1500 0.125 host.example 201
1791640541.5 GET /n q=2 1500 0.5 host.example 204
10.0.0.9 - - [10/Oct/2026:13:55:39`

const jsonLines = `{"time":"2026-10-10T13:55:36.5Z","method":"GET","host":"h","path":"/a?b=c","status":200,"bytes":12,"duration":0.25,"remote_addr":"10.0.0.1","user":"u"}
{"time":1791640541.25,"path":"/x","status":"404","bytes":"7"}
{"time":1791640541250,"path":"/milli"}
{"time":1791640541250000,"path":"/micro"}
{"time":"2026-10-10 13:55:36+02:00","path":"/space"}

{"time":"never","path":"/x"}
{"path":"/x"}
{"time":-1,"path":"/x"}
{"time":"1026-10-10T13:55:36Z","path":"/x"}
{"time":5}
[1]
{broken
{"nested":{"time":7,"path":"/deep"},"time":9,"path":"/top"}
{"time":"2026-10-10T13:55:36Z","path":"/cut`

const harText = `{"log":{"version":"1.2","pages":[{"id":"p"}],"entries":[
{"startedDateTime":"2026-10-10T13:55:36.123Z","time":12.5,"request":{"method":"GET","url":"https://h.example:8443/a/b?c=d#e"},"response":{"status":200,"content":{"size":42},"bodySize":40}},
{"startedDateTime":"2026-10-10T13:55:35Z","time":-1,"request":{"method":"POST","url":"http://h/"},"response":{"status":0,"bodySize":-1}},
{"startedDateTime":"x","request":{"method":"GET","url":"http://h/"}},
{"startedDateTime":"2026-10-10T13:55:37Z","request":{"method":"GET","url":"::"}},
{"startedDateTime":"2026-10-10T13:55:37Z","request":{"method":"","url":"http://h"}},
{"startedDateTime":"2026-10-10T13:55:37Z","request":{"method":"GET","url":""}},
7,
{"startedDateTime":"2026-10-10T13:55:38Z","request":{"method":"GET","url":"/only/path?q"},"serverIPAddress":"10.0.0.1"}
],"comment":"end"}}`

// recordEntries writes all entries and errors of a source.
func recordEntries(record *goldentest.Recorder, label string, source Reader) {
	record.Line("== %s", label)
	for range 200 {
		entry, err := source.Next()
		var skipped *EntryError
		switch {
		case errors.Is(err, io.EOF):
			record.Line("end")
			return
		case errors.As(err, &skipped):
			// What the JSON library says of a type that has no name holds names of Go fields.
			text, _, _ := strings.Cut(skipped.Error(), " of type struct")
			record.Line("problem %q %q %d %q %q", skipped.Kind, skipped.File, skipped.Line, skipped.Text, text)
		case err != nil:
			record.Line("error %v", err)
			return
		default:
			recordEntry(record, entry)
		}
	}
}

func recordEntry(record *goldentest.Recorder, entry Entry) {
	record.Line("entry %016x %v %q %q %q %q %d %d %016x %q %q %q %d", math.Float64bits(float64(entry.At)), entry.WholeSeconds, entry.Method,
		entry.Host, entry.Path, entry.Query, entry.Status, entry.Bytes, math.Float64bits(float64(entry.Duration)), entry.RemoteAddr,
		entry.User, entry.File, entry.Line)
}

// TestCharacterizeFormats pins access logs, JSON lines and HAR files, with malformed and truncated ones.
func TestCharacterizeFormats(t *testing.T) {
	record := goldentest.NewRecorder()
	for _, text := range []string{
		Common,
		Combined,
		`$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" "$http_user_agent"`,
		`$time_iso8601 $request_method $uri ?$args $body_bytes_sent $request_time $host $status`,
		`%t %m %U%%%q %D`,
		`$msec $request_method $uri $args $bytes_sent $request_time $http_host $status`,
		`%h %l %u %t "%r" %>s %B %T %v`,
		``, `%h`, `%t`, `%t%r`, `%t "%r`, `%q %t %r`, `%Z %t %r`, `%{x`, `$unknown $time_local $request`, `%{%s}t %r`, `%`, `$`,
	} {
		format, err := ParseFormat(text)
		if err != nil {
			record.Line("== %s: %v", text, err)
			continue
		}
		recordEntries(record, text, NewLog(strings.NewReader(logLines), "f.log", format))
	}
	recordEntries(record, "json lines", NewJSONLines(strings.NewReader(jsonLines), "f.jsonl", DefaultJSONFields()))
	fields := DefaultJSONFields()
	fields.Time, fields.Path, fields.User = "nested.time", "nested.path", ""
	recordEntries(record, "json lines, other fields", NewJSONLines(strings.NewReader(jsonLines), "f.jsonl", fields))
	recordEntries(record, "har", NewHAR(strings.NewReader(harText), "f.har"))
	for _, text := range []string{
		"", "{}", "[]", `{"log":[]}`, `{"log":{}}`, `{"log":{"entries":{}}}`, harText[:300], harText[:len(harText)-30], "x",
	} {
		recordEntries(record, fmt.Sprintf("har of %d bytes", len(text)), NewHAR(strings.NewReader(text), "f.har"))
	}
	long := strings.Repeat("x", 1<<20) + strings.Repeat("y", 9) + "\n" + logLines
	recordEntries(record, "a line of more than a MiB", NewLog(strings.NewReader(long), "f.log", mustParseFormat(t, Common)))
	record.Check(t, "formats")
}

// TestCharacterizeSources pins how compressed sources are opened, formats are guessed, and entries are brought in order.
func TestCharacterizeSources(t *testing.T) {
	record := goldentest.NewRecorder()
	for i, content := range [][]byte{
		[]byte(logLines),
		gzipped(t, logLines).Bytes(),
		zstandard(t, logLines),
		{},
		{0x1f, 0x8b, 1},
		{0x28, 0xb5, 0x2f, 0xfd, 9},
	} {
		opened, err := Decompress(bytes.NewReader(content))
		if err != nil {
			record.Line("source %d: %v", i, err)
			continue
		}
		whole, err := io.ReadAll(opened)
		record.Bytes(whole)
		record.Checkpoint(fmt.Sprintf("source %d: %d bytes, %v,", i, len(whole), err))
	}
	for i, text := range []string{logLines, jsonLines, harText, "", "  \n", strings.SplitAfter(logLines, "\n")[2], `{"log":1}`, `{"a"`} {
		format, whole, err := DetectFormat(strings.NewReader(text))
		rest, _ := io.ReadAll(whole)
		record.Line("guess %d: %s, %v, %d bytes", i, format, err, len(rest))
	}
	for _, window := range []placer.Seconds{0, 1, 2.5, 100} {
		recordSorted(record, window)
	}
	record.Check(t, "sources")
}

func zstandard(t *testing.T, text string) []byte {
	t.Helper()
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	return encoder.EncodeAll([]byte(text), nil)
}

func recordSorted(record *goldentest.Recorder, window placer.Seconds) {
	record.Line("== window %v", window)
	sorter := Sorter{Window: window}
	var sorted []Entry
	for i, at := range []float64{10, 10, 9, 12, 11.5, 10, 14, 14, 14, 13, 20, 15, 18, 18, 18.5, 30, 8} {
		entry := Entry{At: placer.Seconds(at), WholeSeconds: at == math.Trunc(at), Method: "GET", Path: "/", File: "f", Line: int64(i)}
		var skipped *EntryError
		if sorted, skipped = sorter.Add(entry, sorted); skipped != nil {
			record.Line("problem %q", skipped.Error())
		}
	}
	for _, entry := range sorter.Flush(sorted) {
		recordEntry(record, entry)
	}
}
