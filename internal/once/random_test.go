package once

import (
	"flag"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

// seedRapid chooses and logs the seed, so that histories that passed can be replayed, too.
func seedRapid(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		if err := seed.Value.Set(strconv.FormatInt(time.Now().UnixNano(), 10)); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = seed.Value.Set("0") })
	}
	t.Logf("replay with -run '^%s$' -rapid.seed=%s", t.Name(), seed.Value)
}

// isRare reports steps to take less often, since a history covers little more after the key ran or its epoch was
// dropped.
func isRare(label string) bool {
	attempt := strings.HasPrefix(label, "deliver attempt") || strings.HasPrefix(label, "duplicate attempt")
	return attempt || strings.HasSuffix(label, "restarts") || strings.HasSuffix(label, "epochs") || strings.HasSuffix(label, "for B")
}

// Guards against faults that need more requests, restarts and duplicate packets than the exhaustive search covers.
func TestRandomHistories(t *testing.T) {
	seedRapid(t)
	steps, longest := 0, 0
	seen := &search.StepCounter{}
	rapid.Check(t, func(rt *rapid.T) {
		p := &protocol{seen: seen, scenario: scenario{
			Requests: 60, Attempts: 10, Restarts: 6, AgentRestarts: 6, Drops: 1, Duplicates: 40, Lossy: true, ThirdEdge: true,
			Plain: rapid.Bool().Draw(rt, "plain"), Handover: rapid.Bool().Draw(rt, "handover"),
			TokenExpiry: rapid.Bool().Draw(rt, "aging"), Join: rapid.Bool().Draw(rt, "join"), Refusals: rapid.SampledFrom([]uint8{0, 40}).Draw(rt, "refuse"),
		}}
		p.DuplicateAttempts = p.Refusals == 0
		remaining := rapid.IntRange(100, 600).Draw(rt, "length")
		h := search.Walk(p, func(labels []string) int {
			for remaining--; remaining > 0; remaining-- {
				i := rapid.IntRange(0, len(labels)-1).Draw(rt, "step")
				if !isRare(labels[i]) || rapid.IntRange(0, 9).Draw(rt, "rare") == 0 {
					return i
				}
			}
			return -1
		})
		if h.Problem != "" {
			rt.Fatalf("%s:\n  %s", h.Problem, strings.Join(h.Steps, "\n  "))
		}
		steps, longest = steps+len(h.Steps), max(longest, len(h.Steps))
	})
	t.Logf("%d steps, longest history %d, reached %v", steps, longest, seen.Counts())
}
