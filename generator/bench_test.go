package generator_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"apricotspool/generator"
)

// BenchmarkEvents measures parsing one event.
func BenchmarkEvents(b *testing.B) {
	single := sseEvent("1-1000", string(testStream), strings.Repeat("belt", 20))
	body := io.MultiReader(bytes.NewReader(bytes.Repeat([]byte(single), b.N)))
	reader := generator.NewEventReader(body)
	b.ReportAllocs()
	b.SetBytes(int64(len(single)))
	b.ResetTimer()
	for range b.N {
		if _, err := reader.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
