package once

import (
	"flag"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seedRapid chooses and prints the seed, so that also a history that passed can be replayed.
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

// rare steps are taken less often, since a history says little after the key ran or its epoch was dropped.
func rare(label string) bool {
	attempt := strings.HasPrefix(label, "deliver attempt") || strings.HasPrefix(label, "duplicate attempt")
	return attempt || strings.HasSuffix(label, "restarts") || strings.HasSuffix(label, "epochs") || strings.HasSuffix(label, "to B")
}

// Guards against faults that need more sends, restarts and repeated letters than the exhaustive search reaches.
func TestLongHistories(t *testing.T) {
	seedRapid(t)
	steps, longest := 0, 0
	seen := &coverage{}
	rapid.Check(t, func(rt *rapid.T) {
		p := &protocol{seen: seen, scenario: scenario{
			Sends: 60, Attempts: 10, Restarts: 6, AgentRestarts: 6, Drops: 1, Dups: 40,
			Plain: rapid.Bool().Draw(rt, "plain"), Handover: rapid.Bool().Draw(rt, "handover"),
			Join: rapid.Bool().Draw(rt, "join"), Refuse: rapid.SampledFrom([]uint8{0, 40}).Draw(rt, "refuse"),
		}}
		p.Copies = p.Refuse == 0
		w, history := p.Initial(), []string{}
		w.Lossy = true
		for range rapid.IntRange(100, 600).Draw(rt, "length") {
			var labels []func() string
			var worlds []*world
			p.Next(w, func(label func() string, next *world) {
				labels, worlds = append(labels, label), append(worlds, next)
			})
			if len(worlds) == 0 {
				break
			}
			i := rapid.IntRange(0, len(worlds)-1).Draw(rt, "step")
			if rare(labels[i]()) && rapid.IntRange(0, 9).Draw(rt, "rare") > 0 {
				continue
			}
			history, w = append(history, labels[i]()), worlds[i]
			if w.problem != "" {
				rt.Fatalf("%s:\n  %s", w.problem, strings.Join(history, "\n  "))
			}
		}
		steps, longest = steps+len(history), max(longest, len(history))
	})
	t.Logf("%d steps, longest history %d, reached %v", steps, longest, seen.counts())
}
