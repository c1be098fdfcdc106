package placer_test

import (
	"fmt"
	"testing"
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/placer"
)

// BenchmarkPlace measures a placement with its start and end; the cost must grow more slowly than the number of targets.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{25, 150, 600} {
		b.Run(fmt.Sprintf("%d_targets", n), func(b *testing.B) {
			f := newFixture(n, 40_000)
			now := start
			f.Place(now, placer.Request{ID: "first", Model: "m", PromptTokens: 1_500, OutputTokens: 300})
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				id := namer.Request(fmt.Sprint(i))
				decision := f.Place(now, placer.Request{
					ID:           id,
					Model:        "m",
					PromptTokens: 1_500,
					OutputTokens: 300,
				})
				f.Start(now, id, decision)
				f.EndPrefill(id)
				f.Finish(id)
			}
		})
	}
}
