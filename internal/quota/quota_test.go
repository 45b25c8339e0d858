package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

var bounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// allowed is the bound of the rule, in its own words.
func allowed(b Bounds, q model.Quota) float64 {
	return (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Overage) + b.Slack
}

// bucket tells which requests lie inside a quota.
type bucket struct {
	quota model.Quota
	level float64
	at    time.Duration
}

func (b *bucket) take(now time.Duration) bool {
	b.level = min(b.quota.Burst, b.level+b.quota.Rate*(now-b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Guards against terms under which tokens of one window and one lifetime exceed the rule.
func TestTermsStayWithinTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Window:  time.Duration(rapid.IntRange(1, 60).Draw(t, "window")) * time.Second,
			Overage: rapid.Float64Range(0, 1).Draw(t, "overage"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		q := model.Quota{Rate: rapid.Float64Range(0.01, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 2000).Draw(t, "burst")}
		terms := b.Terms(q)
		require.LessOrEqual(t, terms.Rate*(b.Window+terms.Life).Seconds(), allowed(b, q))
		require.GreaterOrEqual(t, terms.Rate, 0.6*min(q.Rate, allowed(b, q)/b.Window.Seconds()))
	})
}

// Guards against more requests than a quota allows while messages are lost or late, links cut either way, and nodes killed,
// restarted, frozen and added, under any demand.
func TestNoWindowExceedsTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Window: 5 * time.Second, Overage: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "overage"), Slack: rapid.SampledFrom([]float64{0, 20}).Draw(t, "slack")}
		quotas := map[string]model.Quota{}
		for _, name := range []string{"a", "returned"} {
			quotas[name] = model.Quota{
				Rate:  rapid.Float64Range(0.5, 60).Draw(t, "rate"),
				Burst: rapid.Float64Range(0, 60).Draw(t, "burst"),
			}
		}
		terms := map[string]Terms{}
		for name, q := range quotas {
			terms[name] = b.Terms(q)
		}
		size := rapid.IntRange(1, 12).Draw(t, "nodes")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), size, rapid.IntRange(1, 3).Draw(t, "domains"), terms)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		f.delay = rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 10 * time.Second}).Draw(t, "delay")
		cuts := map[[2]int]bool{}
		f.cut = func(from, to int) bool { return cuts[[2]int{from, to}] }
		only := rapid.SampledFrom([]int{size, (size + 2) / 3}).Draw(t, "callers")
		// Tokens are saved up and spent by turns.
		for phase := range rapid.IntRange(2, 12).Draw(t, "phases") {
			f.upset(t, cuts)
			pressure := rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "little")
			if phase%2 == 1 {
				pressure = rapid.SampledFrom([]float64{2, 10, 100}).Draw(t, "much")
			}
			for end := f.now + time.Duration(rapid.IntRange(100, 8000).Draw(t, "phase"))*time.Millisecond; f.now < end; {
				f.step()
				for _, name := range []string{"a", "returned"} {
					q := quotas[name]
					for p := pressure * q.Rate / 1000; p > 0; p-- {
						if f.random.Float64() < p {
							f.request(f.nodes[f.random.IntN(only)], name, nil)
						}
					}
				}
			}
		}
		for name, q := range quotas {
			require.LessOrEqual(t, float64(f.most(name, b.Window, 0)), allowed(b, q), "account %s", name)
		}
	})
}

// upset brings one failure about, or ends the cuts.
func (f *fleet) upset(t *rapid.T, cuts map[[2]int]bool) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	other := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "other")
	switch rapid.SampledFrom([]string{"calm", "kill", "restart", "freeze", "cut", "one-way", "isolate", "heal", "add", "herd"}).Draw(t, "upset") {
	case "kill":
		f.kill(n)
	case "restart":
		for _, n := range f.nodes {
			if !n.up {
				f.start(n)
			}
		}
	case "freeze":
		n.frozenUntil = f.now + time.Duration(rapid.IntRange(100, 9000).Draw(t, "freeze"))*time.Millisecond
	case "cut":
		cuts[[2]int{n.index, other}], cuts[[2]int{other, n.index}] = true, true
	case "one-way":
		cuts[[2]int{n.index, other}] = true
	case "isolate":
		for i := range f.nodes {
			cuts[[2]int{n.index, i}], cuts[[2]int{i, n.index}] = i != n.index, i != n.index
		}
	case "heal":
		clear(cuts)
	case "add":
		f.add(joinDelay)
	case "herd":
		for _, n := range f.nodes {
			f.kill(n)
			f.start(n)
		}
	}
}

