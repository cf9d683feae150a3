package worker

import (
	"net/http"
	"strings"
	"testing"

	"ravendale/cluster/httpclient"
	"ravendale/test/standin/answers"
)

func BenchmarkReadResponse(b *testing.B) {
	for name, body := range map[string]string{"small": "done", "large": strings.Repeat("0123456789", 10_000)} {
		b.Run(name, func(b *testing.B) {
			answer := claims["done"]
			answer.Fields += "Content-Type: application/octet-stream\r\nKeep-Alive: timeout=4\r\n"
			answer.Body = body
			text := answers.Plain(answer)
			reader := httpclient.NewReader(nil, readBuffer)
			source := strings.NewReader(text)
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(text)
				reader.Reset(source)
				if a, err := readResponse(reader, http.MethodPost); err != nil || a.signature == "" {
					b.Fatal(a, err)
				}
			}
		})
	}
}
