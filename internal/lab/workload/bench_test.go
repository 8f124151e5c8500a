package workload

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// benchmarkReader reads a source of 1000 lines in each iteration.
func benchmarkReader(b *testing.B, line string, open func(r io.Reader) Reader) {
	b.Helper()
	source := strings.Repeat(line+"\n", 1000)
	b.SetBytes(int64(len(source)))
	b.ReportAllocs()
	for b.Loop() {
		reader := open(strings.NewReader(source))
		for {
			_, err := reader.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				b.Fatal(err)
			}
		}
	}
}

func BenchmarkAccessLog(b *testing.B) {
	format := mustParseFormat(b, Combined)
	benchmarkReader(b, commonLine+` "-" "a \"b\" c"`, func(r io.Reader) Reader { return NewLog(r, "f", format) })
}

func BenchmarkJSONLines(b *testing.B) {
	const line = `{"time":1791640536.25,"method":"GET","path":"/a?b","status":200,"duration":0.5}`
	benchmarkReader(b, line, func(r io.Reader) Reader { return NewJSONLines(r, "f", DefaultJSONFields()) })
}