// Guards against refusals inside the quota where few nodes, or one failure domain, send all requests of a small account
// unevenly.
func TestSmallUnevenAccountIsServed(t *testing.T) {
	quota := model.Quota{Rate: 1.6, Burst: 1.6}
	for name, sends := range map[string]func(f *fleet) *node{
		"all nodes":        func(f *fleet) *node { return f.nodes[f.random.IntN(74)] },
		"tenth of nodes":   func(f *fleet) *node { return f.nodes[f.random.IntN(7)*10] },
		"one domain":       func(f *fleet) *node { return f.nodes[f.random.IntN(12)*6] },
		"one node at once": func(f *fleet) *node { return f.nodes[int(f.now/(7*time.Second))%74] },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(1, 74, 6, map[string]Terms{"a": bounds.Terms(quota)})
			inside := bucket{quota: quota}
			total, refused := 0, 0
			for f.now < 300*time.Second {
				f.step()
				// Ten seconds of three times the mean follow twenty of none.
				if f.now%(30*time.Second) > 10*time.Second || f.random.Float64() > 0.003 || !inside.take(f.now) || f.now < 40*time.Second {
					continue
				}
				total++
				f.request(sends(f), "a", func(ok bool) {
					if !ok {
						refused++
					}
				})
			}
			t.Logf("%d of %d refused", refused, total)
			require.Less(t, float64(refused), 0.01*float64(total))
		})
	}
}

// Guards against a hot account that takes tokens of others, and against one that gets less than its quota, evenly spread or in
// one failure domain.
func TestHotAccountGetsItsQuotaAndOthersLoseNothing(t *testing.T) {
	for name, sends := range map[string]func(f *fleet) *node{
		"all nodes":  func(f *fleet) *node { return f.nodes[f.random.IntN(74)] },
		"one domain": func(f *fleet) *node { return f.nodes[f.random.IntN(12)*6] },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			usual := map[string]float64{"hot": 30, "large": 60, "middle": 5, "small": 0.7}
			terms, inside := map[string]Terms{}, map[string]*bucket{}
			for name, rate := range usual {
				q := model.Quota{Rate: 1.6 * rate, Burst: 1.6 * rate}
				terms[name], inside[name] = bounds.Terms(q), &bucket{quota: q}
			}
			f := newFleet(1, 74, 6, terms)
			total, refused := map[string]int{}, map[string]int{}
			hotFrom, hotUntil := 20*time.Second, 60*time.Second
			for f.now < hotUntil {
				f.step()
				for _, account := range slices.Sorted(maps.Keys(usual)) {
					rate := usual[account]
					if account == "hot" && f.now >= hotFrom {
						rate *= 8
					}
					if f.random.Float64() > rate/1000 {
						continue
					}
					ok := inside[account].take(f.now)
					counted := ok && f.now > 15*time.Second && (account != "hot" || f.now < hotFrom)
					if counted {
						total[account]++
					}
					from := f.nodes[f.random.IntN(74)]
					if account == "hot" {
						from = sends(f)
					}
					f.request(from, account, func(ok bool) {
						if counted && !ok {
							refused[account]++
						}
					})
				}
			}
			got := 0
			for _, at := range f.granted["hot"] {
				if at >= hotFrom {
					got++
				}
			}
			limit := 1.6 * usual["hot"] * (hotUntil - hotFrom).Seconds()
			t.Logf("hot: %d of %.0f; refused inside the quota %v of %v; calls in domains and to the fleet %v", got, limit, refused, total, f.messaged)
			require.GreaterOrEqual(t, float64(got), 0.9*limit)
			for account := range usual {
				require.LessOrEqual(t, float64(refused[account]), 0.01*float64(total[account]), account)
			}
		})
	}
}

// Guards against tokens of a higher quota that are used after a lower one is in force on all nodes.
func TestLoweredQuotaHoldsAfterOneWindow(t *testing.T) {
	before, after := model.Quota{Rate: 50, Burst: 50}, model.Quota{Rate: 5, Burst: 5}
	f := newFleet(1, 12, 3, map[string]Terms{"a": bounds.Terms(before)})
	press := func(until time.Duration) {
		for f.now < until {
			f.step()
			if f.random.IntN(5) == 0 {
				f.request(f.nodes[f.random.IntN(12)], "a", nil)
			}
		}
	}
	press(10 * time.Second)
	for _, n := range f.nodes {
		f.setTerms(n, map[string]Terms{"a": bounds.Terms(after)})
	}
	press(25 * time.Second)
	require.LessOrEqual(t, float64(f.most("a", bounds.Window, 10*time.Second)), allowed(bounds, after))
	require.GreaterOrEqual(t, f.most("a", bounds.Window, 10*time.Second), 20)
}

