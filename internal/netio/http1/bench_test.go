package http1

import (
	"strings"
	"testing"
)

// BenchmarkDecode measures the decoding of a request with Content-Length, as clients of the API server send
// it, and of a request with a chunked body.
func BenchmarkDecode(b *testing.B) {
	const head = "POST /apis/batch/v1/namespaces/default/jobs HTTP/1.1\r\nHost: a\r\nUser-Agent: bench\r\nAccept: application/json\r\n" +
		"Content-Type: application/json\r\n"
	for name, request := range map[string]string{
		"content-length": head + "Content-Length: 2\r\n\r\n{}",
		"chunked":        head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("5;x=y\r\nabcde\r\n", 8) + "0\r\nTrailer: t\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			in := []byte(request)
			decoder := Decoder{Limits: DefaultLimits()}
			b.ReportAllocs()
			b.SetBytes(int64(len(in)))
			for b.Loop() {
				for rest := in; len(rest) > 0; {
					n, _, err := decoder.Next(rest)
					if err != nil {
						b.Fatal(err)
					}
					rest = rest[n:]
				}
			}
		})
	}
}
