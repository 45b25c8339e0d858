package once

import (
	"slices"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

// normalize drops packets without an effect and gives states that differ only in the order of packets or requests the
// same form.
func (w *modelState) normalize(without safeguard) {
	w.Net.Set(slices.DeleteFunc(slices.Clone(w.Net.All()), func(pkt packet) bool {
		return !pkt.AwaitsReply && (pkt.Kind == packetReply || without == allSafeguards && w.hasNoEffect(pkt))
	}))
	w.renumberRequests()
	w.Net.Sort()
}

// renumberRequests orders the requests by their content, since their numbers are arbitrary.
func (w *modelState) renumberRequests() {
	requests := w.Processes[:min(w.Sent, maxRequests)]
	hashes := make([]search.Fingerprint, len(requests))
	for i, pr := range requests {
		hash, _ := w.references(uint8(i))
		hashes[i] = hash.Add(search.FingerprintOf(pr))
	}
	order := search.Rank(hashes)
	if slices.IsSorted(order) {
		return
	}
	old := slices.Clone(requests)
	for i, position := range order {
		requests[position] = old[i]
	}
	for k := range w.Net.All() {
		w.Net.All()[k].Renumber(order)
	}
	for k := range w.Busy {
		w.Busy[k].Renumber(order)
	}
	for k := maxRequests; k < len(w.Processes); k++ {
		if pr := &w.Processes[k]; pr.Awaited {
			pr.From = uint8(order[pr.From])
		}
	}
}

// references hashes everything that refers to the request, except for its number, and reports whether anything does.
func (w *modelState) references(i uint8) (hash search.Fingerprint, found bool) {
	add := func(position int, pkt packet) {
		if pkt.Kind != 0 && pkt.IsFrom(i) {
			pkt.From, found = 0, true
			hash = hash.Add(search.FingerprintOf(pkt).At(position))
		}
	}
	for _, pkt := range w.Net.All() {
		add(-1, pkt)
	}
	for j, pkt := range w.Busy {
		add(j, pkt)
	}
	for k, pr := range w.Processes[maxRequests:] {
		if pr.Awaited && pr.From == i {
			hash, found = hash.Add(search.Fingerprint{}.At(agents+k)), true
		}
	}
	return hash, found
}
