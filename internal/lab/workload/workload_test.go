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
)

func TestMain(m *testing.M) { proptest.Main(m, "200") }

// readAll reads a source to its end: entries, and problems by kind.
func readAll(tb testing.TB, r Reader) (out []Entry, kinds map[ErrorKind]int) {
	tb.Helper()
	kinds = map[ErrorKind]int{}
	for range 1 << 20 {
		e, err := r.Next()
		var p *EntryError
		switch {
		case errors.Is(err, io.EOF):
			return out, kinds
		case errors.As(err, &p):
			kinds[p.Kind]++
		case err != nil:
			tb.Fatal(err)
		default:
			out = append(out, e)
		}
	}
	tb.Fatal("no end")
	return nil, nil
}

func mustParseFormat(tb testing.TB, s string) *Format {
	tb.Helper()
	f, err := ParseFormat(s)
	if err != nil {
		tb.Fatal(err)
	}
	return f
}

const commonLine = `10.0.0.1 - ana [10/Oct/2026:13:55:36 -0500] "GET /a/b?c=d HTTP/1.1" 200 2326`

func TestLogLines(t *testing.T) {
	const ng = `$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" $request_time`
	for _, c := range []struct {
		name, format, line string
		kind               ErrorKind
	}{
		{"common", Common, commonLine, ""},
		{"no bytes", Common, strings.Replace(commonLine, "2326", "-", 1), ""},
		{"combined", Combined, commonLine + ` "-" "a \"b\" c"`, ""},
		{"nginx", ng, commonLine + ` "http://x/" 0.120`, ""},
		{"method and path apart", `%t %m %U%%%q %D`, `[10/Oct/2026:13:55:36 -0500] GET /a/b%?c=d 1500`, ""},
		{"cut", Common, commonLine[:60], Truncated},
		{"no request", Common, strings.Replace(commonLine, "GET /a/b?c=d HTTP/1.1", "-", 1), BadRequest},
		{"time", Common, strings.Replace(commonLine, "Oct", "Okt", 1), BadTime},
		{"year", Common, strings.Replace(commonLine, "2026", "1066", 1), BadTime},
		{"status", Common, strings.Replace(commonLine, " 200 ", " 2x0 ", 1), Malformed},
		{"more", Common, commonLine + " x", Malformed},
		{"other", Common, "hello", Truncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			source := c.line
			if c.kind != Truncated {
				source += "\n"
			}
			out, kinds := readAll(t, NewLog(strings.NewReader(source), "f", mustParseFormat(t, c.format)))
			if c.kind != "" {
				if len(out) != 0 || kinds[c.kind] != 1 {
					t.Errorf("%+v, %v, want %s", out, kinds, c.kind)
				}
				return
			}
			if len(out) != 1 {
				t.Fatalf("%+v, %v, want one entry", out, kinds)
			}
			got := out[0]
			if got.Path != "/a/b" || got.Query != "c=d" || got.Method != "GET" || got.At != 1791658536 || !got.WholeSeconds {
				t.Errorf("%+v, %v", got, kinds)
			}
		})
	}
}

func TestParseFormatErrors(t *testing.T) {
	for _, bad := range []string{"", "%h %r", "%t %b", "%t%r", "%t %{x", "%t %r %Z", "%t %r %"} {
		if _, err := ParseFormat(bad); err == nil {
			t.Errorf("format %q was taken", bad)
		}
	}
}

func harFile(n int) string {
	var b strings.Builder
	b.WriteString(`{"log":{"version":"1.2","creator":{"name":"x","x":[1,{"entries":[2]}]},"entries":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"startedDateTime":"2026-10-10T13:55:%02d.5Z","time":12.5,"request":{"method":"GET","url":"http://h.example/p%d?q"},"response":{"status":200,"content":{"size":5}}}`, i, i)
	}
	return b.String() + `],"pages":[]}}`
}