// Guards against a fresh burst after all processes were killed at once.
func TestRestartGrantsNoBurst(t *testing.T) {
	quota := model.Quota{Rate: 20, Burst: 40}
	f := newFleet(1, 24, 4, map[string]Terms{"a": bounds.Terms(quota)})
	for f.now < 40*time.Second {
		f.step()
		if f.now%(9*time.Second) == 0 {
			for _, n := range f.nodes {
				f.kill(n)
				f.start(n)
			}
		}
		f.request(f.nodes[f.random.IntN(24)], "a", nil)
	}
	require.LessOrEqual(t, float64(f.most("a", bounds.Window, 0)), allowed(bounds, quota))
	require.GreaterOrEqual(t, len(f.granted["a"]), 500)
}

// Guards against a saved-up quota that is refused in part, or granted in excess, when all nodes use it at once.
func TestSavedQuotaIsGrantedOnce(t *testing.T) {
	for _, b := range []Bounds{{Window: 5 * time.Second}, bounds} {
		for _, quota := range []model.Quota{{Rate: 180, Burst: 180}, {Rate: 20, Burst: 60}, {Rate: 1.1, Burst: 10}} {
			f := newFleet(1, 12, 3, map[string]Terms{"a": b.Terms(quota)})
			for f.now < 50*time.Second {
				f.step()
				for i := 0; i < 4 && f.now > 40*time.Second; i++ {
					f.request(f.nodes[f.random.IntN(12)], "a", nil)
				}
			}
			most := float64(f.most("a", b.Window, 0))
			t.Logf("%+v under %+v: %.0f of %.1f tolerated", quota, b, most, allowed(b, quota))
			require.LessOrEqual(t, most, allowed(b, quota))
			// Each failure domain may be left with less than a whole token.
			require.GreaterOrEqual(t, most, 0.9*(quota.Rate*b.Window.Seconds()+quota.Burst)-float64(f.domains))
		}
	}
}

// Guards against calls that arrive late, or come from before a restart of the pool, and add fresh tokens.
func TestDelayedHandoverAddsNothing(t *testing.T) {
	terms := Terms{Rate: 100, Life: time.Second}
	for name, delay := range map[string]time.Duration{"in time": 0, "late": 2 * time.Second} {
		p := NewPool(PoolConfig{Self: "pool", Epoch: 7})
		p.Update(TermsMsg{Terms: map[string]Terms{"a": terms}})
		first := p.Update(AskMsg{Now: time.Minute, Ask: Ask{From: "node"}}).(GrantCmd).Grant
		late := Ask{
			From: "node", Epoch: first.Epoch, Stamp: first.Stamp, Since: 200 * time.Millisecond, Minted: 0.2, Span: 200 * time.Millisecond,
			Offers: []Parcel{{Account: "a", Amount: 5, Life: time.Second}}, Wants: []Want{{Account: "a", Amount: 50, Waiting: 50}},
		}
		got := 0.0
		for _, part := range p.Update(AskMsg{Now: time.Minute + 200*time.Millisecond + delay, Ask: late}).(GrantCmd).Grant.Parcels {
			got += part.Amount
		}
		require.Equal(t, map[string]float64{"in time": 25, "late": 0}[name], math.Round(got), name)
		late.Epoch, got = 6, 0
		for _, part := range p.Update(AskMsg{Now: time.Minute + 200*time.Millisecond, Ask: late}).(GrantCmd).Grant.Parcels {
			got += part.Amount
		}
		require.Zero(t, got, "stamp of another process")
	}
}

