package generator_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"apricotspool/generator"
)

// BenchmarkEvents measures the reading of one chunk.
func BenchmarkEvents(b *testing.B) {
	one := event("1-1000", string(stream), strings.Repeat("belt", 20))
	body := io.MultiReader(bytes.NewReader(bytes.Repeat([]byte(one), b.N)))
	events := generator.NewEventReader(body)
	b.ReportAllocs()
	b.SetBytes(int64(len(one)))
	b.ResetTimer()
	for range b.N {
		if _, err := events.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