// Truncated at every byte: no panic, every complete entry before the end is read, and the truncation is reported.
func TestTruncatedAtEveryByte(t *testing.T) {
	text := harFile(4)
	for i := range len(text) {
		out, kinds := readAll(t, NewHAR(strings.NewReader(text[:i]), "f"))
		whole := strings.Count(text[:i], `"size":5}}}`)
		if len(out) != whole || i < strings.Index(text, `],"pages"`) && kinds[Truncated] != 1 {
			t.Fatalf("cut at %d: %d entries, want %d; %v", i, len(out), whole, kinds)
		}
	}
	out, kinds := readAll(t, NewHAR(strings.NewReader(text), "f"))
	if len(out) != 4 || len(kinds) != 0 || out[3].Host != "h.example" || out[3].Path != "/p3" || out[3].Query != "q" || out[3].Duration != 0.0125 {
		t.Fatalf("%+v, %v", out, kinds)
	}
	log := strings.Repeat(commonLine+"\n", 3)
	for i := range len(log) {
		out, _ := readAll(t, NewLog(strings.NewReader(log[:i]), "f", mustParseFormat(t, Common)))
		if n := strings.Count(log[:i], "\n"); len(out) < n || len(out) > n+1 {
			t.Fatalf("cut at %d: %d entries of %d", i, len(out), n)
		}
	}
}

func TestJSONLinesAndGzip(t *testing.T) {
	text := `{"time":"2026-10-10T13:55:36.25Z","method":"GET","path":"/a?b","status":200,"duration":0.5}` + "\n" +
		`{"time":1791640536250,"path":"/c"}` + "\n{\"time\":\"x\",\"path\":\"/\"}\n{\"time\":1791640536}\n{\"time\":"
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := Decompress(&b)
	if err != nil {
		t.Fatal(err)
	}
	out, kinds := readAll(t, NewJSONLines(r, "f", DefaultJSONFields()))
	if len(out) != 2 || out[0].At != 1791640536.25 || out[1].At != 1791640536.25 || out[0].Query != "b" || kinds[BadTime] != 1 || kinds[BadRequest] != 1 || kinds[Truncated] != 1 {
		t.Errorf("%+v, %v", out, kinds)
	}
}

// In whatever order entries are added, they are emitted in order, none is lost or doubled, entries of equal time keep their order, and
// only those older than the window are rejected.
func TestSorter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Sorter{Window: rapid.Float64Range(0, 5).Draw(t, "window")}
		var out []Entry
		rejected, newest, n := 0, 0.0, rapid.IntRange(0, 80).Draw(t, "n")
		for i := range n {
			at := 100 + float64(rapid.IntRange(0, 40).Draw(t, "at"))/4
			var p *EntryError
			out, p = s.Add(Entry{At: at, WholeSeconds: rapid.Bool().Draw(t, "coarse"), Line: int64(i)}, out)
			if p != nil {
				rejected++
				if at >= newest-s.Window {
					t.Fatalf("%v was turned back, newest %v, window %v", at, newest, s.Window)
				}
			}
			newest = max(newest, at)
		}
		out = s.Flush(out)
		if len(out)+rejected != n {
			t.Fatalf("%d given out, %d turned back of %d", len(out), rejected, n)
		}
		for i := 1; i < len(out); i++ {
			if out[i].At < out[i-1].At || out[i].At == out[i-1].At && out[i].Line < out[i-1].Line {
				t.Fatalf("%v after %v", out[i], out[i-1])
			}
		}
	})
}

func FuzzLog(f *testing.F) {
	f.Add(commonLine)
	f.Add(commonLine + "\n\n# c\n" + commonLine[:30])
	combined := mustParseFormat(f, Combined)
	f.Fuzz(func(t *testing.T, text string) {
		out, kinds := readAll(t, NewLog(strings.NewReader(text), "f", combined))
		n := len(out)
		for _, k := range kinds {
			n += k
		}
		if want := strings.Count(text, "\n") + 1; n > want {
			t.Fatalf("%d entries and problems in %d lines", n, want)
		}
		readAll(t, NewJSONLines(strings.NewReader(text), "f", DefaultJSONFields()))
		readAll(t, NewHAR(strings.NewReader(text), "f"))
	})
}