// Guards against lent tokens that a slow reply, or a pause of the process that holds them, keeps alive.
func TestLentTokensExpireWithTheirCreation(t *testing.T) {
	s := NewShare("node")
	s.Update(TermsMsg{Terms: map[string]Terms{"a": {Rate: 100, Life: time.Second}}})
	s.Update(SendMsg{Now: time.Minute, Pool: "pool"})
	parcels := []Parcel{{Account: "a", Amount: 2, Life: 300 * time.Millisecond}}
	s.Update(GrantedMsg{Now: time.Minute + 200*time.Millisecond, Grant: Grant{Epoch: 1, Stamp: 1, Parcels: parcels}})
	take := func(after time.Duration) Cmd {
		return s.Update(TakeMsg{Now: time.Minute + after, Account: "a", Until: time.Hour})
	}
	token, ok := take(200 * time.Millisecond).(TokenCmd)
	require.True(t, ok)
	require.LessOrEqual(t, token.Expires, time.Minute+300*time.Millisecond)
	s.Update(GiveBackMsg{Now: time.Minute + 250*time.Millisecond, Account: "a", Expires: token.Expires})
	require.IsType(t, WaitCmd{}, take(300*time.Millisecond))
}

// Measures the calls and bytes of the fleet with 73 accounts that use five eighths of their quotas.
func BenchmarkFleetMessages(b *testing.B) {
	for _, size := range []int{74, 300, 936} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				f, rates := newFleet(1, size, max(6, size/50), nil), make([]float64, 73)
				f.terms = map[string]Terms{}
				for i := range rates {
					rates[i] = 116 / float64(1+i) * float64(size) / 74
					f.terms[fmt.Sprint("account-", i)] = bounds.Terms(model.Quota{Rate: 1.6 * rates[i], Burst: 1.6 * rates[i]})
				}
				for _, n := range f.nodes {
					f.setTerms(n, f.terms)
				}
				asked := 0
				for f.now < 25*time.Second {
					if f.now == 15*time.Second {
						f.messaged, f.refused, asked = [2]int{}, map[string]int{}, 0
						f.countBytes()
					}
					f.step()
					for i, rate := range rates {
						for p := rate / 1000; p > 0; p-- {
							if f.random.Float64() < p {
								asked++
								f.request(f.nodes[f.random.IntN(size)], fmt.Sprint("account-", i), nil)
							}
						}
					}
				}
				refused := 0
				for _, n := range f.refused {
					refused += n
				}
				b.ReportMetric(float64(f.messaged[0])/10/float64(size), "domain-calls/s/node")
				b.ReportMetric(float64(f.bytes[0])/10/float64(size), "domain-bytes/s/node")
				b.ReportMetric(float64(f.messaged[1])/10, "fleet-calls/s")
				b.ReportMetric(float64(f.bytes[1])/10, "fleet-bytes/s")
				b.ReportMetric(float64(refused)/float64(asked), "refused")
			}
		})
	}
}

// Measures the decision about one request with a token at hand, and one call to a pool with 73 accounts.
func BenchmarkDecisions(b *testing.B) {
	terms := map[string]Terms{}
	for i := range 73 {
		terms[fmt.Sprint("account-", i)] = bounds.Terms(model.Quota{Rate: float64(1 + i), Burst: float64(1 + i)})
	}
	b.Run("take", func(b *testing.B) {
		s := NewShare("node")
		s.Update(TermsMsg{Terms: terms})
		for i := range b.N {
			now := time.Minute + time.Duration(i)*time.Microsecond
			s.Update(GiveBackMsg{Now: now, Account: "account-9", Expires: now + time.Second})
			s.Update(TakeMsg{Now: now, Account: "account-9", Until: now})
		}
	})
	b.Run("ask", func(b *testing.B) {
		p := NewPool(PoolConfig{Self: "pool", Epoch: 1})
		p.Update(TermsMsg{Terms: terms})
		for i := range b.N {
			now := time.Minute + time.Duration(i)*10*time.Millisecond
			p.Update(AskMsg{Now: now, Ask: Ask{
				From: "node", Epoch: 1, Stamp: now, Minted: 0.01, Span: 400 * time.Millisecond,
				Wants: []Want{{Account: "account-9", Amount: 1, Waiting: 1, Requests: 1}},
			}})
		}
	})
}

// An account may send one request in fifty seconds. Guards against tokens that all expire before there is a whole one.
func TestRareTokensAddUp(t *testing.T) {
	for _, b := range []Bounds{bounds, {Window: 5 * time.Second}} {
		q := model.Quota{Rate: 0.02, Burst: 1}
		terms := b.Terms(q)
		require.GreaterOrEqual(t, terms.Rate*terms.Life.Seconds(), 0.99)
		require.LessOrEqual(t, terms.Rate*(b.Window+terms.Life).Seconds(), (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Overage)+b.Slack)
	}
}
