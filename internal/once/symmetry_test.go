package once

import (
	"slices"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

// tidy drops packets without an effect and gives worlds that differ only in the order of packets or sends one form.
func (w *world) tidy(without safeguard) {
	w.Net.Set(slices.DeleteFunc(slices.Clone(w.Net.All()), func(l packet) bool {
		return !l.AwaitsReply && (l.Kind == packetReply || without == allSafeguards && w.idle(l))
	}))
	w.sortSends()
	w.Net.Sort()
}

// sortSends numbers the sends by what they do, since the number of a send means nothing.
func (w *world) sortSends() {
	sends := w.Procs[:min(w.Sent, maxSends)]
	marks := make([]search.Fingerprint, len(sends))
	for i, pr := range sends {
		mark, _ := w.refersTo(uint8(i))
		marks[i] = mark.Add(search.FingerprintOf(pr))
	}
	places := search.Rank(marks)
	if slices.IsSorted(places) {
		return
	}
	old := slices.Clone(sends)
	for i, place := range places {
		sends[place] = old[i]
	}
	for k := range w.Net.All() {
		w.Net.All()[k].Renumber(places)
	}
	for k := range w.Busy {
		w.Busy[k].Renumber(places)
	}
	for k := maxSends; k < len(w.Procs); k++ {
		if pr := &w.Procs[k]; pr.Wanted {
			pr.From = uint8(places[pr.From])
		}
	}
}

// refersTo describes what refers to the send, without its number, and tells whether anything does.
func (w *world) refersTo(i uint8) (mark search.Fingerprint, any bool) {
	note := func(place int, l packet) {
		if l.Kind != 0 && l.IsFrom(i) {
			l.From, any = 0, true
			mark = mark.Add(search.FingerprintOf(l).At(place))
		}
	}
	for _, l := range w.Net.All() {
		note(-1, l)
	}
	for j, l := range w.Busy {
		note(j, l)
	}
	for k, pr := range w.Procs[maxSends:] {
		if pr.Wanted && pr.From == i {
			mark, any = mark.Add(search.Fingerprint{}.At(agents+k)), true
		}
	}
	return mark, any
}
